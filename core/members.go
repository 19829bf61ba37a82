package core

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
			out = append(out, e.paused()...)
		case membership.SelfAwake:
			e.awake = true
		case membership.IncarnationOutdated:
			out = append(out, Outdated{Newest: a.Newest})
		}
	}
	e.refreshView(now)
	return out
}

func (e *Engine) heartbeats(a membership.SendHeartbeat) []Action {
	if a.Regular {
		a.Heartbeat.Sections = e.cfg.Sections()
	}
	body := a.Heartbeat.AppendTo(nil)
	out := make([]Action, 0, len(a.To))
	for _, to := range a.To {
		out = append(out, SendPeer{To: to, Kind: wire.KindHeartbeat, Body: body})
	}
	return out
}

// paused discards the state that may have changed during a pause of this process.
func (e *Engine) paused() []Action {
	e.seen.Clear()
	e.awake = false
	e.behind = true
	if !e.ready.Load() {
		return nil
	}
	e.ready.Store(false)
	return []Action{ReadyChanged{Reason: ReasonPaused}}
}

// refreshView applies a new view of the members: replicas of unreachable daemons' logs are retired, and this
// daemon's log goes to the reachable ones.
func (e *Engine) refreshView(now time.Time) {
	w := e.world.Load()
	v := e.members.View()
	if w == nil || w.view.Version == v.Version {
		return
	}
	change := compareOwners(w.view, v)
	next := w.withView(now, flow.Mark(e.mark.Load()), v)
	if !e.ready.Load() || change.includes(e.cfg.Self) {
		// Of the views before this daemon owned flows, only the last one says who owned them.
		next.past = next.past[:1]
		change.appeared = []model.MachineID{e.cfg.Self}
	}
	change.returned = w.hidden.among(change.appeared)
	e.world.Store(next)
	e.arrangeCopies(now, next)
	if change.any() {
		e.unsettle(now, change)
		e.inherit(now, next)
	}
	e.loads.SetOwners(countOwners(v))
}

func (e *Engine) arrangeCopies(now time.Time, w *world) {
	var peers []flow.Peer
	for _, m := range w.view.Members() {
		if m.Entry.ID == e.cfg.Self {
			continue
		}
		if !m.Here {
			e.copies.Retire(now, m.Entry.ID)
			continue
		}
		if e.takesLog(w, e.cfg.Self, m.Entry.ID) {
			peers = append(peers, flow.Peer{ID: m.Entry.ID, Incarnation: m.Incarnation})
		}
		if e.takesLog(w, m.Entry.ID, e.cfg.Self) {
			e.copies.Revive(m.Entry.ID, m.Incarnation)
			e.copies.Ensure(now, m.Entry.ID, m.Incarnation)
		}
	}
	e.log.SetPeers(peers)
}

// ownersChange is the difference between the owners of two successive views.
type ownersChange struct {
	// appeared lists the daemons that became owners, including those with a new incarnation.
	appeared []model.MachineID
	// returned lists those of the added ones that were beyond a partition.
	returned []model.MachineID
	// ceased lists the daemons that are no longer owners.
	ceased []flow.Peer
}

// any reports whether the owners changed.
func (c ownersChange) any() bool {
	return len(c.appeared)+len(c.ceased) > 0
}

// includes reports whether a daemon became an owner.
func (c ownersChange) includes(id model.MachineID) bool {
	return slices.Contains(c.appeared, id)
}

// compareOwners returns how the owners of b differ from those of a. It does not set returned.
func compareOwners(a, b *membership.View) ownersChange {
	var c ownersChange
	for _, m := range a.Members() {
		if now, ok := b.Member(m.Entry.ID); m.Owner && (!ok || !now.Owner) {
			c.ceased = append(c.ceased, flow.Peer{ID: m.Entry.ID, Incarnation: m.Incarnation})
		}
	}
	for _, m := range b.Members() {
		before, ok := a.Member(m.Entry.ID)
		if m.Owner && (!ok || !before.Owner || before.Incarnation != m.Incarnation) {
			c.appeared = append(c.appeared, m.Entry.ID)
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
