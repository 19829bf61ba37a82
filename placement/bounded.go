package placement

import (
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// Bounded is hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2016): the first usable
// target of the flow's order whose open flows of this owner stay under Factor times the mean.
type Bounded struct {
	// Factor is the bound in means; more than 1.
	Factor float64
}

// Choose implements Policy.
func (b Bounded) Choose(now time.Time, h model.FlowHash, st *ServiceTable, l Loads) (*model.Target, errkind.Kind) {
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
		return nil, errkind.NoTargetReachable
	}
	return first, errkind.None
}
