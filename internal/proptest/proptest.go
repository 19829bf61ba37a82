// Package proptest runs property tests with a fixed seed, so that a test has the same verdict every time.
//
// Invariant: without flags the seed is defaultSeed; the flags of package rapid override seed and number
// of checks.
package proptest

import (
	"flag"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

const (
	defaultSeed = 1

	// shrinkTime bounds the search for a smaller failing case.
	shrinkTime = "2s"

	seedFlag, unsetSeed     = "rapid.seed", "0"
	checksFlag, unsetChecks = "rapid.checks", "100"
	shrinkFlag, unsetShrink = "rapid.shrinktime", "30s"
	noFileFlag, unsetNoFile = "rapid.nofailfile", "false"
)

// Check runs a property with the default number of checks.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	CheckSeed(t, defaultSeed, prop)
}

// CheckSeed runs a property with the default number of checks from a seed on.
func CheckSeed(t *testing.T, seed int, prop func(*rapid.T)) {
	t.Helper()
	setUnless(t, seedFlag, unsetSeed, strconv.Itoa(seed))
	setUnless(t, shrinkFlag, unsetShrink, shrinkTime)
	// A saved failure would be replayed in place of the seed.
	setUnless(t, noFileFlag, unsetNoFile, "true")
	rapid.Check(t, prop)
}

// CheckN runs a property with a number of checks.
func CheckN(t *testing.T, checks int, prop func(*rapid.T)) {
	t.Helper()
	setUnless(t, checksFlag, unsetChecks, strconv.Itoa(checks))
	Check(t, prop)
}

// CheckOne runs a property once with a seed, as a subtest: a test may check several seeds.
func CheckOne(t *testing.T, seed int, prop func(*rapid.T)) {
	t.Helper()
	t.Run("seed "+strconv.Itoa(seed), func(t *testing.T) {
		setUnless(t, checksFlag, unsetChecks, "1")
		CheckSeed(t, seed, prop)
	})
}

// setUnless sets a flag for the time of the test where the command line did not.
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
