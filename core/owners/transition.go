package owners

import (
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// startTransition starts an ownership transition: unknown flows are delegated to their previous owners until
// this daemon holds every other owner's log in a state newer than the change of the owners.
func (e *Engine) startTransition(now time.Time, c ownersChange) {
	e.log.SetComplete(false)
	e.inTransition.Store(true)
	e.transitionDeadline = now.Add(e.cfg.TransitionTimeout)
	e.transitionMark = flow.Mark(e.mark.Load())
	e.unsyncedRejoined = append(e.unsyncedRejoined, c.rejoined...)
	e.delegated.begin(e.cfg.Self, c)
}

// advanceTransition finishes the ownership transition in two steps. Once this daemon holds every other owner's
// log in a state newer than the change of the owners, it delegates no more flows. Once it holds every log in a
// state newer than that point, the logs contain the decisions of the previous owners, and this daemon takes
// over the delegated flows. After transitionDeadline it does not wait any longer.
func (e *Engine) advanceTransition(now time.Time) {
	if !e.inTransition.Load() || e.hasDeferred() {
		return
	}
	waiting := now.Before(e.transitionDeadline)
	if waiting && (!e.replicasCurrent() || e.firstUnsyncedRejoined() != 0) {
		return
	}
	flows, wasActive := e.stopDelegation()
	if wasActive && waiting && len(flows) > 0 {
		e.transitionMark = flow.Mark(e.mark.Load())
		return
	}
	rs := e.routingState.Load()
	for h, f := range flows {
		e.takeOverDelegated(rs, now, h, f)
	}
	e.delegated.mu.Lock()
	e.delegated.flows = nil
	e.delegated.mu.Unlock()
	e.inTransition.Store(false)
	e.log.SetComplete(true)
	e.switchGeneration(rs.snapshot.Generation())
	e.recount(now, rs)
}

// replicasCurrent reports whether the replica of every live owner's log was written after this daemon
// noticed the last change of the owners and has the same default targets. It requests updates from the
// owners whose replica is not current.
func (e *Engine) replicasCurrent() bool {
	rs := e.routingState.Load()
	all := true
	e.delegated.mu.Lock()
	removed := slices.Clone(e.delegated.removed)
	e.delegated.mu.Unlock()
	owns := func(m membership.MemberView) bool {
		return m.Owner || (m.Reachable && slices.Contains(removed, flow.Peer{ID: m.Entry.ID, Incarnation: m.Incarnation}))
	}
	for _, rep := range e.replicasOf(owns) {
		p := rep.Position()
		if p.ReturnedMark > e.transitionMark && e.sameDefaults(rs, p.Generation) {
			continue
		}
		rep.WaitForMark(e.transitionMark)
		all = false
	}
	return all
}

// sameDefaults reports whether flows without a record in a log of generation g have the default targets of
// this daemon's log or of its current lists. If they do not, the other owner is about to switch to the
// current lists and will then add records for the flows that differ.
func (e *Engine) sameDefaults(rs *routingState, g model.Generation) bool {
	r := rs.resolverOf(g)
	return r != nil && (r == rs.resolverOf(e.log.Generation()) || r == rs.newestResolver())
}

// takeOverDelegated takes over one delegated flow if this daemon still owns it.
func (e *Engine) takeOverDelegated(rs *routingState, now time.Time, h model.FlowHash, f delegatedFlow) {
	if owner := rs.owner(h); owner == nil || owner.ID != e.cfg.Self {
		return
	}
	if _, known := e.table.Get(h); known {
		return
	}
	meta := packet.Meta{Src: f.key.Caller, Dst: f.key.Service, Flags: packet.ACK, Seq: f.seq}
	a := arrival{now: now, meta: &meta, hash: h, previousOwner: f.coveredBy}
	rank := e.rank(rs, h)
	previousOwner := e.replicas.Live(f.previousOwner)
	if previousOwner == nil {
		previousOwner = e.previousOwnerLog(rs, &a, rank)
	}
	t, certain := e.resolveFromLog(rs, &a, previousOwner, rank)
	if t == nil || !certain {
		return
	}
	e.placementMu.RLock()
	defer e.placementMu.RUnlock()
	e.addTakenOver(rs, &a, t)
}
