package core

import (
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
)

// lateFlows holds flows that were first met long after a zone became unreachable. They may have been
// placed on the other side of the partition, which may have healed a moment ago.
type lateFlows struct {
	mu    sync.Mutex
	since map[model.FlowHash]time.Time
}

// maxLateFlows bounds lateFlows; beyond it flows are decided on at once.
const maxLateFlows = 65536

// hidden is the daemons that this side of a partition cannot reach. It is immutable.
type hidden struct {
	entries []*model.EntryVM
	since   time.Time
}

// newHidden returns the daemons that are alive by all that was heard but in an unreachable zone, or
// nil. since is kept from the hidden before.
func newHidden(now time.Time, v *membership.View, before *hidden) *hidden {
	next := &hidden{since: now}
	if before != nil {
		next.since = before.since
	}
	for _, m := range v.Members() {
		if !m.Here && (m.State == membership.Alive || m.State == membership.Suspect) {
			next.entries = append(next.entries, m.Entry)
		}
	}
	if len(next.entries) == 0 {
		return nil
	}
	return next
}

// lateOwner returns the daemon beyond a partition that would own a flow, while the flow is new here and
// the partition is old; else nil. A packet sent there is lost while the partition lasts, and the caller
// repeats it: by then this daemon decides itself.
func (e *Engine) lateOwner(w *world, a *arrival) *model.EntryVM {
	if w.hidden == nil || a.now.Sub(w.hidden.since) < e.cfg.LateAfter {
		return nil
	}
	e.late.mu.Lock()
	defer e.late.mu.Unlock()
	first, met := e.late.since[a.hash]
	if !met {
		if len(e.late.since) >= maxLateFlows {
			return nil
		}
		first = a.now
		e.late.since[a.hash] = first
	}
	if a.now.Sub(first) >= e.cfg.LatePatience {
		return nil
	}
	return w.firstHidden(a.hash)
}

// firstHidden returns the hidden daemon that comes first in a flow's order of owners.
func (w *world) firstHidden(h model.FlowHash) *model.EntryVM {
	first := w.hidden.entries[0]
	for _, o := range w.hidden.entries[1:] {
		if w.rank(h, o.ID) < w.rank(h, first.ID) {
			first = o
		}
	}
	return first
}

// forgetLate drops late flows that were decided on or given up.
func (e *Engine) forgetLate(now time.Time) {
	e.late.mu.Lock()
	defer e.late.mu.Unlock()
	for h, first := range e.late.since {
		if now.Sub(first) > 4*e.cfg.LatePatience {
			delete(e.late.since, h)
		}
	}
}
