package core

import (
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
)

// judgeReady makes the daemon an owner once its view is settled and it holds every live owner's log.
func (e *Engine) judgeReady(now time.Time) []Action {
	if e.ready.Load() || !e.awake || e.leaving || !e.caughtUp() {
		return nil
	}
	e.ready.Store(true)
	out := []Action{ReadyChanged{Ready: true, Reason: ReasonCaughtUp}}
	return append(out, e.handleMembers(now, e.members.SetReady(now, true))...)
}

// caughtUp reports whether every published daemon was heard of and follows this daemon's log, or had the
// time to, and every log that this daemon follows has a snapshot here.
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

// followed returns the copies of the logs that this daemon takes from the members that count.
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

// Leave starts the planned stop: this daemon owns no flows from now on and goes on passing packets.
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

// Drained reports whether every peer has applied this daemon's whole log, so that a leaving daemon
// can stop without a loss.
func (e *Engine) Drained() bool {
	return e.log.Unacknowledged() == 0
}

// Left ends the planned stop: peers need not wait for this daemon's silence.
func (e *Engine) Left(now time.Time) []Action {
	e.control.Lock()
	defer e.control.Unlock()
	return e.handleMembers(now, e.members.SetLeft(now))
}
