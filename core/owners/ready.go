package owners

import (
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
)

// updateReady makes this daemon an owner once its view is stable and it holds every live owner's log.
func (e *Engine) updateReady(now time.Time) []Action {
	if e.ready.Load() || !e.membersKnown || e.draining || !e.caughtUp() {
		return nil
	}
	e.ready.Store(true)
	out := []Action{ReadyChanged{Ready: true, Reason: ReasonCaughtUp}}
	return append(out, e.handleMembers(now, e.members.SetReady(now, true))...)
}

// caughtUp reports whether this daemon has caught up: it has had contact with every published daemon and they
// have applied its log, or JoinTimeout has passed; after a start or a pause, an owner has sent all the logs that
// it holds; and this daemon holds a snapshot of every log that it replicates.
func (e *Engine) caughtUp() bool {
	unknown := func(m membership.MemberView) bool { return m.State == membership.Unknown && m.Entry.ID != e.cfg.Self }
	waiting := e.lastTick.Sub(e.firstListsAt) < e.cfg.JoinTimeout
	if waiting && (lo.ContainsBy(e.View().Members(), unknown) || !e.log.FullyAcknowledged()) {
		return false
	}
	if e.needsFullSync && lo.ContainsBy(e.View().Members(), e.wantsFullSync) {
		return false
	}
	reachable := func(m membership.MemberView) bool { return m.Reachable }
	return lo.EveryBy(e.replicasOf(reachable), func(rep *flow.Replica) bool { return rep.Position().Synced })
}

// replicasOf returns this daemon's replicas of the logs of the members for which accept returns true.
func (e *Engine) replicasOf(accept func(membership.MemberView) bool) []*flow.Replica {
	rs := e.routingState.Load()
	var replicas []*flow.Replica
	for _, m := range rs.view.Members() {
		if !accept(m) || !e.replicatesLog(rs, m.Entry.ID, e.cfg.Self) {
			continue
		}
		replicas = append(replicas, e.replicas.Ensure(e.lastTick, m.Entry.ID, m.Incarnation))
	}
	return lo.Compact(replicas)
}

// Drain starts draining: from now on this daemon owns no flows, but still forwards packets.
func (e *Engine) Drain(now time.Time) []Action {
	e.controlMu.Lock()
	defer e.controlMu.Unlock()
	if e.draining {
		return nil
	}
	e.draining = true
	out := []Action{ReadyChanged{Reason: ReasonDraining}}
	return append(out, e.handleMembers(now, e.members.SetDraining(now))...)
}

// Drained reports whether every peer has applied this daemon's whole log, so that a draining daemon can stop
// without losing records.
func (e *Engine) Drained() bool {
	return e.log.Unacknowledged() == 0
}

// FinishDrain finishes draining: peers need not wait until this daemon is detected as unresponsive.
func (e *Engine) FinishDrain(now time.Time) []Action {
	e.controlMu.Lock()
	defer e.controlMu.Unlock()
	return e.handleMembers(now, e.members.SetLeft(now))
}
