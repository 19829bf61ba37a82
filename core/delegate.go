package core

import (
	"maps"
	"slices"
	"sync"

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
	// appeared names the daemons, this one among them, that became owners in the change.
	appeared []model.MachineID
	// ceased names the daemons that were owners before the change.
	ceased []flow.Peer
}

// delegatedFlow is a flow whose packets are left to its former owner.
type delegatedFlow struct {
	key packet.FlowKey
	// former is 0 where the flow's order alone tells.
	former model.MachineID
	// covered is the owner whose log last covered the flow at the daemon that met it; 0 for none.
	covered flow.Incarnated
}

// delegate leaves a packet of a flow that is unknown here to the daemon that may know the flow. It
// returns false where this daemon has to decide itself.
func (e *Engine) delegate(w *world, a *arrival) (Verdict, bool) {
	if a.hops >= maxHops {
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
		e.delegated.flows[a.hash] = delegatedFlow{key: a.meta.Key(), former: former.ID, covered: a.former}
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

// decideFor decides on a packet of a flow that another daemon owns but does not know. The flow enters
// this daemon's log, from which the owner learns of it.
func (e *Engine) decideFor(w *world, a *arrival, owner model.MachineID) Verdict {
	if entry, ok := e.touch(a); ok {
		return e.toTarget(w, entry.Target)
	}
	if a.former == 0 {
		a.former = e.seen.Former(a.hash)
	}
	rank := w.rankWithout(a.hash, owner)
	if _, named := e.copies.Find(a.hash, rank); !named {
		if former := e.formerlyHere(w, a, owner); former != nil {
			return delegateTo(former, a)
		}
	}
	t, sure := e.resolveFrom(w, a, e.predecessor(w, a, rank), rank)
	if sure {
		return e.takeOver(w, a, t)
	}
	return e.decideUnsure(w, a, owner, t)
}

// decideUnsure handles a packet of a flow whose predecessor's lists this daemon does not hold: another
// daemon may hold them. A daemon that has just started does not guess: the caller repeats the packet.
func (e *Engine) decideUnsure(w *world, a *arrival, owner model.MachineID, guess *model.Target) Verdict {
	if a.hops < maxHops {
		other := e.firstOther(w, a.hash, func(id model.MachineID) bool { return id != owner })
		if other != nil {
			return delegateTo(other, a)
		}
	}
	if !e.ready.Load() {
		return drop(errkind.NotReady)
	}
	return e.takeOver(w, a, guess)
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

// doubt makes peers stop relying on this daemon's log, since it met a flow that it cannot resolve by
// itself.
func (e *Engine) doubt() {
	e.log.SetComplete(false)
	e.doubting.Store(true)
}
