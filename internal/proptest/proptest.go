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

	seedFlag, unsetSeed     = "rapid.seed", "0"
	checksFlag, unsetChecks = "rapid.checks", "100"
	shrinkFlag, unsetShrink = "rapid.shrinktime", "30s"
	noFileFlag, unsetNoFile = "rapid.nofailfile", "false"
)

// Check runs a property with the default seed and rapid's default number of checks.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	CheckSeed(t, defaultSeed, prop)
}

// CheckSeed runs a property with the given seed and rapid's default number of checks.
func CheckSeed(t *testing.T, seed int, prop func(*rapid.T)) {
	t.Helper()
	setUnless(t, seedFlag, unsetSeed, strconv.Itoa(seed))
	setUnless(t, shrinkFlag, unsetShrink, shrinkTime)
	// rapid would replay a saved failure instead of using the seed.
	setUnless(t, noFileFlag, unsetNoFile, "true")
	rapid.Check(t, prop)
}

// CheckN runs a property with the default seed and the given number of checks.
func CheckN(t *testing.T, checks int, prop func(*rapid.T)) {
	t.Helper()
	setUnless(t, checksFlag, unsetChecks, strconv.Itoa(checks))
	Check(t, prop)
}

// CheckOne runs a single check of a property with the given seed, as a subtest, so that a test can check
// several seeds.
func CheckOne(t *testing.T, seed int, prop func(*rapid.T)) {
	t.Helper()
	t.Run("seed "+strconv.Itoa(seed), func(t *testing.T) {
		setUnless(t, checksFlag, unsetChecks, "1")
		CheckSeed(t, seed, prop)
	})
}

// setUnless sets a flag for the duration of the test if it still has its default value, unset. It does
// nothing if the command line set the flag.
func setUnless(t *testing.T, name, unset, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != unset {
		return
	}
	if err := f.Value.Set(value); err != nil {
		t.Fatalf("set the flag %s to %s: %v", name, value, err)
	}
	t.Cleanup(func() { _ = f.Value.Set(unset) })
}
