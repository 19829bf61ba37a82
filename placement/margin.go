package placement

import (
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// Margin compares the first two usable targets of the flow's order by this owner's open flows per unit of weight. It
// prefers the first target unless its count exceeds that of the second by more than Fraction times the zone's mean.
type Margin struct {
	// Fraction is the margin as a share of the mean; 0 always chooses the less loaded of the two.
	Fraction float64
}

// Choose implements Policy.
func (m Margin) Choose(now time.Time, h model.FlowHash, st *ServiceTable, l Loads) (*model.Target, errkind.Kind) {
	var scratch [stackTargets]*model.Target
	var first *model.Target
	for _, t := range st.Order(h, scratch[:0]) {
		if !usable(now, t, l) {
			continue
		}
		if first == nil {
			first = t
			continue
		}
		if perWeight(first, l)-perWeight(t, l) > m.Fraction*st.meanOpen(first.Zone, l) {
			return t, errkind.None
		}
		return first, errkind.None
	}
	if first == nil {
		return nil, noTargetKind(st.targets)
	}
	return first, errkind.None
}

// perWeight returns the owner's open flows on a target divided by the target's weight.
func perWeight(t *model.Target, l Loads) float64 {
	return float64(l.Open(t.ID)) / float64(max(t.Weight, 1))
}

// meanOpen returns the owner's mean number of open flows per unit of weight over the targets of a zone.
func (st *ServiceTable) meanOpen(zone model.Zone, l Loads) float64 {
	open, weight := 0, uint64(0)
	for i, t := range st.targets {
		if t.Zone != zone {
			continue
		}
		open += l.Open(t.ID)
		weight += st.candidates[i].weight
	}
	return float64(open) / float64(max(weight, 1))
}
