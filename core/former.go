package core

import (
	"slices"

	"github.com/fireflypin/fireflypin/model"
)

// ownerBefore returns the daemon that owned a flow before the transition, or nil. It is the first in the
// flow's owner order that was an owner and is reachable: one that still is an owner, or one that is draining
// and whose log may not have arrived here in full. If this daemon was an owner itself, it is a draining one
// that precedes this daemon in the order, or one that rejoined after a partition. The daemon asker (0 for
// none) is skipped. Callers must hold the lock of delegated.
func (e *Engine) ownerBefore(w *world, h model.FlowHash, asker model.MachineID) *model.EntryVM {
	d := &e.delegated
	if d.joined {
		remained := func(id model.MachineID) bool { return id != asker && !slices.Contains(d.appeared, id) }
		return e.earlier(w, h, e.firstOther(w, h, remained), e.firstCeased(w, h, lastRank))
	}
	if leaver := e.firstCeased(w, h, w.rank(h, e.cfg.Self)); leaver != nil {
		return leaver
	}
	returned := func(id model.MachineID) bool { return id != asker && slices.Contains(d.returned, id) }
	return e.firstOther(w, h, returned)
}

// firstCeased returns the daemon that is no longer an owner, is reachable and comes first in the flow's
// owner order, below the rank before; or nil.
func (e *Engine) firstCeased(w *world, h model.FlowHash, before uint64) *model.EntryVM {
	var first *model.EntryVM
	for _, p := range e.delegated.ceased {
		if r := w.rank(h, p.ID); p.ID != e.cfg.Self && w.runs(p) && r < before {
			first, before = w.snapshot.Entry(p.ID), r
		}
	}
	return first
}

// earlier returns whichever of two daemons comes first in a flow's owner order; either may be nil.
func (e *Engine) earlier(w *world, h model.FlowHash, a, b *model.EntryVM) *model.EntryVM {
	if a == nil || (b != nil && w.rank(h, b.ID) < w.rank(h, a.ID)) {
		return b
	}
	return a
}

// coveringOwner returns the daemon whose log last covered the flow, or nil if its incarnation is no longer
// reachable or has no replica here.
func (e *Engine) coveringOwner(w *world, a *arrival) *model.EntryVM {
	cp := e.copies.OfIncarnation(a.former)
	if cp == nil {
		return nil
	}
	m, ok := w.view.Member(cp.Owner)
	if !ok || !m.Here || m.Incarnation != cp.Incarnation {
		return nil
	}
	return m.Entry
}

// firstOther returns the first daemon in a flow's owner order, other than this one, for which counts returns
// true; or nil.
func (e *Engine) firstOther(w *world, h model.FlowHash, counts func(model.MachineID) bool) *model.EntryVM {
	var buf [maxOwners]*model.EntryVM
	for _, o := range w.owners(h, buf[:0]) {
		if o.ID != e.cfg.Self && counts(o.ID) {
			return o
		}
	}
	return nil
}

// anyone accepts every daemon.
func anyone(model.MachineID) bool { return true }
