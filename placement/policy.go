package placement

import (
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// Policy chooses the target of a new flow.
type Policy interface {
	// Choose returns the target, or the error kind of a refusal: ServiceFull when every target that could
	// take the flow is at its connection limit, ZoneDraining when only the drain of a zone excludes targets,
	// NoTargetReachable when no target could. It must not retain st or l.
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
	return nil, noTargetKind(st.targets)
}

// usable reports whether a target accepts new flows: neither it nor its zone is draining, and it is not down.
func usable(now time.Time, t *model.Target, l Loads) bool {
	return t.TakesNewFlows() && !l.Observe(now, t.ID).Down
}

// noTargetKind returns the error kind for a flow that none of the targets can take: ZoneDraining if one of them
// is excluded by the drain of its zone.
func noTargetKind(targets []*model.Target) errkind.Kind {
	if lo.SomeBy(targets, func(t *model.Target) bool { return t.ZoneDraining && !t.Draining }) {
		return errkind.ZoneDraining
	}
	return errkind.NoTargetReachable
}
