package core

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Tick drives everything that depends on time alone. Call it about every 100 ms: a longer gap than
// Config.Members.PauseLimit counts as a pause of the process.
func (e *Engine) Tick(now time.Time) []Action {
	e.control.Lock()
	defer e.control.Unlock()
	out := e.handleMembers(now, e.members.Tick(now))
	if e.world.Load() == nil {
		return out
	}
	e.lastTick = now
	if e.doubting.Swap(false) {
		e.unsettle(now, nil, nil)
	}
	e.judgeLate(now, e.world.Load())
	e.settle(now)
	if !now.Before(e.nextLog) {
		e.nextLog = now.Add(e.cfg.LogInterval)
		e.mark.Add(1)
		out = append(out, e.syncPeers(now)...)
	}
	out = append(out, e.fetchMissing(now)...)
	out = append(out, e.judgeReady(now)...)
	e.expire(now)
	return out
}

// expire forgets silent flows, a shard a tick, and old copies. While a zone is unreachable, open flows
// are kept: their packets may arrive beyond the partition.
func (e *Engine) expire(now time.Time) {
	e.turn++
	keepOpen := e.world.Load().hidden != nil
	for _, x := range e.table.Expire(now, e.turn, keepOpen) {
		e.ended(now, x.Hash, x.Entry)
	}
	e.copies.Expire(now)
}

// handleMembers carries out what the membership asks for and reports the rest.
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

// paused gives up everything that may have changed unseen.
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

// refreshView takes over a new view of the members: copies of daemons that are gone are retired, and
// the log goes to those that are here.
func (e *Engine) refreshView(now time.Time) {
	w := e.world.Load()
	v := e.members.View()
	if w == nil || w.view.Version == v.Version {
		return
	}
	appeared, ceased := compareOwners(w.view, v)
	next := w.withView(now, flow.Mark(e.mark.Load()), v)
	if !e.ready.Load() || slices.Contains(appeared, e.cfg.Self) {
		// Of what this daemon saw before it owned flows, only the last view says who owned them.
		next.past = next.past[:1]
		appeared = []model.MachineID{e.cfg.Self}
	}
	e.world.Store(next)
	e.arrangeCopies(now, next)
	if len(appeared)+len(ceased) > 0 {
		e.unsettle(now, appeared, ceased)
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

// syncPeers sends each peer what is due of the log and of the acknowledgements, in one datagram.
func (e *Engine) syncPeers(now time.Time) []Action {
	var out []Action
	for _, m := range e.world.Load().view.Members() {
		if !m.Here || m.Entry.ID == e.cfg.Self {
			continue
		}
		if body := e.syncBody(now, m.Entry.ID); len(body) > 0 {
			out = append(out, SendPeer{To: m.Entry, Kind: wire.KindBundle, Body: body})
		}
	}
	return out
}

func (e *Engine) syncBody(now time.Time, peer model.MachineID) []byte {
	var body []byte
	if b, ok := e.log.Batch(now, peer); ok {
		b.OwnerIncarnation = e.cfg.Incarnation
		b.Owners = e.world.Load().view.Digest
		body = wire.AppendBundled(body, wire.KindLogBatch, b.AppendTo(nil))
	}
	cp := e.copies.Of(peer)
	if cp == nil {
		return body
	}
	if a, ok := cp.TakeAck(flow.Mark(e.mark.Load())); ok {
		body = wire.AppendBundled(body, wire.KindLogAck, a.AppendTo(nil))
	}
	return body
}

// fetchMissing asks for the snapshots of owners whose log cannot be followed otherwise, and, after a start
// or a pause, asks one owner for all that it holds: logs of daemons that cannot be reached are among it.
func (e *Engine) fetchMissing(now time.Time) []Action {
	var out []Action
	for _, m := range e.world.Load().view.Members() {
		cp := e.copies.Of(m.Entry.ID)
		missing := cp != nil && cp.NeedsSnapshot(now, e.cfg.Log.ResendAfter)
		if !m.Here || m.Entry.ID == e.cfg.Self || !(missing || e.wantsAll(m)) {
			continue
		}
		if now.Sub(e.fetches[m.Entry.ID]) < e.cfg.SnapshotInterval {
			continue
		}
		e.fetches[m.Entry.ID] = now
		out = append(out, FetchSnapshots{From: m.Entry, All: e.wantsAll(m)})
	}
	return out
}

// wantsAll reports whether a member is asked for all that it holds.
func (e *Engine) wantsAll(m membership.MemberView) bool {
	return e.behind && m.Owner
}

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

// compareOwners returns which daemons are owners in b and were none in a, or became them anew, and which
// ceased to be owners.
func compareOwners(a, b *membership.View) (appeared []model.MachineID, ceased []flow.Peer) {
	for _, m := range a.Members() {
		if now, ok := b.Member(m.Entry.ID); m.Owner && (!ok || !now.Owner) {
			ceased = append(ceased, flow.Peer{ID: m.Entry.ID, Incarnation: m.Incarnation})
		}
	}
	for _, m := range b.Members() {
		before, ok := a.Member(m.Entry.ID)
		if m.Owner && (!ok || !before.Owner || before.Incarnation != m.Incarnation) {
			appeared = append(appeared, m.Entry.ID)
		}
	}
	return appeared, ceased
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
