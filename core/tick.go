package core

import (
	"time"

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

// expire forgets silent flows, a shard a tick, and old copies.
func (e *Engine) expire(now time.Time) {
	e.turn++
	for _, x := range e.table.Expire(now, e.turn) {
		e.ended(x.Hash, x.Entry)
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
	if !e.ready {
		return nil
	}
	e.ready = false
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
	owners := ownersChanged(w.view, v)
	next := w.withView(v)
	e.world.Store(next)
	e.arrangeCopies(now, next)
	if owners {
		e.unsettle(now)
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

// fetchMissing asks for the snapshots of owners whose log cannot be followed otherwise. The first
// request after a start asks one peer for all that it holds.
func (e *Engine) fetchMissing(now time.Time) []Action {
	var out []Action
	for _, m := range e.world.Load().view.Members() {
		cp := e.copies.Of(m.Entry.ID)
		if !m.Here || cp == nil || !cp.NeedsSnapshot(now, e.cfg.Log.ResendAfter) {
			continue
		}
		if now.Sub(e.fetches[m.Entry.ID]) < e.cfg.SnapshotInterval {
			continue
		}
		e.fetches[m.Entry.ID] = now
		out = append(out, FetchSnapshots{From: m.Entry, All: !e.ready})
	}
	return out
}

// judgeReady makes the daemon an owner once its view is settled and it holds every live owner's log.
func (e *Engine) judgeReady(now time.Time) []Action {
	if e.ready || !e.awake || e.leaving || !e.caughtUp() {
		return nil
	}
	e.ready = true
	out := []Action{ReadyChanged{Ready: true, Reason: ReasonCaughtUp}}
	return append(out, e.handleMembers(now, e.members.SetReady(now, true))...)
}

// caughtUp reports whether every log that this daemon follows has a snapshot here.
func (e *Engine) caughtUp() bool {
	w := e.world.Load()
	for _, m := range w.view.Members() {
		if !m.Here || m.Entry.ID == e.cfg.Self || !e.takesLog(w, m.Entry.ID, e.cfg.Self) {
			continue
		}
		cp := e.copies.Of(m.Entry.ID)
		if cp == nil || !cp.Position().Synced {
			return false
		}
	}
	return true
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

// ownersChanged reports whether flows may have other owners in b than in a.
func ownersChanged(a, b *membership.View) bool {
	ma, mb := a.Members(), b.Members()
	if len(ma) != len(mb) {
		return true
	}
	for i := range ma {
		if ma[i].Entry.ID != mb[i].Entry.ID || ma[i].Owner != mb[i].Owner || ma[i].Incarnation != mb[i].Incarnation {
			return true
		}
	}
	return false
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
