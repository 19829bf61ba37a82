package owners

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
)

// deferredFlows holds flows that this daemon first received packets of after a zone became unreachable. They
// may have been placed on the other side of the partition, which may just have healed, so the decision on
// them is delayed.
type deferredFlows struct {
	mu    sync.Mutex
	flows map[model.FlowHash]deferredFlow
}

type deferredFlow struct {
	delegatedFlow
	since time.Time
}

// maxDeferredFlows bounds deferredFlows; flows beyond it are decided on at once.
const maxDeferredFlows = 65536

// unreachablePeers is the set of daemons that this side of a partition cannot reach. It is immutable.
type unreachablePeers struct {
	entries []*model.EntryVM
	// mark is this daemon's mark when the first zone became unreachable.
	mark flow.Mark
}

// newUnreachablePeers returns the daemons in unreachable zones that are not known to have failed or stopped,
// or nil if there are none. It keeps the mark of the previous set.
func newUnreachablePeers(mark flow.Mark, v *membership.View, before *unreachablePeers) *unreachablePeers {
	next := &unreachablePeers{mark: mark}
	if before != nil {
		next.mark = before.mark
	}
	for _, m := range v.Members() {
		if m.MaybePartitioned {
			next.entries = append(next.entries, m.Entry)
		}
	}
	if len(next.entries) == 0 {
		return nil
	}
	return next
}

// intersect returns those of the given daemons that are unreachable.
func (u *unreachablePeers) intersect(ids []model.MachineID) []model.MachineID {
	if u == nil {
		return nil
	}
	return lo.Filter(ids, func(id model.MachineID, _ int) bool {
		return slices.ContainsFunc(u.entries, func(e *model.EntryVM) bool { return e.ID == id })
	})
}

// ownerAcrossPartition returns the unreachable daemon that would own a flow, if no daemon on this side is
// known to have received packets of the flow before the partition; else nil. A packet sent to it is lost
// while the partition lasts, and the caller retransmits it; after DeferTimeout this daemon decides itself.
func (e *Engine) ownerAcrossPartition(rs *routingState, a *arrival) *model.EntryVM {
	if rs.unreachablePeers == nil || e.knownOnThisSide(rs, a) {
		return nil
	}
	e.deferred.mu.Lock()
	defer e.deferred.mu.Unlock()
	deferred, known := e.deferred.flows[a.hash]
	if known && a.now.Sub(deferred.since) >= e.cfg.DeferTimeout {
		return nil
	}
	if !known && len(e.deferred.flows) >= maxDeferredFlows {
		return nil
	}
	unreachable := rs.firstUnreachable(a.hash)
	if !known {
		previousOwner := delegatedFlow{key: a.meta.Key(), seq: a.meta.Seq, previousOwner: unreachable.ID, coveredBy: a.previousOwner}
		e.deferred.flows[a.hash] = deferredFlow{delegatedFlow: previousOwner, since: a.now}
		e.markLogIncomplete()
	}
	return unreachable
}

// knownOnThisSide reports whether a daemon on this side of a partition is known to have received packets of
// a flow before the partition. The owner whose log last covered the flow is evidence of that if this daemon
// holds a replica of its log and that owner is not on the other side: a daemon on the other side may have
// forwarded the packet, which happens when that daemon already knows that the partition has healed.
func (e *Engine) knownOnThisSide(rs *routingState, a *arrival) bool {
	if a.knownBeforePartition {
		return true
	}
	previousOwner := e.replicas.OfIncarnation(a.previousOwner)
	return previousOwner != nil && len(rs.unreachablePeers.intersect([]model.MachineID{previousOwner.Owner})) == 0
}

// firstUnreachable returns the unreachable daemon that comes first in a flow's owner order.
func (rs *routingState) firstUnreachable(h model.FlowHash) *model.EntryVM {
	first := rs.unreachablePeers.entries[0]
	for _, o := range rs.unreachablePeers.entries[1:] {
		if rs.rank(h, o.ID) < rs.rank(h, first.ID) {
			first = o
		}
	}
	return first
}

// expireDeferred takes over the deferred flows whose timeout has passed. Once the partition has healed, all
// deferred flows are delegated to the daemons that rejoined, like other unknown flows during an ownership
// transition.
func (e *Engine) expireDeferred(now time.Time, rs *routingState) {
	e.deferred.mu.Lock()
	expired := make(map[model.FlowHash]delegatedFlow)
	for h, f := range e.deferred.flows {
		if rs.unreachablePeers == nil || now.Sub(f.since) >= e.cfg.DeferTimeout {
			expired[h] = f.delegatedFlow
			delete(e.deferred.flows, h)
		}
	}
	e.deferred.mu.Unlock()
	if rs.unreachablePeers == nil {
		e.addDelegated(expired)
		return
	}
	for h, f := range expired {
		f.previousOwner = 0
		e.takeOverDelegated(rs, now, h, f)
	}
}

// hasDeferred reports whether there are deferred flows that have not been decided on.
func (e *Engine) hasDeferred() bool {
	e.deferred.mu.Lock()
	defer e.deferred.mu.Unlock()
	return len(e.deferred.flows) > 0
}
