package owners

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// syncPeers sends each peer the log batch and the acknowledgement that are due, in one datagram.
func (e *Engine) syncPeers(now time.Time) []Action {
	var out []Action
	for _, m := range e.routingState.Load().view.Members() {
		if !m.Reachable || m.Entry.ID == e.cfg.Self {
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
		b.OwnersDigest = e.routingState.Load().view.Digest
		body = wire.AppendBundled(body, wire.KindLogBatch, b.AppendTo(nil))
	}
	rep := e.replicas.Live(peer)
	if rep == nil {
		return body
	}
	if a, ok := rep.TakeAck(flow.Mark(e.mark.Load())); ok {
		body = wire.AppendBundled(body, wire.KindLogAck, a.AppendTo(nil))
	}
	return body
}

// fetchMissing requests the snapshots of owners whose log has a gap that batches cannot close. After a start
// or a pause it also requests from the owners all the logs that they hold, until one owner has sent them; after
// a partition has healed, it requests them from the first owner that rejoined. They include the logs of
// unreachable daemons.
func (e *Engine) fetchMissing(now time.Time) []Action {
	var out []Action
	for _, m := range e.routingState.Load().view.Members() {
		rep := e.replicas.Live(m.Entry.ID)
		missing := rep != nil && rep.NeedsSnapshot(now, e.cfg.Log.ResendAfter)
		if !m.Reachable || m.Entry.ID == e.cfg.Self || !(missing || e.wantsFullSync(m)) {
			continue
		}
		if now.Sub(e.lastFetch[m.Entry.ID]) < e.cfg.SnapshotInterval {
			continue
		}
		e.lastFetch[m.Entry.ID] = now
		out = append(out, FetchSnapshots{From: m.Entry, All: e.wantsFullSync(m)})
	}
	return out
}

// wantsFullSync reports whether a member is to send all the logs that it holds.
func (e *Engine) wantsFullSync(m membership.MemberView) bool {
	return m.Owner && (e.needsFullSync || m.Entry.ID == e.firstUnsyncedRejoined())
}

// firstUnsyncedRejoined returns the first owner that rejoined after a partition and has not yet sent all the
// logs that it holds; 0 for none.
func (e *Engine) firstUnsyncedRejoined() model.MachineID {
	v := e.View()
	for _, id := range e.unsyncedRejoined {
		if m, ok := v.Member(id); ok && m.Owner {
			return id
		}
	}
	return 0
}
