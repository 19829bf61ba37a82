package main

import (
	"fmt"
	"strings"
)

// entry is one known failure: a top-level test of a package.
type entry struct {
	pkg  string
	test string
	line string
}

// outcome is the parsed result of a test run.
type outcome struct {
	// failed holds the failed runs of packages. A package may be tested in several runs.
	failed []failedRun
	// failedBuild is true if there was a build failure, a panic or a data race.
	failedBuild bool
}

// failedRun is a failed run of a package's tests, with the top-level tests that failed.
type failedRun struct {
	pkg   string
	tests []string
}

// verdict is the result of comparing an outcome with the list of known failures.
type verdict struct {
	passedOver []entry
	unexpected []string
}

// parseList reads lines of the form "package TestName | command and seed | what was seen | issue". Blank
// lines, comments (#) and lines without exactly two words before the first | are ignored.
func parseList(text string) []entry {
	var list []entry
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
		list = append(list, entry{pkg: words[0], test: words[1], line: line})
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
			out.failedBuild = true
		}
	}
	return out
}

func (o *outcome) addPackage(words, tests []string) {
	if strings.Contains(strings.Join(words, " "), "[") {
		o.failedBuild = true
	}
	o.failed = append(o.failed, failedRun{pkg: words[1], tests: tests})
}

// judge classifies every failure of a run. A failed test is known only if the list has its package and name.
func judge(list []entry, out outcome) verdict {
	var v verdict
	if out.failedBuild {
		v.unexpected = append(v.unexpected, "a build failure, a panic or a data race")
	}
	if len(out.failed) == 0 {
		v.unexpected = append(v.unexpected, "the run failed without naming a package")
	}
	for _, run := range out.failed {
		if len(run.tests) == 0 {
			v.unexpected = append(v.unexpected, run.pkg+": failed without naming a test")
		}
		for _, test := range run.tests {
			v.place(list, run.pkg, test)
		}
	}
	return v
}

func (v *verdict) place(list []entry, pkg, test string) {
	for _, e := range list {
		if e.pkg == pkg && e.test == test {
			v.passedOver = append(v.passedOver, e)
			return
		}
	}
	v.unexpected = append(v.unexpected, pkg+" "+test)
}

func (v *verdict) passes() bool {
	return len(v.unexpected) == 0
}

func (v *verdict) report() string {
	var b strings.Builder
	for _, e := range v.passedOver {
		fmt.Fprintf(&b, "known red, passed over: %s\n", e.line)
	}
	for _, u := range v.unexpected {
		fmt.Fprintf(&b, "failed: %s\n", u)
	}
	return b.String()
}
