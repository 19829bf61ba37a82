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
	out := l.run(now)
	if hb.From == l.self.id {
		return l.finish(out)
	}
	m := l.members[hb.From]
	if m == nil {
		m = l.admitGuest(hb.From)
	}
	if m == nil || hb.Incarnation < m.incarnation {
		return l.finish(out)
	}
	out = append(out, l.handleClaim(now, m, hb)...)
	for _, r := range hb.Message.Rumours {
		out = append(out, l.handleRumour(now, m, r)...)
	}
	out = append(out, l.compareViews(now, m, hb.Message.View)...)
	if hb.Message.Pull && m.entry != nil {
		out = append(out, l.zoneState(m, l.home, false)...)
	}
	return l.finish(out)
}

// HandleStale processes an authentic datagram with a lower incarnation than one already seen, for example from a machine
// whose clock was set back. It notifies the machine of the higher incarnation.
func (l *List) HandleStale(now time.Time, from model.MachineID, incarnation uint64) []Action {
	out := l.run(now)
	m := l.members[from]
	if m == nil || m == l.self || m.entry == nil || incarnation >= m.incarnation {
		return l.finish(out)
	}
	out = append(out, l.tell(m, m.rumour()))
	return l.finish(out)
}

// admitGuest adds a machine that is not in the published list. It returns nil for the zero id and when Config.MaxGuests
// is reached.
func (l *List) admitGuest(id model.MachineID) *member {
	if id == 0 || l.guests >= l.cfg.MaxGuests {
		return nil
	}
	l.guests++
	m := &member{id: id}
	l.members[id] = m
	return m
}

// handleClaim processes the state that a machine reports of itself.
func (l *List) handleClaim(now time.Time, m *member, hb Heartbeat) []Action {
	l.noteHeard(now, m)
	c := claim{
		incarnation: hb.Incarnation,
		epoch:       hb.Message.Epoch,
		ready:       hb.Message.Ready,
		leaving:     hb.Message.Leaving,
	}
	order := m.order(c.incarnation, c.epoch)
	if order < 0 {
		return nil
	}
	if hb.Message.Left {
		return l.leave(m, c.incarnation, c.epoch)
	}
	if order == 0 && m.state == Dead {
		return []Action{l.tell(m, m.rumour())}
	}
	if order == 0 && m.state == Left {
		return nil
	}
	return l.alive(now, m, c)
}

// noteHeard records that a heartbeat from a machine was received, whatever its content.
func (l *List) noteHeard(now time.Time, m *member) {
	if !m.direct.Equal(m.heard) {
		l.dirty = true
	}
	m.direct, m.heard = now, now
	z := l.zoneOf(m)
	if z == nil {
		return
	}
	z.heard = now
	l.waking.anyone = true
	if z == l.home && l.waking.active {
		l.waking.heard[m.id] = struct{}{}
	}
}

// handleRumour processes a gossip update about a machine, received from the machine from.
func (l *List) handleRumour(now time.Time, from *member, r wire.Rumour) []Action {
	if r.Machine == l.self.id {
		return l.handleOwnRumour(from, r)
	}
	m := l.members[r.Machine]
	if m == nil || m.entry == nil {
		return nil
	}
	switch r.State {
	case wire.RumourSuspect:
		return l.vouch(now, from, m)
	case wire.RumourHeard:
		return l.handleVouch(now, m, r)
	case wire.RumourDead, wire.RumourLeft:
		return l.handleJudgement(now, m, r)
	default:
		if m.order(r.Incarnation, r.Epoch) <= 0 && m.state != Unknown {
			return nil
		}
		return l.alive(now, m, claimOf(r))
	}
}

// handleOwnRumour processes a gossip update about this process. It replies to probes and refutes reports that this
// process is dead or has left.
func (l *List) handleOwnRumour(from *member, r wire.Rumour) []Action {
	switch {
	case r.Incarnation > l.self.incarnation:
		return []Action{IncarnationOutdated{Newest: r.Incarnation}}
	case r.State == wire.RumourSuspect:
		return l.answer(from, nil)
	case r.Incarnation < l.self.incarnation:
		return nil
	case r.State == wire.RumourDead || r.State == wire.RumourLeft:
		return l.refute(r)
	default:
		return nil
	}
}

// refute increases the own epoch above that of a false report and sends a heartbeat to all peers.
func (l *List) refute(r wire.Rumour) []Action {
	if r.Epoch < l.self.epoch || l.left {
		return nil
	}
	l.self.epoch = r.Epoch + 1
	l.dirty = true
	return l.regular()
}

// vouch replies to a probe for another machine if this machine has received a heartbeat from it within SuspectAfter.
func (l *List) vouch(now time.Time, from, m *member) []Action {
	if m.state != Alive || now.Sub(m.direct) >= l.cfg.SuspectAfter {
		return nil
	}
	r := m.rumour()
	r.State = wire.RumourHeard
	return l.answer(from, []wire.Rumour{r})
}

// handleVouch processes the confirmation of a witness that a suspected machine is alive.
func (l *List) handleVouch(now time.Time, m *member, r wire.Rumour) []Action {
	if m.state != Suspect || m.order(r.Incarnation, r.Epoch) < 0 {
		return nil
	}
	return l.alive(now, m, claim{incarnation: m.incarnation, epoch: m.epoch, ready: m.ready, leaving: m.leaving})
}

// handleJudgement processes a report that a machine is dead or has left. If a heartbeat from a machine reported as dead
// was received within SuspectAfter, the report is not applied but sent to that machine, so that it can refute it.
func (l *List) handleJudgement(now time.Time, m *member, r wire.Rumour) []Action {
	order := m.order(r.Incarnation, r.Epoch)
	if order < 0 || (order == 0 && (m.state == Dead || m.state == Left)) {
		return nil
	}
	if r.State == wire.RumourLeft {
		return l.leave(m, r.Incarnation, r.Epoch)
	}
	if m.state.here() && !m.direct.IsZero() && now.Sub(m.direct) < l.cfg.SuspectAfter {
		return []Action{l.tell(m, r)}
	}
	return l.dead(m, r.Incarnation, r.Epoch)
}

// tell sends a gossip update to the machine that it is about.
func (l *List) tell(m *member, r wire.Rumour) Action {
	hb := l.heartbeat([]wire.Rumour{r})
	if m.entry == nil {
		return SendHeartbeat{Heartbeat: hb}
	}
	return SendHeartbeat{To: []*model.EntryVM{m.entry}, Heartbeat: hb}
}

// answer sends a heartbeat to one machine immediately, outside the interval.
func (l *List) answer(to *member, news []wire.Rumour) []Action {
	if to.entry == nil {
		return nil
	}
	return []Action{SendHeartbeat{To: []*model.EntryVM{to.entry}, Heartbeat: l.heartbeat(news)}}
}

// compareViews pulls the state of the sender's zone when the digest in the sender's heartbeats keeps differing from this
// machine's digest of that zone.
func (l *List) compareViews(now time.Time, m *member, digest uint64) []Action {
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
	due := z.pulled.IsZero() || now.Sub(z.pulled) >= l.cfg.PullInterval
	if !due || (z.synced && z.mismatches < mismatchesBeforePull) {
		return nil
	}
	z.pulled = now
	return l.zoneState(m, z, true)
}

// mismatchesBeforePull is the number of consecutive heartbeats with a differing digest before a pull. It gives gossip
// updates in flight time to arrive.
const mismatchesBeforePull = 3

// zoneState sends all known member states of a zone to a machine, split over several heartbeats if necessary. With
// pull, the first of them requests the receiver's state in return.
func (l *List) zoneState(to *member, z *zone, pull bool) []Action {
	known := make([]wire.Rumour, 0, len(z.members))
	for _, m := range z.members {
		if m.state != Unknown {
			known = append(known, m.rumour())
		}
	}
	var out []Action
	for first := true; first || len(known) > 0; first = false {
		n := min(len(known), l.cfg.MaxStateRumours)
		hb := l.heartbeat(known[:n])
		hb.Pull = pull && first
		known = known[n:]
		out = append(out, SendHeartbeat{To: []*model.EntryVM{to.entry}, Heartbeat: hb})
	}
	return out
}
