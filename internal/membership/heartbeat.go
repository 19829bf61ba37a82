package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Heartbeat is an authenticated heartbeat with the sender and incarnation from its envelope.
type Heartbeat struct {
	From        model.MachineID
	Incarnation uint64
	Message     *wire.Heartbeat
}

// HandleHeartbeat processes a heartbeat. It does not retain the message.
func (l *List) HandleHeartbeat(now time.Time, hb Heartbeat) []Action {
	out := l.beginCall(now)
	if hb.From == l.self.id {
		return l.finishCall(out)
	}
	m := l.members[hb.From]
	if m == nil {
		m = l.addUnlisted(hb.From)
	}
	if m == nil || hb.Incarnation < m.incarnation {
		return l.finishCall(out)
	}
	out = append(out, l.handleSelfReport(now, m, hb)...)
	for _, r := range hb.Message.GossipUpdates {
		out = append(out, l.handleUpdate(now, m, r)...)
	}
	out = append(out, l.compareDigests(now, m, hb.Message.ViewDigest)...)
	if hb.Message.Pull && m.entry != nil {
		out = append(out, l.sendZoneState(m, l.home, false)...)
	}
	return l.finishCall(out)
}

// HandleStaleIncarnation processes an authentic datagram with a lower incarnation than one already received, for
// example from a machine whose clock was set back. It notifies the machine of the higher incarnation.
func (l *List) HandleStaleIncarnation(now time.Time, from model.MachineID, incarnation uint64) []Action {
	out := l.beginCall(now)
	m := l.members[from]
	if m == nil || m == l.self || m.entry == nil || incarnation >= m.incarnation {
		return l.finishCall(out)
	}
	out = append(out, l.notify(m, m.gossipUpdate()))
	return l.finishCall(out)
}

// addUnlisted adds a machine that is not in the published list. It returns nil for the zero id and when
// Config.MaxUnlisted is reached.
func (l *List) addUnlisted(id model.MachineID) *member {
	if id == 0 || l.unlistedCount >= l.cfg.MaxUnlisted {
		return nil
	}
	l.unlistedCount++
	m := &member{id: id}
	l.members[id] = m
	return m
}

// handleSelfReport processes the state that a machine reports of itself.
func (l *List) handleSelfReport(now time.Time, m *member, hb Heartbeat) []Action {
	l.recordContact(now, m)
	c := selfReport{
		incarnation: hb.Incarnation,
		epoch:       hb.Message.Epoch,
		ready:       hb.Message.Ready,
		draining:    hb.Message.Draining,
	}
	order := m.order(c.incarnation, c.epoch)
	if order < 0 {
		return nil
	}
	if hb.Message.Left {
		return l.markLeft(m, c.incarnation, c.epoch)
	}
	if order == 0 && m.state == Failed {
		return []Action{l.notify(m, m.gossipUpdate())}
	}
	if order == 0 && m.state == Left {
		return nil
	}
	return l.markAlive(now, m, c)
}

// recordContact records that a heartbeat from a machine was received, whatever its content.
func (l *List) recordContact(now time.Time, m *member) {
	if !m.lastHeartbeat.Equal(m.seen) {
		l.dirty = true
	}
	m.lastHeartbeat, m.seen = now, now
	z := l.zoneOf(m)
	if z == nil {
		return
	}
	z.seen = now
	l.joining.anyContact = true
	if z == l.home && l.joining.active {
		l.joining.seen[m.id] = struct{}{}
	}
}

// handleUpdate processes a gossip update about a machine, received from the machine from.
func (l *List) handleUpdate(now time.Time, from *member, r wire.GossipUpdate) []Action {
	if r.Machine == l.self.id {
		return l.handleOwnUpdate(from, r)
	}
	m := l.members[r.Machine]
	if m == nil || m.entry == nil {
		return nil
	}
	switch r.State {
	case wire.GossipSuspect:
		return l.confirmAlive(now, from, m)
	case wire.GossipConfirmedAlive:
		return l.handleConfirmation(now, m, r)
	case wire.GossipFailed, wire.GossipLeft:
		return l.handleFailedOrLeft(now, m, r)
	default:
		if m.order(r.Incarnation, r.Epoch) <= 0 && m.state != Unknown {
			return nil
		}
		return l.markAlive(now, m, selfReportOf(r))
	}
}

// handleOwnUpdate processes a gossip update about this process. It replies to probes and refutes reports that this
// process has failed or left.
func (l *List) handleOwnUpdate(from *member, r wire.GossipUpdate) []Action {
	switch {
	case r.Incarnation > l.self.incarnation:
		return []Action{IncarnationOutdated{Newest: r.Incarnation}}
	case r.State == wire.GossipSuspect:
		return l.reply(from, nil)
	case r.Incarnation < l.self.incarnation:
		return nil
	case r.State == wire.GossipFailed || r.State == wire.GossipLeft:
		return l.refute(r)
	default:
		return nil
	}
}

// refute increases this machine's epoch above that of a false report and sends a heartbeat immediately, outside the
// interval.
func (l *List) refute(r wire.GossipUpdate) []Action {
	if r.Epoch < l.self.epoch || l.left {
		return nil
	}
	l.self.epoch = r.Epoch + 1
	l.dirty = true
	return l.periodicHeartbeat()
}

// confirmAlive replies to a probe for another machine if this machine has received a heartbeat from it within
// SuspectAfter.
func (l *List) confirmAlive(now time.Time, from, m *member) []Action {
	if m.state != Alive || now.Sub(m.lastHeartbeat) >= l.cfg.SuspectAfter {
		return nil
	}
	r := m.gossipUpdate()
	r.State = wire.GossipConfirmedAlive
	return l.reply(from, []wire.GossipUpdate{r})
}

// handleConfirmation processes the confirmation of a witness that a suspected machine is alive.
func (l *List) handleConfirmation(now time.Time, m *member, r wire.GossipUpdate) []Action {
	if m.state != Suspect || m.order(r.Incarnation, r.Epoch) < 0 {
		return nil
	}
	return l.markAlive(now, m, selfReport{incarnation: m.incarnation, epoch: m.epoch, ready: m.ready, draining: m.draining})
}

// handleFailedOrLeft processes a report that a machine has failed or left. If a heartbeat from a machine reported as
// failed was received within SuspectAfter, the report is not applied but sent to that machine, so that it can refute it.
func (l *List) handleFailedOrLeft(now time.Time, m *member, r wire.GossipUpdate) []Action {
	order := m.order(r.Incarnation, r.Epoch)
	if order < 0 || (order == 0 && (m.state == Failed || m.state == Left)) {
		return nil
	}
	if r.State == wire.GossipLeft {
		return l.markLeft(m, r.Incarnation, r.Epoch)
	}
	if m.state.presumedAlive() && !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) < l.cfg.SuspectAfter {
		return []Action{l.notify(m, r)}
	}
	return l.markFailed(m, r.Incarnation, r.Epoch)
}

// notify sends a gossip update to the machine that it is about.
func (l *List) notify(m *member, r wire.GossipUpdate) Action {
	hb := l.heartbeat([]wire.GossipUpdate{r})
	if m.entry == nil {
		return SendHeartbeat{Heartbeat: hb}
	}
	return SendHeartbeat{To: []*model.EntryVM{m.entry}, Heartbeat: hb}
}

// reply sends a heartbeat to one machine immediately, outside the interval.
func (l *List) reply(to *member, updates []wire.GossipUpdate) []Action {
	if to.entry == nil {
		return nil
	}
	return []Action{SendHeartbeat{To: []*model.EntryVM{to.entry}, Heartbeat: l.heartbeat(updates)}}
}

// compareDigests pulls the state of the sender's zone when the digest in the sender's heartbeats keeps differing from
// this machine's digest of that zone.
func (l *List) compareDigests(now time.Time, m *member, digest uint64) []Action {
	z := l.zoneOf(m)
	if z == nil || z == l.home {
		return nil
	}
	if digest == l.digest(z) {
		z.mismatches = 0
		z.synced = true
		return nil
	}
	z.mismatches++
	due := z.pulledAt.IsZero() || now.Sub(z.pulledAt) >= l.cfg.PullInterval
	if !due || (z.synced && z.mismatches < mismatchesBeforePull) {
		return nil
	}
	z.pulledAt = now
	return l.sendZoneState(m, z, true)
}

// mismatchesBeforePull is the number of consecutive heartbeats with a differing digest before a pull. It gives gossip
// updates in flight time to arrive.
const mismatchesBeforePull = 3

// sendZoneState sends all known member states of a zone to a machine, split over several heartbeats if necessary. With
// pull, the first of them requests the receiver's state in return.
func (l *List) sendZoneState(to *member, z *zone, pull bool) []Action {
	known := make([]wire.GossipUpdate, 0, len(z.members))
	for _, m := range z.members {
		if m.state != Unknown {
			known = append(known, m.gossipUpdate())
		}
	}
	var out []Action
	for first := true; first || len(known) > 0; first = false {
		n := min(len(known), l.cfg.MaxStateUpdates)
		hb := l.heartbeat(known[:n])
		hb.Pull = pull && first
		known = known[n:]
		out = append(out, SendHeartbeat{To: []*model.EntryVM{to.entry}, Heartbeat: hb})
	}
	return out
}
