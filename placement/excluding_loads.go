package placement

import (
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// ExcludingLoads presents Loads to a Policy with the targets in Tried marked as down: those that a connection attempt
// has already tried.
type ExcludingLoads struct {
	Loads
	Tried []model.TargetID
}

// Observe implements Loads.
func (e ExcludingLoads) Observe(now time.Time, t model.TargetID) Observation {
	o := e.Loads.Observe(now, t)
	o.Down = o.Down || slices.Contains(e.Tried, t)
	return o
}
