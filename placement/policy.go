package placement

import (
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// Policy chooses the target of a new flow.
type Policy interface {
	// Choose returns the target, or the error kind of a refusal: ServiceFull when every target that could
	// take the flow is at its connection limit, NoTargetReachable when no target could. It must not retain st
	// or l.
	Choose(now time.Time, h model.FlowHash, st *ServiceTable, l Loads) (*model.Target, errkind.Kind)
}

// Rendezvous is rendezvous hashing that ignores load. It chooses the first target in the flow's order that is neither
// draining nor down.
type Rendezvous struct{}

// Choose implements Policy.
func (Rendezvous) Choose(now time.Time, h model.FlowHash, st *ServiceTable, l Loads) (*model.Target, errkind.Kind) {
	var scratch [stackTargets]*model.Target
	for _, t := range st.Order(h, scratch[:0]) {
		if usable(now, t, l) {
			return t, errkind.None
		}
	}
	return nil, errkind.NoTargetReachable
}

// usable reports whether a target accepts new flows: it is neither draining nor down.
func usable(now time.Time, t *model.Target, l Loads) bool {
	return !t.Draining && !l.Observe(now, t.ID).Down
}
