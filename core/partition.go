package core

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
)

// lateFlows holds flows that this daemon first received packets of after a zone became unreachable. They may
// have been placed on the other side of the partition, which may just have healed, so the decision about
// them is delayed.
type lateFlows struct {
	mu    sync.Mutex
	flows map[model.FlowHash]lateFlow
}

type lateFlow struct {
	delegatedFlow
	since time.Time
}

// maxLateFlows bounds lateFlows; flows beyond it are decided about at once.
const maxLateFlows = 65536

// hidden is the set of daemons that this side of a partition cannot reach. It is immutable.
type hidden struct {
	entries []*model.EntryVM
	// mark is this daemon's mark when the first zone became unreachable.
	mark flow.Mark
}

// newHidden returns the daemons in unreachable zones that are not known to have failed or stopped, or nil if
// there are none. It keeps the mark of the previous set.
func newHidden(mark flow.Mark, v *membership.View, before *hidden) *hidden {
	next := &hidden{mark: mark}
	if before != nil {
		next.mark = before.mark
	}
	for _, m := range v.Members() {
		if m.Hidden {
			next.entries = append(next.entries, m.Entry)
		}
	}
	if len(next.entries) == 0 {
		return nil
	}
	return next
}

// among returns those of the given daemons that are unreachable.
func (x *hidden) among(ids []model.MachineID) []model.MachineID {
	if x == nil {
		return nil
	}
	return lo.Filter(ids, func(id model.MachineID, _ int) bool {
		return slices.ContainsFunc(x.entries, func(e *model.EntryVM) bool { return e.ID == id })
	})
}

// lateOwner returns the unreachable daemon that would own a flow, if no daemon on this side is known to have
// received packets of the flow before the partition; else nil. A packet sent there is lost while the
// partition lasts, and the caller retransmits it; after LatePatience this daemon decides itself.
func (e *Engine) lateOwner(w *world, a *arrival) *model.EntryVM {
	if w.hidden == nil || e.metHere(w, a) {
		return nil
	}
	e.late.mu.Lock()
	defer e.late.mu.Unlock()
	late, met := e.late.flows[a.hash]
	if met && a.now.Sub(late.since) >= e.cfg.LatePatience {
		return nil
	}
	if !met && len(e.late.flows) >= maxLateFlows {
		return nil
	}
	beyond := w.firstHidden(a.hash)
	if !met {
		former := delegatedFlow{key: a.meta.Key(), seq: a.meta.Seq, former: beyond.ID, covered: a.former}
		e.late.flows[a.hash] = lateFlow{delegatedFlow: former, since: a.now}
		e.doubt()
	}
	return beyond
}

// metHere reports whether a daemon on this side of a partition is known to have received packets of a flow
// before the partition. A previous owner is evidence of that if a replica of its log is held here and it is
// not on the other side itself: a daemon from there may have forwarded the packet, as it does once the
// partition has healed for it.
func (e *Engine) metHere(w *world, a *arrival) bool {
	if a.known {
		return true
	}
	former := e.copies.OfIncarnation(a.former)
	return former != nil && len(w.hidden.among([]model.MachineID{former.Owner})) == 0
}

// firstHidden returns the unreachable daemon that comes first in a flow's owner order.
func (w *world) firstHidden(h model.FlowHash) *model.EntryVM {
	first := w.hidden.entries[0]
	for _, o := range w.hidden.entries[1:] {
		if w.rank(h, o.ID) < w.rank(h, first.ID) {
			first = o
		}
	}
	return first
}

// judgeLate takes over the late flows whose timeout has passed. Once the partition has healed, they are
// delegated to the daemons from the other side like all unknown flows during an ownership transition.
func (e *Engine) judgeLate(now time.Time, w *world) {
	e.late.mu.Lock()
	over := make(map[model.FlowHash]delegatedFlow)
	for h, f := range e.late.flows {
		if w.hidden == nil || now.Sub(f.since) >= e.cfg.LatePatience {
			over[h] = f.delegatedFlow
			delete(e.late.flows, h)
		}
	}
	e.late.mu.Unlock()
	if w.hidden == nil {
		e.leaveToFormer(over)
		return
	}
	for h, f := range over {
		f.former = 0
		e.takeIn(w, now, h, f)
	}
}

// waitsForLate reports whether there are late flows that have not been decided about.
func (e *Engine) waitsForLate() bool {
	e.late.mu.Lock()
	defer e.late.mu.Unlock()
	return len(e.late.flows) > 0
}
