// Package proptest runs property tests of package rapid with a fixed seed, so that a test has the same
// result every time.
//
// Invariant: the seed and the number of checks are fixed unless the flags of package rapid override them.
package proptest

import (
	"flag"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

const (
	defaultSeed = 1

	// shrinkTime limits the time spent on shrinking a failing case.
	shrinkTime = "2s"

	// These are flags of package rapid and their defaults.

	seedFlag, seedFlagDefault     = "rapid.seed", "0"
	checksFlag, checksFlagDefault = "rapid.checks", "100"
	shrinkFlag, shrinkFlagDefault = "rapid.shrinktime", "30s"
	noFileFlag, noFileFlagDefault = "rapid.nofailfile", "false"
)

// Check runs a property with the default seed and rapid's default number of checks.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	CheckSeed(t, defaultSeed, prop)
}

// CheckSeed runs a property with the given seed and rapid's default number of checks.
func CheckSeed(t *testing.T, seed int, prop func(*rapid.T)) {
	t.Helper()
	setIfDefault(t, seedFlag, seedFlagDefault, strconv.Itoa(seed))
	setIfDefault(t, shrinkFlag, shrinkFlagDefault, shrinkTime)
	// rapid would replay a saved failure instead of using the seed.
	setIfDefault(t, noFileFlag, noFileFlagDefault, "true")
	rapid.Check(t, prop)
}

// CheckN runs a property with the default seed and the given number of checks.
func CheckN(t *testing.T, checks int, prop func(*rapid.T)) {
	t.Helper()
	setIfDefault(t, checksFlag, checksFlagDefault, strconv.Itoa(checks))
	Check(t, prop)
}

// CheckSeedN runs a property with the given seed and number of checks, as a subtest, so that the seeds of a long test can be run by
// processes of their own.
func CheckSeedN(t *testing.T, seed, checks int, prop func(*rapid.T)) {
	t.Helper()
	t.Run("seed "+strconv.Itoa(seed), func(t *testing.T) {
		setIfDefault(t, checksFlag, checksFlagDefault, strconv.Itoa(checks))
		CheckSeed(t, seed, prop)
	})
}

// CheckOne runs a single check of a property with the given seed, as a subtest, so that a test can check
// several seeds.
func CheckOne(t *testing.T, seed int, prop func(*rapid.T)) {
	t.Helper()
	CheckSeedN(t, seed, 1, prop)
}

// setIfDefault sets a flag for the duration of the test if its value is still defaultValue. It does
// nothing if the command line set the flag.
func setIfDefault(t *testing.T, name, defaultValue, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != defaultValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		t.Fatalf("set the flag %s to %s: %v", name, value, err)
	}
	t.Cleanup(func() { _ = f.Value.Set(defaultValue) })
}
