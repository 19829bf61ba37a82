package main

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const listed = "example/a TestOne | seed 1 | two flows broken | 4"

func TestClassify(t *testing.T) {
	cases := []struct {
		name   string
		log    string
		passes bool
	}{
		{"a listed failure passes", "--- FAIL: TestOne (0.1s)\nFAIL\nFAIL\texample/a\t0.1s\n", true},
		{"another test fails the run", "--- FAIL: TestTwo (0.1s)\nFAIL\texample/a\t0.1s\n", false},
		{"the same test of another package fails the run", "--- FAIL: TestOne (0.1s)\nFAIL\texample/b\t0.1s\n", false},
		{"a listed failure passes if another run of the same package passed", "ok  \texample/a\t0.1s\n--- FAIL: TestOne (0.1s)\nFAIL\texample/a\t0.1s\n", true},
		{"a second run of the package that fails without a test fails the run", "--- FAIL: TestOne (0.1s)\nFAIL\texample/a\t0.1s\nFAIL\texample/a\t0.1s\n", false},
		{"a second run of the package with another failure fails the run", "--- FAIL: TestOne (0.1s)\nFAIL\texample/a\t0.1s\n--- FAIL: TestTwo (0.1s)\nFAIL\texample/a\t0.1s\n", false},
		{"a build failure fails the run", "FAIL\texample/a [build failed]\n", false},
		{"a package without a failed test fails the run", "FAIL\texample/a\t0.1s\n", false},
		{"a data race fails the run", "WARNING: DATA RACE\n--- FAIL: TestOne (0.1s)\nFAIL\texample/a\t0.1s\n", false},
		{"a run without any package fails", "", false},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			result := classify(parseList(listed), parseLog(c.log))
			So(result.passes(), ShouldEqual, c.passes)
		})
	}
}
