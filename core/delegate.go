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

// delegation holds the flows that this daemon owns and does not know while a change of the members
// settles. Their packets go to the former owners; the flows are taken in when the change has settled.
type delegation struct {
	mu sync.Mutex
	// active is true while further flows may be added.
	active bool
	flows  map[model.FlowHash]delegatedFlow
	// joined is true where this daemon became an owner in the change; appeared then names the others that
	// did.
	joined   bool
	appeared []model.MachineID
	// returned names the daemons that came back from beyond a partition.
	returned []model.MachineID
	// ceased names the daemons that were owners before the change.
	ceased []flow.Peer
}

// begin adds a change of the owners to those that have not settled yet.
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
		// The healing of a partition counts for more than this daemon's own start.
		d.joined = false
	}
	d.appeared = append(d.appeared, c.appeared...)
	d.returned = append(d.returned, c.returned...)
	d.ceased = lo.Reject(d.ceased, func(p flow.Peer, _ int) bool { return c.includes(p.ID) })
	d.ceased = append(d.ceased, c.ceased...)
}

// delegatedFlow is a flow whose packets are left to its former owner.
type delegatedFlow struct {
	key packet.FlowKey
	// seq is the caller's number in the packet that was left to the former owner.
	seq uint32
	// former is 0 where the flow's order alone tells.
	former model.MachineID
	// covered is the owner whose log last covered the flow at the daemon that met it; 0 for none.
	covered flow.Incarnated
}

// delegate leaves a packet of a flow that is unknown here to the daemon that may know the flow. It
// returns false where this daemon has to decide itself.
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

// delegateStale passes a packet on without remembering the flow: this daemon was paused.
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

// formerOwner notes a flow that is left to its former owner while a change of the members settles, and
// returns that owner. Where only others appeared, one of them may have owned the flow on the other side
// of a partition; where this daemon appeared itself, one that did not may have.
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

// leaveToFormer adds flows to those that are taken in when the members have settled.
func (e *Engine) leaveToFormer(flows map[model.FlowHash]delegatedFlow) {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	for h, f := range flows {
		if e.delegated.active {
			e.delegated.flows[h] = f
		}
	}
}

// endDelegation returns the delegated flows, and whether further ones could be added until now.
func (e *Engine) endDelegation() (flows map[model.FlowHash]delegatedFlow, first bool) {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	first = e.delegated.active
	e.delegated.active = false
	return maps.Clone(e.delegated.flows), first
}

// decideFor decides on a packet of a flow that another daemon owns but does not know. This daemon's log names
// the flow then, whatever its default is, so that the owner learns of it.
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

// askOn takes in an unknown flow for its owner, or passes its packet on to a daemon that may know it; it
// then returns true with the verdict.
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

// askUnsure passes on a packet of a flow whose predecessor's lists this daemon does not hold: another daemon
// may hold them. A daemon that has just started does not guess: the caller repeats the packet.
func (e *Engine) askUnsure(w *world, a *arrival, owner model.MachineID) (Verdict, bool) {
	if a.hops < maxHops {
		other := e.firstOther(w, a.hash, func(id model.MachineID) bool { return id != owner })
		if other != nil {
			return delegateTo(other, a), true
		}
	}
	return drop(errkind.NotReady), !e.ready.Load()
}

// declines reports whether this daemon leaves an unknown flow to an owner that came back from beyond a
// partition: it has owned the flow itself on this side, and so would know what was placed here.
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

// doubt makes peers stop relying on this daemon's log, since it met a flow that it cannot resolve by
// itself.
func (e *Engine) doubt() {
	e.log.SetComplete(false)
	e.doubting.Store(true)
}

// formerlyHere returns the daemon to which this one would leave an unknown flow if it owned it, while
// members settle and hops remain. An owner that has appeared in the change asks the right daemon already.
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
