package placement

import (
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Except shows a Policy the same loads, but with some targets down: those that an attempt has already
// tried.
type Except struct {
	Loads
	Tried []model.TargetID
}

// Observe implements Loads.
func (e Except) Observe(now time.Time, t model.TargetID) Observation {
	o := e.Loads.Observe(now, t)
	o.Down = o.Down || slices.Contains(e.Tried, t)
	return o
}
