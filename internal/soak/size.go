package soak

import (
	"fmt"
	"time"
)

// Size names how large a fleet is.
type Size string

// The sizes.
const (
	Small Size = "small"
	Usual Size = "usual"
	// Limits is as large as one machine's processes allow.
	Limits Size = "limits"
)

// shape says how many of each there are.
type shape struct {
	zones, daemons, targets, callers int
	// every is the mean time between two new flows of a caller.
	every time.Duration
}

// shapes are counts for each zone. The limits stay under a few hundred processes.
var shapes = map[Size]shape{
	Small:  {zones: 2, daemons: 2, targets: 6, callers: 4, every: 60 * time.Millisecond},
	Usual:  {zones: 3, daemons: 4, targets: 8, callers: 6, every: 60 * time.Millisecond},
	Limits: {zones: 4, daemons: 40, targets: 40, callers: 20, every: 200 * time.Millisecond},
}

func (s Size) check() error {
	if _, ok := shapes[s]; !ok {
		return fmt.Errorf("%q is no size; give %s, %s or %s", string(s), Small, Usual, Limits)
	}
	return nil
}
