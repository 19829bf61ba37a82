package owners

import (
	"maps"
	"slices"
	"sync"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// delegation holds the flows that this daemon owns but does not know during an ownership transition. Their
// packets are delegated to the previous owners; this daemon takes the flows over when the transition
// finishes.
type delegation struct {
	mu sync.Mutex
	// active is true while further flows may be added.
	active bool
	flows  map[model.FlowHash]delegatedFlow
	// selfAdded is true if this daemon became an owner in the transition; added then lists the other daemons
	// that did.
	selfAdded bool
	added     []model.MachineID
	// rejoined lists the daemons that rejoined after a partition.
	rejoined []model.MachineID
	// removed lists the daemons that were owners before the transition and are no longer.
	removed []flow.Peer
}

// begin merges a change of the owners into the transition in progress, or starts one.
func (d *delegation) begin(self model.MachineID, c ownersChange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.flows == nil {
		d.flows = make(map[model.FlowHash]delegatedFlow)
		d.selfAdded = false
		d.added, d.rejoined, d.removed = nil, nil, nil
	}
	d.active = true
	if c.hasAdded(self) {
		d.selfAdded = true
		d.added, d.rejoined = nil, nil
	} else if len(c.rejoined) > 0 {
		// A healed partition takes precedence over this daemon's own start.
		d.selfAdded = false
	}
	d.added = append(d.added, c.added...)
	d.rejoined = append(d.rejoined, c.rejoined...)
	d.removed = lo.Reject(d.removed, func(p flow.Peer, _ int) bool { return c.hasAdded(p.ID) })
	d.removed = append(d.removed, c.removed...)
}

// delegatedFlow is a flow whose packets are delegated to its previous owner.
type delegatedFlow struct {
	key packet.FlowKey
	// seq is the caller's sequence number in the delegated packet.
	seq uint32
	// previousOwner is the previous owner, or 0 if only the flow's owner order determines it.
	previousOwner model.MachineID
	// coveredBy is the owner whose log last covered the flow at the daemon that received the packet; 0 for
	// none.
	coveredBy flow.IncarnationID
}

// delegate sends a packet of a flow that this daemon owns but does not know to the daemon that may know the
// flow. It returns false if this daemon has to decide itself.
func (e *Engine) delegate(rs *routingState, a *arrival) (Verdict, bool) {
	if a.forwards >= maxForwards || a.declined {
		return Verdict{}, false
	}
	if !e.leaseValid(a.now) {
		return e.delegateStale(rs, a)
	}
	if previousOwner := e.assignDelegate(rs, a); previousOwner != nil {
		return delegateTo(previousOwner, a), true
	}
	if unreachable := e.ownerAcrossPartition(rs, a); unreachable != nil {
		return forwardToOwner(unreachable, a), true
	}
	return Verdict{}, false
}

// delegateStale sends a packet to another daemon without recording the flow: this daemon was paused, so its
// state may be stale.
func (e *Engine) delegateStale(rs *routingState, a *arrival) (Verdict, bool) {
	other := e.firstOtherOwner(rs, a.hash, anyDaemon)
	if other == nil {
		return Verdict{}, false
	}
	return delegateTo(other, a), true
}

// delegateTo returns the verdict that delegates a packet to a daemon that may know the flow, mostly its previous
// owner.
func delegateTo(previousOwner *model.EntryVM, a *arrival) Verdict {
	return forwardToPeer(previousOwner, wire.ForwardMeta{Hops: a.forwards + 1, KnownBeforePartition: a.knownBeforePartition, Delegated: true, CoveringOwner: uint32(a.previousOwner)})
}

// assignDelegate returns the previous owner of a flow during an ownership transition and records the flow as
// delegated, or returns nil. If only other daemons became owners, one of them may have owned the flow on the
// other side of a partition. If this daemon became an owner, a daemon that was an owner before may have
// owned it.
func (e *Engine) assignDelegate(rs *routingState, a *arrival) *model.EntryVM {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	if f, ok := e.delegated.flows[a.hash]; ok && rs.view.Reachable(f.previousOwner) {
		return rs.snapshot.Entry(f.previousOwner)
	}
	if !e.delegated.active {
		return nil
	}
	previousOwner := e.coveringOwner(rs, a)
	if previousOwner == nil {
		previousOwner = e.ownerBeforeTransition(rs, a.hash, 0)
	}
	if previousOwner != nil {
		e.delegated.flows[a.hash] = delegatedFlow{key: a.meta.Key(), seq: a.meta.Seq, previousOwner: previousOwner.ID, coveredBy: a.previousOwner}
	}
	return previousOwner
}

// addDelegated adds flows to those that are taken over when the transition finishes.
func (e *Engine) addDelegated(flows map[model.FlowHash]delegatedFlow) {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	for h, f := range flows {
		if e.delegated.active {
			e.delegated.flows[h] = f
		}
	}
}

// stopDelegation stops adding delegated flows. It returns the delegated flows and whether further ones could
// be added until now.
func (e *Engine) stopDelegation() (flows map[model.FlowHash]delegatedFlow, wasActive bool) {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	wasActive = e.delegated.active
	e.delegated.active = false
	return maps.Clone(e.delegated.flows), wasActive
}

// decideForOwner decides on a packet of a flow that another daemon owns but does not know. It records the
// flow in this daemon's log even if its target is the default one, so that the owner learns of it.
func (e *Engine) decideForOwner(rs *routingState, a *arrival, owner model.MachineID) Verdict {
	if _, ok := e.recordPacket(a); !ok {
		if v, passed := e.takeOverForOwner(rs, a, owner); passed {
			return v
		}
	}
	entry, ok := e.table.Get(a.hash)
	if !ok {
		return drop(errkind.NotReady)
	}
	if !entry.Exception && e.leaseValid(a.now) {
		e.placementMu.RLock()
		defer e.placementMu.RUnlock()
		e.table.SetException(a.hash, true)
		e.log.Add(a.hash, entry.Target)
	}
	return e.toTarget(rs, entry.Target)
}

// takeOverForOwner takes over an unknown flow on behalf of its owner, or sends its packet to a daemon that
// may know it; it then returns true with the verdict.
func (e *Engine) takeOverForOwner(rs *routingState, a *arrival, owner model.MachineID) (Verdict, bool) {
	if a.previousOwner == 0 {
		a.previousOwner = e.flowCache.CoveringOwner(a.hash, a.seqNumbers())
	}
	rank := rs.rankWithout(a.hash, owner)
	if _, logged := e.replicas.Find(a.hash, rank); !logged {
		if ownerVM := rs.snapshot.Entry(owner); ownerVM != nil && e.declinesDelegation(rs, a, owner) {
			return forwardToPeer(ownerVM, wire.ForwardMeta{Hops: a.forwards + 1, KnownBeforePartition: a.knownBeforePartition, Declined: true, CoveringOwner: uint32(a.previousOwner)}), true
		}
		if previousOwner := e.nextDelegate(rs, a, owner); previousOwner != nil {
			return delegateTo(previousOwner, a), true
		}
	}
	t, certain := e.resolveFromLog(rs, a, e.previousOwnerLog(rs, a, rank), rank)
	if !certain {
		if v, passed := e.delegateUnresolved(rs, a, owner); passed {
			return v, true
		}
	}
	v := e.takeOver(rs, a, t)
	_, added := e.table.Get(a.hash)
	return v, !added
}

// delegateUnresolved sends on a packet of a flow whose target depends on the lists of the previous owner,
// which this daemon does not hold: another daemon may hold them. A daemon that is not ready drops the packet
// instead of guessing, and the caller retransmits it.
func (e *Engine) delegateUnresolved(rs *routingState, a *arrival, owner model.MachineID) (Verdict, bool) {
	if a.forwards < maxForwards {
		other := e.firstOtherOwner(rs, a.hash, func(id model.MachineID) bool { return id != owner })
		if other != nil {
			return delegateTo(other, a), true
		}
	}
	return drop(errkind.NotReady), !e.ready.Load()
}

// declinesDelegation reports whether this daemon returns an unknown flow to the owner that delegated it,
// because that owner rejoined after a partition: this daemon owned the flow on its own side of the
// partition, so it would know a flow that was placed on that side.
func (e *Engine) declinesDelegation(rs *routingState, a *arrival, owner model.MachineID) bool {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	d := &e.delegated
	if a.forwards >= maxForwards || !d.active || !slices.Contains(d.rejoined, owner) {
		return false
	}
	rankOnThisSide := func(id model.MachineID) uint64 {
		if slices.Contains(d.rejoined, id) {
			return lastRank
		}
		return rs.rank(a.hash, id)
	}
	return rs.lastOtherOwner(a.hash, e.cfg.Self, rankOnThisSide, false) == 0
}

// markLogIncomplete makes peers stop relying on this daemon's log, because this daemon received a packet of
// a flow whose target it cannot determine by itself.
func (e *Engine) markLogIncomplete() {
	e.log.SetComplete(false)
	e.logIncomplete.Store(true)
}

// nextDelegate returns the daemon to which this one would delegate an unknown flow if it owned the flow,
// during an ownership transition and below the forwarding limit. It returns nil for an owner that was added
// in the transition, since that owner already delegates to the right daemon.
func (e *Engine) nextDelegate(rs *routingState, a *arrival, owner model.MachineID) *model.EntryVM {
	if a.forwards >= maxForwards {
		return nil
	}
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	if !e.delegated.active || slices.Contains(e.delegated.added, owner) {
		return nil
	}
	return e.ownerBeforeTransition(rs, a.hash, owner)
}
