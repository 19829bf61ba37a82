package core

import (
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
)

// judgeReady makes this daemon an owner once its view is stable and it holds every live owner's log.
func (e *Engine) judgeReady(now time.Time) []Action {
	if e.ready.Load() || !e.awake || e.leaving || !e.caughtUp() {
		return nil
	}
	e.ready.Store(true)
	out := []Action{ReadyChanged{Ready: true, Reason: ReasonCaughtUp}}
	return append(out, e.handleMembers(now, e.members.SetReady(now, true))...)
}

// caughtUp reports whether this daemon has had contact with every published daemon and they have applied
// this daemon's log, or JoinTime has passed, and whether every log that this daemon replicates has a
// snapshot here.
func (e *Engine) caughtUp() bool {
	unknown := func(m membership.MemberView) bool { return m.State == membership.Unknown && m.Entry.ID != e.cfg.Self }
	patient := e.lastTick.Sub(e.listsAt) < e.cfg.JoinTime
	if patient && (lo.ContainsBy(e.View().Members(), unknown) || !e.log.Applied()) {
		return false
	}
	if e.behind && lo.ContainsBy(e.View().Members(), e.wantsAll) {
		return false
	}
	here := func(m membership.MemberView) bool { return m.Here }
	return lo.EveryBy(e.followed(here), func(cp *flow.Copy) bool { return cp.Position().Synced })
}

// followed returns the replicas of the logs that this daemon keeps of the members for which counts returns
// true.
func (e *Engine) followed(counts func(membership.MemberView) bool) []*flow.Copy {
	w := e.world.Load()
	var copies []*flow.Copy
	for _, m := range w.view.Members() {
		if !counts(m) || !e.takesLog(w, m.Entry.ID, e.cfg.Self) {
			continue
		}
		copies = append(copies, e.copies.Ensure(e.lastTick, m.Entry.ID, m.Incarnation))
	}
	return lo.Compact(copies)
}

// Leave starts draining: from now on this daemon owns no flows, but still forwards packets.
func (e *Engine) Leave(now time.Time) []Action {
	e.control.Lock()
	defer e.control.Unlock()
	if e.leaving {
		return nil
	}
	e.leaving = true
	out := []Action{ReadyChanged{Reason: ReasonLeaving}}
	return append(out, e.handleMembers(now, e.members.SetLeaving(now))...)
}

// Drained reports whether every peer has applied this daemon's whole log, so that a draining daemon can stop
// without losing records.
func (e *Engine) Drained() bool {
	return e.log.Unacknowledged() == 0
}

// Left finishes draining: peers need not wait until this daemon is detected as unresponsive.
func (e *Engine) Left(now time.Time) []Action {
	e.control.Lock()
	defer e.control.Unlock()
	return e.handleMembers(now, e.members.SetLeft(now))
}
