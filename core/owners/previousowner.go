package owners

import (
	"slices"

	"github.com/fireflypin/fireflypin/model"
)

// ownerBeforeTransition returns the daemon that owned a flow before the transition, or nil. It is the first
// in the flow's owner order that was an owner and is reachable: one that still is an owner, or one that is
// draining and whose log this daemon may not have received in full. If this daemon was an owner itself, it is
// a draining one that precedes this daemon in the order, or one that rejoined after a partition. The daemon
// that delegated the packet (delegator, 0 for none) is skipped. The lock of delegated must be held.
func (e *Engine) ownerBeforeTransition(rs *routingState, h model.FlowHash, delegator model.MachineID) *model.EntryVM {
	d := &e.delegated
	if d.selfAdded {
		remained := func(id model.MachineID) bool { return id != delegator && !slices.Contains(d.added, id) }
		return e.firstInOrder(rs, h, e.firstOtherOwner(rs, h, remained), e.firstRemoved(rs, h, lastRank))
	}
	if draining := e.firstRemoved(rs, h, rs.rank(h, e.cfg.Self)); draining != nil {
		return draining
	}
	rejoined := func(id model.MachineID) bool { return id != delegator && slices.Contains(d.rejoined, id) }
	return e.firstOtherOwner(rs, h, rejoined)
}

// firstRemoved returns the daemon that is no longer an owner, is reachable and comes first in the flow's
// owner order, below the rank before; or nil.
func (e *Engine) firstRemoved(rs *routingState, h model.FlowHash, before uint64) *model.EntryVM {
	var first *model.EntryVM
	for _, p := range e.delegated.removed {
		if r := rs.rank(h, p.ID); p.ID != e.cfg.Self && rs.isReachable(p) && r < before {
			first, before = rs.snapshot.Entry(p.ID), r
		}
	}
	return first
}

// firstInOrder returns whichever of two daemons comes first in a flow's owner order; either may be nil.
func (e *Engine) firstInOrder(rs *routingState, h model.FlowHash, a, b *model.EntryVM) *model.EntryVM {
	if a == nil || (b != nil && rs.rank(h, b.ID) < rs.rank(h, a.ID)) {
		return b
	}
	return a
}

// coveringOwner returns the daemon whose log last covered the flow, or nil if its incarnation is no longer
// reachable or this daemon holds no replica of its log.
func (e *Engine) coveringOwner(rs *routingState, a *arrival) *model.EntryVM {
	rep := e.replicas.OfIncarnation(a.previousOwner)
	if rep == nil {
		return nil
	}
	m, ok := rs.view.Member(rep.Owner)
	if !ok || !m.Reachable || m.Incarnation != rep.Incarnation {
		return nil
	}
	return m.Entry
}

// firstOtherOwner returns the first daemon in a flow's owner order, other than this one, for which accept
// returns true; or nil.
func (e *Engine) firstOtherOwner(rs *routingState, h model.FlowHash, accept func(model.MachineID) bool) *model.EntryVM {
	var buf [maxOwners]*model.EntryVM
	for _, o := range rs.owners(h, buf[:0]) {
		if o.ID != e.cfg.Self && accept(o.ID) {
			return o
		}
	}
	return nil
}

// anyDaemon accepts every daemon.
func anyDaemon(model.MachineID) bool { return true }
