//go:build review

package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases that are scripts. Each returns an error if it could not run.
var cases = map[string]func(w *world, temp string) error{
	"late-reset": lateReset,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE DIRECTORY")
		return exitNotRun
	}
	temp, err := os.MkdirTemp("", "fireflypin-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(temp)
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	if err := cases[os.Args[1]](w, temp); err != nil {
		w.log("the case could not run: %v", err)
		return exitNotRun
	}
	if w.violations > 0 {
		return exitBroken
	}
	return exitHeld
}
