//go:build review

package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(w *world){
		"duplicate-syn": duplicateSYN,
		"lone-survivor": loneSurvivor,
		"large-changes": largeChanges,
		"equal-ids":     equalIDs,
		"other-writer":  otherWriter,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	cases[os.Args[1]](newWorld(os.Args[2]))
}
