// Command knownred compares a failed test run with the list of known failures.
//
// Usage: knownred KNOWN-RED.txt TESTLOG. It exits with 0 only if the list explains every failed test and
// package, and prints the list entries that were matched.
package main

import (
	"fmt"
	"os"
)

const usageExitCode = 2

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: knownred KNOWN-RED.txt TESTLOG")
		os.Exit(usageExitCode)
	}
	list, err := os.ReadFile(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, fmt.Errorf("read list of known failures: %w", err))
		os.Exit(usageExitCode)
	}
	log, err := os.ReadFile(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, fmt.Errorf("read test log: %w", err))
		os.Exit(usageExitCode)
	}
	result := classify(parseList(string(list)), parseLog(string(log)))
	fmt.Print(result.report())
	if !result.passes() {
		os.Exit(1)
	}
}
