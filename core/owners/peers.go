package owners

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// HandlePeer handles an authenticated datagram of a peer that is not a forwarded packet. It returns
// PeerMalformed if a message could not be decoded; the messages before it were handled.
func (e *Engine) HandlePeer(now time.Time, env wire.Envelope) ([]Action, errkind.Kind) {
	e.controlMu.Lock()
	defer e.controlMu.Unlock()
	var out []Action
	bad := errkind.None
	kind := wire.EachMessage(env, func(k wire.Kind, message []byte) {
		actions, fault := e.handleMessage(now, env, k, message)
		out = append(out, actions...)
		bad = max(bad, fault)
	})
	return out, max(bad, kind)
}

// HandleStalePeer handles an authenticated datagram of an incarnation older than one already seen.
func (e *Engine) HandleStalePeer(now time.Time, env wire.Envelope) []Action {
	e.controlMu.Lock()
	defer e.controlMu.Unlock()
	return e.handleMembers(now, e.members.HandleStaleIncarnation(now, env.Sender, env.Incarnation))
}

func (e *Engine) handleMessage(now time.Time, env wire.Envelope, k wire.Kind, message []byte) ([]Action, errkind.Kind) {
	switch k {
	case wire.KindHeartbeat:
		return e.handleHeartbeat(now, env, message)
	case wire.KindLogBatch:
		return nil, e.handleBatch(now, env, message)
	case wire.KindLogAck:
		return nil, e.handleAck(env, message)
	default:
		return nil, errkind.PeerMalformed
	}
}

func (e *Engine) handleHeartbeat(now time.Time, env wire.Envelope, message []byte) ([]Action, errkind.Kind) {
	var hb wire.Heartbeat
	if kind := hb.Decode(message); kind != errkind.None {
		return nil, kind
	}
	actions := e.members.HandleHeartbeat(now, membership.Heartbeat{
		From: env.Sender, Incarnation: env.Incarnation, Message: &hb,
	})
	out := e.handleMembers(now, actions)
	return append(out, e.peerSections(env.Sender, hb.Sections)...), errkind.None
}

// peerSections returns the sections of a published peer's heartbeat as actions, with copies of their data
// that outlive the datagram.
func (e *Engine) peerSections(from model.MachineID, sections []wire.Section) []Action {
	m, ok := e.members.View().Member(from)
	if !ok {
		return nil
	}
	return lo.Map(sections, func(s wire.Section, _ int) Action {
		return PeerSection{From: m.Entry, Section: wire.Section{ID: s.ID, Data: slices.Clone(s.Data)}}
	})
}

func (e *Engine) handleBatch(now time.Time, env wire.Envelope, message []byte) errkind.Kind {
	var b wire.LogBatch
	if kind := b.Decode(message); kind != errkind.None {
		return kind
	}
	rs := e.routingState.Load()
	if rs == nil || !rs.view.Reachable(env.Sender) || !e.replicatesLog(rs, env.Sender, e.cfg.Self) {
		return errkind.None
	}
	if b.OwnersDigest != rs.view.Digest {
		// The sender may not know yet which flows it owns, so its log covers none of them.
		b.EchoedMark = 0
	}
	rep := e.replicas.Ensure(now, env.Sender, env.Incarnation)
	if rep != nil && rep.Apply(now, b) {
		e.dropConflicting(now, rs, env.Sender, b.Records)
		e.takeOverRecords(now, rs, b.Records)
	}
	return errkind.None
}

// dropConflicting removes flows from the table that another daemon has placed on another target or has seen
// end, if that daemon owns the flow in this daemon's view.
func (e *Engine) dropConflicting(now time.Time, rs *routingState, peer model.MachineID, records []wire.Record) {
	for _, r := range records {
		if owner := rs.owner(r.Hash); owner == nil || owner.ID != peer || r.BecameDefault {
			continue
		}
		if r.Remove {
			e.replicas.RemoveFlow(r.Hash)
		}
		if entry, ok := e.table.Get(r.Hash); ok && entry.Target != r.Target {
			e.removeFlow(now, r.Hash)
		}
	}
}

func (e *Engine) handleAck(env wire.Envelope, message []byte) errkind.Kind {
	var a wire.LogAck
	if kind := a.Decode(message); kind != errkind.None {
		return kind
	}
	if a.OwnerIncarnation == e.cfg.Incarnation {
		e.log.HandleAck(env.Sender, env.Incarnation, a)
	}
	return errkind.None
}

// Snapshots returns what a peer requests with FetchSnapshots: this daemon's own log and, if all is true, its
// replicas of other owners' logs.
func (e *Engine) Snapshots(all bool) []flow.Snapshot {
	own := e.log.Snapshot(e.cfg.Self, e.cfg.Incarnation)
	if !all {
		return []flow.Snapshot{own}
	}
	return append(e.replicas.Snapshots(), own)
}

// HandleSnapshots applies the snapshots that a peer returned for FetchSnapshots.
func (e *Engine) HandleSnapshots(now time.Time, all bool, snapshots []flow.Snapshot) {
	e.controlMu.Lock()
	defer e.controlMu.Unlock()
	rs := e.routingState.Load()
	if rs == nil {
		return
	}
	for _, s := range snapshots {
		if s.Owner == e.cfg.Self && s.Incarnation == e.cfg.Incarnation {
			continue
		}
		m, known := rs.view.Member(s.Owner)
		live := known && m.Reachable && m.Incarnation == s.Incarnation && e.replicatesLog(rs, s.Owner, e.cfg.Self)
		e.replicas.Restore(now, s, live)
	}
	if all {
		e.needsFullSync = false
		e.unsyncedRejoined = nil
	}
	e.takeOverExceptions(now, rs)
}
