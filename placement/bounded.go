package placement

import (
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// BoundedLoads is consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2016). It chooses the
// first usable target in the flow's order on which this owner's open flows per unit of weight stay below Factor
// times the zone's mean plus 1, and the first usable target when no target does.
type BoundedLoads struct {
	// Factor is the load bound as a multiple of the mean; it must be greater than 1.
	Factor float64
}

// Choose implements Policy.
func (b BoundedLoads) Choose(now time.Time, h model.FlowHash, st *ServiceTable, l Loads) (*model.Target, errkind.Kind) {
	var scratch [stackTargets]*model.Target
	var first *model.Target
	for _, t := range st.Order(h, scratch[:0]) {
		if !usable(now, t, l) {
			continue
		}
		if first == nil {
			first = t
		}
		if perWeight(t, l) < b.Factor*st.meanOpen(t.Zone, l)+1 {
			return t, errkind.None
		}
	}
	if first == nil {
		return nil, noTargetKind(st.targets)
	}
	return first, errkind.None
}
