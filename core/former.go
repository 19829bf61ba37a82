package core

import (
	"slices"

	"github.com/fireflypin/fireflypin/model"
)

// ownerBefore returns the daemon that owned a flow before the change, or nil. It is the first in the
// flow's order that was an owner and can be reached: one that still is, or one that leaves and whose log
// may not have arrived here in full. Where this daemon was an owner itself, it is one that leaves and comes
// before it, or one that came back from beyond a partition. The daemon that asks, 0 for none, does not
// count. Callers hold the delegation's lock.
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

// firstCeased returns the daemon that ceased to be an owner in the change, can be reached and comes first
// in the flow's order, before a rank; or nil.
func (e *Engine) firstCeased(w *world, h model.FlowHash, before uint64) *model.EntryVM {
	var first *model.EntryVM
	for _, p := range e.delegated.ceased {
		if r := w.rank(h, p.ID); p.ID != e.cfg.Self && w.runs(p) && r < before {
			first, before = w.snapshot.Entry(p.ID), r
		}
	}
	return first
}

// earlier returns the one of two daemons that comes first in a flow's order; either may be nil.
func (e *Engine) earlier(w *world, h model.FlowHash, a, b *model.EntryVM) *model.EntryVM {
	if a == nil || (b != nil && w.rank(h, b.ID) < w.rank(h, a.ID)) {
		return b
	}
	return a
}

// coveringOwner returns the daemon whose log last covered the flow, where it is another that is here.
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

// firstOther returns the first daemon in a flow's order of owners that counts, but for this one.
func (e *Engine) firstOther(w *world, h model.FlowHash, counts func(model.MachineID) bool) *model.EntryVM {
	var buf [maxOwners]*model.EntryVM
	for _, o := range w.owners(h, buf[:0]) {
		if o.ID != e.cfg.Self && counts(o.ID) {
			return o
		}
	}
	return nil
}

// anyone counts every daemon.
func anyone(model.MachineID) bool { return true }
