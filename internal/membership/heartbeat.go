package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Heartbeat is an authentic heartbeat with the sender from its envelope.
type Heartbeat struct {
	From        model.MachineID
	Incarnation uint64
	Message     *wire.Heartbeat
}

// HandleHeartbeat takes a heartbeat. It keeps no reference to the message.
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

// HandleStale takes an authentic datagram of an incarnation that is older than one already seen, as
// from a machine whose clock was set back. The machine is told of the newer one.
func (l *List) HandleStale(now time.Time, from model.MachineID, incarnation uint64) []Action {
	out := l.run(now)
	m := l.members[from]
	if m == nil || m == l.self || m.entry == nil || incarnation >= m.incarnation {
		return l.finish(out)
	}
	out = append(out, l.tell(m, m.rumour()))
	return l.finish(out)
}

// admitGuest remembers a machine that the published list does not name, or returns nil when there is
// no room.
func (l *List) admitGuest(id model.MachineID) *member {
	if id == 0 || l.guests >= l.cfg.MaxGuests {
		return nil
	}
	l.guests++
	m := &member{id: id}
	l.members[id] = m
	return m
}

// handleClaim takes what a machine tells of itself.
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

// noteHeard records the sign of life that any heartbeat is.
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

// handleRumour takes news of a machine from another.
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

// handleOwnRumour answers questions about this process and refutes judgements.
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

// refute raises the own epoch above a judgement and tells everyone.
func (l *List) refute(r wire.Rumour) []Action {
	if r.Epoch < l.self.epoch || l.left {
		return nil
	}
	l.self.epoch = r.Epoch + 1
	l.dirty = true
	return l.regular()
}

// vouch answers a question about a machine that was heard a moment ago.
func (l *List) vouch(now time.Time, from, m *member) []Action {
	if m.state != Alive || now.Sub(m.direct) >= l.cfg.SuspectAfter {
		return nil
	}
	r := m.rumour()
	r.State = wire.RumourHeard
	return l.answer(from, []wire.Rumour{r})
}

// handleVouch takes the answer of a witness.
func (l *List) handleVouch(now time.Time, m *member, r wire.Rumour) []Action {
	if m.state != Suspect || m.order(r.Incarnation, r.Epoch) < 0 {
		return nil
	}
	return l.alive(now, m, claim{incarnation: m.incarnation, epoch: m.epoch, ready: m.ready, leaving: m.leaving})
}

// handleJudgement takes the news that a machine is dead or left. A death is not believed of a
// machine that was heard a moment ago: that machine is told, so that it refutes.
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

// tell sends one rumour to the machine that it is about.
func (l *List) tell(m *member, r wire.Rumour) Action {
	hb := l.heartbeat([]wire.Rumour{r})
	if m.entry == nil {
		return SendHeartbeat{Heartbeat: hb}
	}
	return SendHeartbeat{To: []*model.EntryVM{m.entry}, Heartbeat: hb}
}

// answer sends a heartbeat out of turn to one machine.
func (l *List) answer(to *member, news []wire.Rumour) []Action {
	if to.entry == nil {
		return nil
	}
	return []Action{SendHeartbeat{To: []*model.EntryVM{to.entry}, Heartbeat: l.heartbeat(news)}}
}

// compareViews pulls the state of the sender's zone when the sender's digest keeps differing from
// the own.
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

// mismatchesBeforePull leaves rumours under way the time to arrive.
const mismatchesBeforePull = 3

// zoneState sends a machine all that is known of a zone's members.
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
