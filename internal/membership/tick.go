package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Tick checks the timeouts of peers and zones and sends the heartbeats that are due. Call it several times within
// HeartbeatInterval and PauseLimit.
func (l *List) Tick(now time.Time) []Action {
	out := l.run(now)
	out = append(out, l.judgePeers(now)...)
	out = append(out, l.judgeZones(now)...)
	out = append(out, l.judgeSelf(now)...)
	l.forgetGuests(now)
	if !now.Before(l.nextRegular) {
		l.scheduleRegular(now)
		out = append(out, l.regular()...)
		out = append(out, l.catchUp()...)
	}
	return l.finish(out)
}

// scheduleRegular sets the time of the next periodic heartbeat. Heartbeats that were missed are not sent later.
func (l *List) scheduleRegular(now time.Time) {
	l.nextRegular = l.nextRegular.Add(l.cfg.HeartbeatInterval)
	if l.nextRegular.Before(now) {
		l.nextRegular = now.Add(l.cfg.HeartbeatInterval)
	}
}

// regular returns the periodic heartbeat: to all machines of the own zone and to some of each other zone.
func (l *List) regular() []Action {
	to := make([]*model.EntryVM, 0, len(l.home.members)+l.cfg.FarPeers*len(l.zones))
	for _, m := range l.home.members {
		to = append(to, m.entry)
	}
	for _, z := range l.zones {
		if z != l.home {
			to = append(to, l.pick(z, l.cfg.FarPeers, nil)...)
		}
	}
	hb := l.heartbeat(l.news.take(l.cfg.MaxRumours))
	return []Action{SendHeartbeat{To: to, Heartbeat: hb, Regular: true}}
}

// catchUp requests the state of the own zone from some of its machines, after a start or a pause.
func (l *List) catchUp() []Action {
	if !l.waking.active {
		return nil
	}
	hb := l.heartbeat(nil)
	hb.Pull = true
	return []Action{SendHeartbeat{To: l.pick(l.home, l.cfg.Witnesses, nil), Heartbeat: hb}}
}

// pick returns up to n random machines of a zone that are neither dead nor left, without except. If there is none and
// except is nil, it returns a random machine.
func (l *List) pick(z *zone, n int, except *member) []*model.EntryVM {
	out := make([]*model.EntryVM, 0, n)
	offset := 0
	if len(z.members) > 0 {
		offset = l.cfg.Rand.IntN(len(z.members))
	}
	stride := l.stride(len(z.members))
	for i := 0; i < len(z.members) && len(out) < n; i++ {
		m := z.members[(offset+i*stride)%len(z.members)]
		if m != except && m.state != Dead && m.state != Left {
			out = append(out, m.entry)
		}
	}
	if len(out) == 0 && len(z.members) > 0 && except == nil {
		out = append(out, z.members[offset].entry)
	}
	return out
}

// stride returns a random step width that is coprime to n, so that n steps visit each of n indexes once.
func (l *List) stride(n int) int {
	if n < 3 {
		return 1
	}
	for {
		if s := 1 + l.cfg.Rand.IntN(n-1); coprime(s, n) {
			return s
		}
	}
}

func coprime(a, b int) bool {
	for b != 0 {
		a, b = b, a%b
	}
	return a == 1
}

// judgePeers checks the timeouts of the machines in the own zone.
func (l *List) judgePeers(now time.Time) []Action {
	var out []Action
	for _, m := range l.home.members {
		if !m.state.here() {
			continue
		}
		silence := now.Sub(m.heard)
		switch {
		case m.state == Suspect && silence >= l.cfg.DeadAfter:
			out = append(out, l.dead(m, m.incarnation, m.epoch)...)
		case m.state == Alive && silence >= l.cfg.SuspectAfter:
			out = append(out, l.suspect(m)...)
			out = append(out, l.ask(now, m))
		case m.state == Suspect && now.Sub(m.asked) >= l.askInterval():
			out = append(out, l.ask(now, m))
		}
	}
	return out
}

// askInterval returns the interval between probes of a suspect machine: two rounds fit between SuspectAfter and
// DeadAfter.
func (l *List) askInterval() time.Duration {
	return (l.cfg.DeadAfter - l.cfg.SuspectAfter) / 2
}

// ask sends a probe for an unresponsive machine to the machine itself and to witnesses.
func (l *List) ask(now time.Time, m *member) Action {
	m.asked = now
	r := m.rumour()
	r.State = wire.RumourSuspect
	to := append(l.pick(l.home, l.cfg.Witnesses, m), m.entry)
	return SendHeartbeat{To: to, Heartbeat: l.heartbeat([]wire.Rumour{r})}
}

// judgeZones checks the timeouts of the other zones.
func (l *List) judgeZones(now time.Time) []Action {
	var out []Action
	for _, z := range l.zones {
		if z == l.home {
			continue
		}
		silence := now.Sub(z.heard)
		if reachable := silence < l.cfg.ZoneDeadAfter; reachable != z.reachable {
			z.reachable = reachable
			l.dirty = true
			out = append(out, ZoneChanged{Zone: z.zone, Reachable: reachable})
		}
		if silence >= l.cfg.ZoneSuspectAfter && now.Sub(z.probed) >= l.cfg.HeartbeatInterval {
			z.probed = now
			out = append(out, l.probe(z)...)
		}
	}
	return out
}

// probe requests a reply from some machines of an unresponsive zone.
func (l *List) probe(z *zone) []Action {
	var out []Action
	for _, e := range l.pick(z, l.cfg.Witnesses, nil) {
		r := l.members[e.ID].rumour()
		r.State = wire.RumourSuspect
		out = append(out, SendHeartbeat{To: []*model.EntryVM{e}, Heartbeat: l.heartbeat([]wire.Rumour{r})})
	}
	return out
}

// forgetGuests removes unlisted machines whose last contact is too long ago.
func (l *List) forgetGuests(now time.Time) {
	if l.guests == 0 {
		return
	}
	for id, m := range l.members {
		if m.entry == nil && m != l.self && now.Sub(m.heard) >= guestMemory*l.cfg.DeadAfter {
			delete(l.members, id)
			l.guests--
		}
	}
}

// guestMemory is how long an unlisted machine is kept after its last contact, as a multiple of DeadAfter.
const guestMemory = 10
