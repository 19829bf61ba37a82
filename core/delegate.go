package core

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
	// joined is true if this daemon became an owner in the transition; appeared then lists the other daemons
	// that did.
	joined   bool
	appeared []model.MachineID
	// returned lists the daemons that rejoined after a partition.
	returned []model.MachineID
	// ceased lists the daemons that were owners before the transition and are no longer.
	ceased []flow.Peer
}

// begin merges a change of the owners into the transition in progress, or starts one.
func (d *delegation) begin(self model.MachineID, c ownersChange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.flows == nil {
		d.flows = make(map[model.FlowHash]delegatedFlow)
		d.joined = false
		d.appeared, d.returned, d.ceased = nil, nil, nil
	}
	d.active = true
	if c.includes(self) {
		d.joined = true
		d.appeared, d.returned = nil, nil
	} else if len(c.returned) > 0 {
		// A healed partition takes precedence over this daemon's own start.
		d.joined = false
	}
	d.appeared = append(d.appeared, c.appeared...)
	d.returned = append(d.returned, c.returned...)
	d.ceased = lo.Reject(d.ceased, func(p flow.Peer, _ int) bool { return c.includes(p.ID) })
	d.ceased = append(d.ceased, c.ceased...)
}

// delegatedFlow is a flow whose packets are delegated to its previous owner.
type delegatedFlow struct {
	key packet.FlowKey
	// seq is the caller's sequence number in the delegated packet.
	seq uint32
	// former is the previous owner, or 0 if only the flow's owner order determines it.
	former model.MachineID
	// covered is the owner whose log last covered the flow at the daemon that received the packet; 0 for
	// none.
	covered flow.Incarnated
}

// delegate sends a packet of a flow that is unknown here to the daemon that may know the flow. It returns
// false if this daemon has to decide itself.
func (e *Engine) delegate(w *world, a *arrival) (Verdict, bool) {
	if a.hops >= maxHops || a.declined {
		return Verdict{}, false
	}
	if !e.fresh(a.now) {
		return e.delegateStale(w, a)
	}
	if former := e.formerOwner(w, a); former != nil {
		return delegateTo(former, a), true
	}
	if late := e.lateOwner(w, a); late != nil {
		return hopTo(late, a), true
	}
	return Verdict{}, false
}

// delegateStale sends a packet to another daemon without recording the flow: this daemon was paused, so its
// state may be stale.
func (e *Engine) delegateStale(w *world, a *arrival) (Verdict, bool) {
	other := e.firstOther(w, a.hash, anyone)
	if other == nil {
		return Verdict{}, false
	}
	return delegateTo(other, a), true
}

func delegateTo(former *model.EntryVM, a *arrival) Verdict {
	return hopWith(former, wire.HopMeta{Hops: a.hops + 1, Known: a.known, Delegated: true, Former: uint32(a.former)})
}

// formerOwner returns the previous owner of a flow during an ownership transition and records the flow as
// delegated, or returns nil. If only other daemons became owners, one of them may have owned the flow on the
// other side of a partition. If this daemon became an owner, a daemon that was an owner before may have
// owned it.
func (e *Engine) formerOwner(w *world, a *arrival) *model.EntryVM {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	if f, ok := e.delegated.flows[a.hash]; ok && w.view.Here(f.former) {
		return w.snapshot.Entry(f.former)
	}
	if !e.delegated.active {
		return nil
	}
	former := e.coveringOwner(w, a)
	if former == nil {
		former = e.ownerBefore(w, a.hash, 0)
	}
	if former != nil {
		e.delegated.flows[a.hash] = delegatedFlow{key: a.meta.Key(), seq: a.meta.Seq, former: former.ID, covered: a.former}
	}
	return former
}

// leaveToFormer adds flows to those that are taken over when the transition finishes.
func (e *Engine) leaveToFormer(flows map[model.FlowHash]delegatedFlow) {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	for h, f := range flows {
		if e.delegated.active {
			e.delegated.flows[h] = f
		}
	}
}

// endDelegation stops adding delegated flows. It returns the delegated flows and whether further ones could
// be added until now.
func (e *Engine) endDelegation() (flows map[model.FlowHash]delegatedFlow, first bool) {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	first = e.delegated.active
	e.delegated.active = false
	return maps.Clone(e.delegated.flows), first
}

// decideFor decides about a packet of a flow that another daemon owns but does not know. It records the flow
// in this daemon's log even if its target is the default one, so that the owner learns of it.
func (e *Engine) decideFor(w *world, a *arrival, owner model.MachineID) Verdict {
	if _, ok := e.touch(a); !ok {
		if v, passed := e.askOn(w, a, owner); passed {
			return v
		}
	}
	entry, ok := e.table.Get(a.hash)
	if !ok {
		return drop(errkind.NotReady)
	}
	if !entry.Exception && e.fresh(a.now) {
		e.placing.RLock()
		defer e.placing.RUnlock()
		e.table.SetException(a.hash, true)
		e.log.Add(a.hash, entry.Target)
	}
	return e.toTarget(w, entry.Target)
}

// askOn takes over an unknown flow on behalf of its owner, or sends its packet to a daemon that may know it;
// it then returns true with the verdict.
func (e *Engine) askOn(w *world, a *arrival, owner model.MachineID) (Verdict, bool) {
	if a.former == 0 {
		a.former = e.seen.Former(a.hash, a.numbers())
	}
	rank := w.rankWithout(a.hash, owner)
	if _, named := e.copies.Find(a.hash, rank); !named {
		if asker := w.snapshot.Entry(owner); asker != nil && e.declines(w, a, owner) {
			return hopWith(asker, wire.HopMeta{Hops: a.hops + 1, Known: a.known, Declined: true, Former: uint32(a.former)}), true
		}
		if former := e.formerlyHere(w, a, owner); former != nil {
			return delegateTo(former, a), true
		}
	}
	t, sure := e.resolveFrom(w, a, e.predecessor(w, a, rank), rank)
	if !sure {
		if v, passed := e.askUnsure(w, a, owner); passed {
			return v, true
		}
	}
	v := e.takeOver(w, a, t)
	_, entered := e.table.Get(a.hash)
	return v, !entered
}

// askUnsure sends on a packet of a flow whose target depends on the lists of the previous owner, which this
// daemon does not hold: another daemon may hold them. A daemon that is not ready drops the packet instead of
// guessing, and the caller retransmits it.
func (e *Engine) askUnsure(w *world, a *arrival, owner model.MachineID) (Verdict, bool) {
	if a.hops < maxHops {
		other := e.firstOther(w, a.hash, func(id model.MachineID) bool { return id != owner })
		if other != nil {
			return delegateTo(other, a), true
		}
	}
	return drop(errkind.NotReady), !e.ready.Load()
}

// declines reports whether this daemon leaves an unknown flow to an owner that rejoined after a partition:
// this daemon owned the flow on its own side of the partition, so it would know a flow that was placed on
// that side.
func (e *Engine) declines(w *world, a *arrival, owner model.MachineID) bool {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	d := &e.delegated
	if a.hops >= maxHops || !d.active || !slices.Contains(d.returned, owner) {
		return false
	}
	thisSide := func(id model.MachineID) uint64 {
		if slices.Contains(d.returned, id) {
			return lastRank
		}
		return w.rank(a.hash, id)
	}
	return w.formerly(a.hash, e.cfg.Self, thisSide) == 0
}

// doubt makes peers stop relying on this daemon's log, because this daemon received a packet of a flow whose
// target it cannot determine by itself.
func (e *Engine) doubt() {
	e.log.SetComplete(false)
	e.doubting.Store(true)
}

// formerlyHere returns the daemon to which this one would delegate an unknown flow if it owned the flow,
// during an ownership transition and below the forwarding limit. It returns nil for an owner that was added
// in the transition, since that owner already asks the right daemon.
func (e *Engine) formerlyHere(w *world, a *arrival, owner model.MachineID) *model.EntryVM {
	if a.hops >= maxHops {
		return nil
	}
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	if !e.delegated.active || slices.Contains(e.delegated.appeared, owner) {
		return nil
	}
	return e.ownerBefore(w, a.hash, owner)
}
