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

	seedFlag, unsetSeed     = "rapid.seed", "0"
	checksFlag, unsetChecks = "rapid.checks", "100"
)

// Check runs a property with the default number of checks.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	setUnless(t, seedFlag, unsetSeed, defaultSeed)
	rapid.Check(t, prop)
}

// CheckN runs a property with a number of checks.
func CheckN(t *testing.T, checks int, prop func(*rapid.T)) {
	t.Helper()
	setUnless(t, checksFlag, unsetChecks, checks)
	Check(t, prop)
}

// setUnless sets a flag for the time of the test where the command line did not.
func setUnless(t *testing.T, name, unset string, value int) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != unset {
		return
	}
	if err := f.Value.Set(strconv.Itoa(value)); err != nil {
		t.Fatalf("set the flag %s to %d: %v", name, value, err)
	}
	t.Cleanup(func() { _ = f.Value.Set(unset) })
}
