package main

import (
	"fmt"
	"strings"
)

// knownFailure is one known failure: a top-level test of a package.
type knownFailure struct {
	pkg  string
	test string
	line string
}

// outcome is the parsed result of a test run.
type outcome struct {
	// failedRuns holds the failed runs of packages. A package may be tested in several runs.
	failedRuns []failedRun
	// fatalFailure is true if there was a build failure, a panic or a data race.
	fatalFailure bool
}

// failedRun is a failed run of a package's tests, with the top-level tests that failed.
type failedRun struct {
	pkg   string
	tests []string
}

// classification is the result of comparing an outcome with the list of known failures.
type classification struct {
	known      []knownFailure
	unexpected []string
}

// parseList reads lines of the form "package TestName | command and seed | what was seen | issue". Blank
// lines, comments (#) and lines without exactly two words before the first | are ignored.
func parseList(text string) []knownFailure {
	var list []knownFailure
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		head, _, _ := strings.Cut(line, "|")
		words := strings.Fields(head)
		if len(words) != 2 {
			continue
		}
		list = append(list, knownFailure{pkg: words[0], test: words[1], line: line})
	}
	return list
}

// parseLog parses the plain output of go test, in which the failed tests of a package precede its FAIL line.
func parseLog(text string) outcome {
	var out outcome
	var pending []string
	for _, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		switch {
		case strings.HasPrefix(line, "--- FAIL: "):
			pending = append(pending, words[2])
		case strings.HasPrefix(line, "ok "):
			pending = nil
		case strings.HasPrefix(line, "FAIL\t"):
			out.addPackage(words, pending)
			pending = nil
		case strings.HasPrefix(line, "panic:"), strings.Contains(line, "DATA RACE"):
			out.fatalFailure = true
		}
	}
	return out
}

func (o *outcome) addPackage(words, tests []string) {
	if strings.Contains(strings.Join(words, " "), "[") {
		o.fatalFailure = true
	}
	o.failedRuns = append(o.failedRuns, failedRun{pkg: words[1], tests: tests})
}

// classify classifies every failure of a run. A failed test is known only if the list has its package and name.
func classify(list []knownFailure, out outcome) classification {
	var c classification
	if out.fatalFailure {
		c.unexpected = append(c.unexpected, "a build failure, a panic or a data race")
	}
	if len(out.failedRuns) == 0 {
		c.unexpected = append(c.unexpected, "the run failed without naming a package")
	}
	for _, run := range out.failedRuns {
		if len(run.tests) == 0 {
			c.unexpected = append(c.unexpected, run.pkg+": failed without naming a test")
		}
		for _, test := range run.tests {
			c.classifyTest(list, run.pkg, test)
		}
	}
	return c
}

func (c *classification) classifyTest(list []knownFailure, pkg, test string) {
	for _, k := range list {
		if k.pkg == pkg && k.test == test {
			c.known = append(c.known, k)
			return
		}
	}
	c.unexpected = append(c.unexpected, pkg+" "+test)
}

func (c *classification) passes() bool {
	return len(c.unexpected) == 0
}

func (c *classification) report() string {
	var b strings.Builder
	for _, k := range c.known {
		fmt.Fprintf(&b, "known red, passed over: %s\n", k.line)
	}
	for _, u := range c.unexpected {
		fmt.Fprintf(&b, "failed: %s\n", u)
	}
	return b.String()
}
