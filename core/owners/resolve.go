package owners

import (
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// handleUnknown handles a packet of a flow that this daemon owns but does not know: a previous owner placed
// the flow, or the packet belongs to no flow.
func (e *Engine) handleUnknown(rs *routingState, a *arrival) Verdict {
	if a.previousOwner == 0 {
		a.previousOwner = e.flowCache.CoveringOwner(a.hash, a.seqNumbers())
	}
	if v, ok := e.delegate(rs, a); ok {
		return v
	}
	t, certain := e.resolveTarget(rs, a)
	if !certain {
		if other := e.firstOtherOwner(rs, a.hash, anyDaemon); other != nil && a.forwards < maxForwards {
			e.markLogIncomplete()
			return delegateTo(other, a)
		}
	}
	return e.takeOver(rs, a, t)
}

// takeOver sends a packet of an unknown flow to its target and records the flow, unless the flow ends or
// this daemon's lease has run out.
func (e *Engine) takeOver(rs *routingState, a *arrival, t *model.Target) Verdict {
	if t == nil {
		return drop(errkind.TargetLost)
	}
	if a.closes() || !e.leaseValid(a.now) {
		return forwardToTarget(t)
	}
	e.placementMu.RLock()
	defer e.placementMu.RUnlock()
	return e.addTakenOver(rs, a, t)
}

// addTakenOver records a flow that another owner admitted and counts it for its customer.
func (e *Engine) addTakenOver(rs *routingState, a *arrival, t *model.Target) Verdict {
	v, added := e.addFlow(rs, a, t, flow.StateHalfOpen)
	if added {
		e.countTakenOver(rs, a.now, a.hash, flow.PackAddrPort(a.meta.Src), flow.PackAddrPort(a.meta.Dst))
	}
	return v
}

// resolveTarget returns the target of a flow that a previous owner placed. certain is false if this daemon does
// not hold the lists of the previous owner's generation.
func (e *Engine) resolveTarget(rs *routingState, a *arrival) (t *model.Target, certain bool) {
	rank := e.rank(rs, a.hash)
	return e.resolveFromLog(rs, a, e.previousOwnerLog(rs, a, rank), rank)
}

// previousOwnerLog returns the replica of the log of a flow's previous owner: the one whose log covered the
// flow at the daemon that the packet came from, else the last other owner in the past views, else the
// daemon, live or not, with the lowest rank. It returns nil if there is none.
func (e *Engine) previousOwnerLog(rs *routingState, a *arrival, rank flow.Rank) *flow.Replica {
	if a.previousOwner != 0 {
		if rep := e.replicas.OfIncarnation(a.previousOwner); rep != nil {
			return rep
		}
	}
	if previousOwner := rs.lastOtherOwner(a.hash, e.cfg.Self, rank, e.maybeFromBeyond(a)); previousOwner != 0 {
		if rep := e.replicas.Latest(previousOwner); rep != nil {
			return rep
		}
	}
	return e.replicas.LowestRanked(rank)
}

// maybeFromBeyond reports whether a flow that this daemon owns but does not know may have been placed beyond a
// partition: no daemon from there has returned the packet as unknown, and this daemon has not forwarded packets
// of the flow to another owner.
func (e *Engine) maybeFromBeyond(a *arrival) bool {
	return !a.declined && !e.flowCache.Known(a.hash, a.seqNumbers())
}

// resolveFromLog returns the target that the previous owner's log has for the flow, else the one in another
// log, else the default target of the previous owner's generation. It returns no target while the lists of
// that generation have yet to arrive: the caller then retransmits the packet, while a packet to a wrong
// target would reset the flow.
func (e *Engine) resolveFromLog(rs *routingState, a *arrival, previous *flow.Replica, rank flow.Rank) (t *model.Target, certain bool) {
	if previous != nil {
		if id, ok := previous.Lookup(a.hash); ok {
			return rs.targets[id], true
		}
	}
	if id, ok := e.replicas.Find(a.hash, rank); ok {
		return rs.targets[id], true
	}
	if previous == nil {
		return rs.newestResolver().defaultTarget(a.meta.Dst, a.hash), true
	}
	g := previous.Position().Generation
	if r := rs.resolverOf(g); r != nil {
		return r.defaultTarget(a.meta.Dst, a.hash), true
	}
	if rs.expectsLists(g) {
		return nil, false
	}
	return rs.newestResolver().defaultTarget(a.meta.Dst, a.hash), false
}

// expectsLists reports whether the lists of a generation are newer than the current ones, so that they will
// arrive.
func (rs *routingState) expectsLists(g model.Generation) bool {
	own := rs.snapshot.Generation()
	return g.Plans > own.Plans || g.Machines > own.Machines
}

// rank returns the function that ranks daemons by how likely each was the flow's previous owner: lower is more
// likely.
func (e *Engine) rank(rs *routingState, h model.FlowHash) flow.Rank {
	return func(owner model.MachineID) uint64 { return rs.rank(h, owner) }
}
