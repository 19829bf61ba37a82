package core

import (
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// carryOn handles a packet of a flow that this daemon owns but does not know: a previous owner placed the
// flow, or the packet belongs to none.
func (e *Engine) carryOn(w *world, a *arrival) Verdict {
	if a.former == 0 {
		a.former = e.seen.Former(a.hash, a.numbers())
	}
	if v, ok := e.delegate(w, a); ok {
		return v
	}
	t, sure := e.resolve(w, a)
	if !sure {
		if other := e.firstOther(w, a.hash, anyone); other != nil && a.hops < maxHops {
			e.doubt()
			return delegateTo(other, a)
		}
	}
	return e.takeOver(w, a, t)
}

// takeOver sends a packet of an unknown flow to its target and records the flow, unless the flow ends or
// this daemon's lease has run out.
func (e *Engine) takeOver(w *world, a *arrival, t *model.Target) Verdict {
	if t == nil {
		return drop(errkind.TargetLost)
	}
	if a.closes() || !e.fresh(a.now) {
		return forward(t)
	}
	e.placing.RLock()
	defer e.placing.RUnlock()
	return e.enterTakenOver(w, a, t)
}

// enterTakenOver records a flow that another owner admitted and counts it for its customer.
func (e *Engine) enterTakenOver(w *world, a *arrival, t *model.Target) Verdict {
	v, added := e.enter(w, a, t, flow.StateOpening)
	if added {
		e.countTakenOver(w, a.now, a.hash, flow.EndpointOf(a.meta.Src), flow.EndpointOf(a.meta.Dst))
	}
	return v
}

// resolve returns the target of a flow that a previous owner placed. sure is false if this daemon does not
// hold the lists of the previous owner's generation.
func (e *Engine) resolve(w *world, a *arrival) (t *model.Target, sure bool) {
	rank := e.rank(w, a.hash)
	return e.resolveFrom(w, a, e.predecessor(w, a, rank), rank)
}

// predecessor returns the replica of the log of a flow's previous owner: the one whose log covered the flow
// at the daemon that the packet came from, else the last other owner in the past views, else the daemon,
// live or not, with the lowest rank. It returns nil if there is none.
func (e *Engine) predecessor(w *world, a *arrival, rank flow.Rank) *flow.Copy {
	if a.former != 0 {
		if cp := e.copies.OfIncarnation(a.former); cp != nil {
			return cp
		}
	}
	if former := w.formerly(a.hash, e.cfg.Self, rank); former != 0 {
		if cp := e.copies.Latest(former); cp != nil {
			return cp
		}
	}
	return e.copies.First(rank)
}

// resolveFrom returns the target that the previous owner's log has for the flow, else the one in another
// log, else the default target of the previous owner's generation. It returns no target while the lists of
// that generation have yet to arrive: the caller then retransmits the packet, while a packet to a wrong
// target would reset the flow.
func (e *Engine) resolveFrom(w *world, a *arrival, predecessor *flow.Copy, rank flow.Rank) (t *model.Target, sure bool) {
	if predecessor != nil {
		if id, ok := predecessor.Lookup(a.hash); ok {
			return w.targets[id], true
		}
	}
	if id, ok := e.copies.Find(a.hash, rank); ok {
		return w.targets[id], true
	}
	if predecessor == nil {
		return w.newest().defaultTarget(a.meta.Dst, a.hash), true
	}
	g := predecessor.Position().Generation
	if r := w.routeOf(g); r != nil {
		return r.defaultTarget(a.meta.Dst, a.hash), true
	}
	if w.awaits(g) {
		return nil, false
	}
	return w.newest().defaultTarget(a.meta.Dst, a.hash), false
}

// awaits reports whether the lists of a generation are newer than the current ones, so that they will
// arrive.
func (w *world) awaits(g model.Generation) bool {
	own := w.snapshot.Generation()
	return g.Plans > own.Plans || g.Machines > own.Machines
}

// rank orders owners by how likely each was the flow's owner before: lower comes first.
func (e *Engine) rank(w *world, h model.FlowHash) flow.Rank {
	return func(owner model.MachineID) uint64 { return w.rank(h, owner) }
}
