package owners

import (
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// handleMembers carries out the membership's actions or passes them on.
func (e *Engine) handleMembers(now time.Time, in []membership.Action) []Action {
	var out []Action
	for _, action := range in {
		switch a := action.(type) {
		case membership.SendHeartbeat:
			out = append(out, e.heartbeats(a)...)
		case membership.MemberChanged:
			out = append(out, MemberChanged{a})
		case membership.ZoneChanged:
			out = append(out, ZoneChanged{a})
		case membership.SelfPaused:
			out = append(out, e.handlePause()...)
		case membership.SelfJoined:
			e.membersKnown = true
		case membership.IncarnationOutdated:
			out = append(out, Outdated{Newest: a.Newest})
		}
	}
	e.applyView(now)
	return out
}

func (e *Engine) heartbeats(a membership.SendHeartbeat) []Action {
	if a.Periodic {
		a.Heartbeat.Sections = e.cfg.Sections()
	}
	body := a.Heartbeat.AppendTo(nil)
	out := make([]Action, 0, len(a.To))
	for _, to := range a.To {
		out = append(out, SendPeer{To: to, Kind: wire.KindHeartbeat, Body: body})
	}
	return out
}

// handlePause discards the state that may have changed during a pause of this process.
func (e *Engine) handlePause() []Action {
	e.flowCache.Clear()
	e.membersKnown = false
	e.needsFullSync = true
	if !e.ready.Load() {
		return nil
	}
	e.ready.Store(false)
	return []Action{ReadyChanged{Reason: ReasonPaused}}
}

// applyView applies a new view of the members: replicas of unreachable daemons' logs are retired (kept for
// the retention time, but no longer updated), and this daemon's log goes to the reachable daemons.
func (e *Engine) applyView(now time.Time) {
	rs := e.routingState.Load()
	v := e.members.View()
	if rs == nil || rs.view.Version == v.Version {
		return
	}
	change := compareOwners(rs.view, v)
	next := rs.withView(now, flow.Mark(e.mark.Load()), v)
	if !e.ready.Load() || change.hasAdded(e.cfg.Self) {
		// Of the views before this daemon owned flows, only the last one says who owned them.
		next.pastViews = next.pastViews[:1]
		change.added = []model.MachineID{e.cfg.Self}
	}
	change.rejoined = rs.unreachablePeers.intersect(change.added)
	e.routingState.Store(next)
	e.updateReplicas(now, next)
	if change.any() {
		e.startTransition(now, change)
		e.takeOverExceptions(now, next)
	}
	e.loads.SetOwners(countOwners(v))
}

func (e *Engine) updateReplicas(now time.Time, rs *routingState) {
	var peers []flow.Peer
	for _, m := range rs.view.Members() {
		if m.Entry.ID == e.cfg.Self {
			continue
		}
		if !m.Reachable {
			e.replicas.Retire(now, m.Entry.ID)
			continue
		}
		if e.replicatesLog(rs, e.cfg.Self, m.Entry.ID) {
			peers = append(peers, flow.Peer{ID: m.Entry.ID, Incarnation: m.Incarnation})
		}
		if e.replicatesLog(rs, m.Entry.ID, e.cfg.Self) {
			e.replicas.Revive(m.Entry.ID, m.Incarnation)
			e.replicas.Ensure(now, m.Entry.ID, m.Incarnation)
		}
	}
	e.log.SetPeers(peers)
}

// ownersChange is the difference between the owners of two successive views.
type ownersChange struct {
	// added lists the daemons that became owners, including those with a new incarnation.
	added []model.MachineID
	// rejoined lists those of the added ones that were unreachable because of a partition.
	rejoined []model.MachineID
	// removed lists the daemons that are no longer owners.
	removed []flow.Peer
}

// any reports whether the owners changed.
func (c ownersChange) any() bool {
	return len(c.added)+len(c.removed) > 0
}

// hasAdded reports whether a daemon became an owner.
func (c ownersChange) hasAdded(id model.MachineID) bool {
	return slices.Contains(c.added, id)
}

// compareOwners returns how the owners of b differ from those of a. It does not set rejoined.
func compareOwners(a, b *membership.View) ownersChange {
	var c ownersChange
	for _, m := range a.Members() {
		if after, ok := b.Member(m.Entry.ID); m.Owner && (!ok || !after.Owner) {
			c.removed = append(c.removed, flow.Peer{ID: m.Entry.ID, Incarnation: m.Incarnation})
		}
	}
	for _, m := range b.Members() {
		before, ok := a.Member(m.Entry.ID)
		if m.Owner && (!ok || !before.Owner || before.Incarnation != m.Incarnation) {
			c.added = append(c.added, m.Entry.ID)
		}
	}
	return c
}

func countOwners(v *membership.View) int {
	n := 0
	for _, m := range v.Members() {
		if m.Owner {
			n++
		}
	}
	return n
}
