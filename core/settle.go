package core

import (
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// unsettle starts an ownership transition: unknown flows are delegated to their previous owners until every
// other owner's log is known here as of after the change.
func (e *Engine) unsettle(now time.Time, c ownersChange) {
	e.log.SetComplete(false)
	e.unsettled.Store(true)
	e.settleBy = now.Add(e.cfg.SettleTime)
	e.settleMark = flow.Mark(e.mark.Load())
	e.healing = append(e.healing, c.returned...)
	e.delegated.begin(e.cfg.Self, c)
}

// settle finishes the ownership transition in two steps. Once every other log is known as of after the
// change, no more flows are delegated. Once every other log is known as of after that point, it contains the
// decisions of the previous owners, and this daemon takes over the delegated flows. After settleBy it does
// not wait any longer.
func (e *Engine) settle(now time.Time) {
	if !e.unsettled.Load() || e.waitsForLate() {
		return
	}
	patient := now.Before(e.settleBy)
	if patient && (!e.current() || e.firstHealing() != 0) {
		return
	}
	flows, first := e.endDelegation()
	if first && patient && len(flows) > 0 {
		e.settleMark = flow.Mark(e.mark.Load())
		return
	}
	w := e.world.Load()
	for h, f := range flows {
		e.takeIn(w, now, h, f)
	}
	e.delegated.mu.Lock()
	e.delegated.flows = nil
	e.delegated.mu.Unlock()
	e.unsettled.Store(false)
	e.log.SetComplete(true)
	e.switchGeneration(w.snapshot.Generation())
	e.recount(now, w)
}

// current reports whether the replica of every live owner's log was written after this daemon noticed the
// last change of the owners and has the same default targets. It requests updates from the owners whose
// replica is not current.
func (e *Engine) current() bool {
	w := e.world.Load()
	all := true
	e.delegated.mu.Lock()
	ceased := slices.Clone(e.delegated.ceased)
	e.delegated.mu.Unlock()
	owns := func(m membership.MemberView) bool {
		return m.Owner || (m.Here && slices.Contains(ceased, flow.Peer{ID: m.Entry.ID, Incarnation: m.Incarnation}))
	}
	for _, cp := range e.followed(owns) {
		p := cp.Position()
		if p.Heard > e.settleMark && e.agrees(w, p.Generation) {
			continue
		}
		cp.Want(e.settleMark)
		all = false
	}
	return all
}

// agrees reports whether flows without a record in a log of generation g have the default targets of this
// daemon's log or of its current lists. If they do not, the other owner is about to switch to the current
// lists and will then add records for the flows that differ.
func (e *Engine) agrees(w *world, g model.Generation) bool {
	r := w.routeOf(g)
	return r != nil && (r == w.routeOf(e.log.Generation()) || r == w.newest())
}

// takeIn takes over one delegated flow if this daemon still owns it.
func (e *Engine) takeIn(w *world, now time.Time, h model.FlowHash, f delegatedFlow) {
	if owner := w.owner(h); owner == nil || owner.ID != e.cfg.Self {
		return
	}
	if _, known := e.table.Get(h); known {
		return
	}
	meta := packet.Meta{Src: f.key.Caller, Dst: f.key.Service, Flags: packet.ACK, Seq: f.seq}
	a := arrival{now: now, meta: &meta, hash: h, former: f.covered}
	rank := e.rank(w, h)
	former := e.copies.Of(f.former)
	if former == nil {
		former = e.predecessor(w, &a, rank)
	}
	t, sure := e.resolveFrom(w, &a, former, rank)
	if t == nil || !sure {
		return
	}
	e.placing.RLock()
	defer e.placing.RUnlock()
	e.enterTakenOver(w, &a, t)
}
