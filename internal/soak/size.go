package soak

import (
	"fmt"
	"time"
)

// Size names the size of the simulated fleet.
type Size string

// The sizes.
const (
	Small Size = "small"
	Usual Size = "usual"
	// Limits is the largest fleet that fits on one machine.
	Limits Size = "limits"
)

// shape is the number of zones, and of daemons, targets and callers in each zone.
type shape struct {
	zones, daemons, targets, callers int
	// meanFlowGap is the mean time between two new flows of one caller.
	meanFlowGap time.Duration
}

// shapes holds the shape of each Size. Limits stays below a few hundred processes.
var shapes = map[Size]shape{
	Small:  {zones: 2, daemons: 2, targets: 6, callers: 4, meanFlowGap: 60 * time.Millisecond},
	Usual:  {zones: 3, daemons: 4, targets: 8, callers: 6, meanFlowGap: 60 * time.Millisecond},
	Limits: {zones: 4, daemons: 40, targets: 40, callers: 20, meanFlowGap: 200 * time.Millisecond},
}

func (s Size) validate() error {
	if _, ok := shapes[s]; !ok {
		return fmt.Errorf("unknown size %q; use %s, %s or %s", string(s), Small, Usual, Limits)
	}
	return nil
}
