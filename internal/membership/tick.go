package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Tick checks the timeouts of peers and zones and sends the heartbeats that are due. Call it several times within
// HeartbeatInterval and PauseLimit.
func (l *List) Tick(now time.Time) []Action {
	out := l.beginCall(now)
	out = append(out, l.checkPeers(now)...)
	out = append(out, l.checkZones(now)...)
	out = append(out, l.checkJoined(now)...)
	l.removeExpiredUnlisted(now)
	if !now.Before(l.nextPeriodic) {
		l.schedulePeriodic(now)
		out = append(out, l.periodicHeartbeat()...)
		out = append(out, l.requestZoneState()...)
	}
	return l.finishCall(out)
}

// schedulePeriodic sets the time of the next periodic heartbeat. Heartbeats that were missed are not sent later.
func (l *List) schedulePeriodic(now time.Time) {
	l.nextPeriodic = l.nextPeriodic.Add(l.cfg.HeartbeatInterval)
	if l.nextPeriodic.Before(now) {
		l.nextPeriodic = now.Add(l.cfg.HeartbeatInterval)
	}
}

// periodicHeartbeat returns the periodic heartbeat: to all machines of the home zone and to some of each other zone.
func (l *List) periodicHeartbeat() []Action {
	to := make([]*model.EntryVM, 0, len(l.home.members)+l.cfg.PeersPerRemoteZone*len(l.zones))
	for _, m := range l.home.members {
		to = append(to, m.entry)
	}
	for _, z := range l.zones {
		if z != l.home {
			to = append(to, l.pickRandom(z, l.cfg.PeersPerRemoteZone, nil)...)
		}
	}
	hb := l.heartbeat(l.gossip.take(l.cfg.MaxGossipUpdates))
	return []Action{SendHeartbeat{To: to, Heartbeat: hb, Periodic: true}}
}

// requestZoneState requests the state of the home zone from some of its machines, after a start or a pause.
func (l *List) requestZoneState() []Action {
	if !l.joining.active {
		return nil
	}
	hb := l.heartbeat(nil)
	hb.Pull = true
	return []Action{SendHeartbeat{To: l.pickRandom(l.home, l.cfg.Witnesses, nil), Heartbeat: hb}}
}

// pickRandom returns up to n random machines of a zone that have neither failed nor left, excluding except. If there is
// none and except is nil, it returns a random machine.
func (l *List) pickRandom(z *zone, n int, except *member) []*model.EntryVM {
	out := make([]*model.EntryVM, 0, n)
	offset := 0
	if len(z.members) > 0 {
		offset = l.cfg.Rand.IntN(len(z.members))
	}
	stride := l.stride(len(z.members))
	for i := 0; i < len(z.members) && len(out) < n; i++ {
		m := z.members[(offset+i*stride)%len(z.members)]
		if m != except && m.state != Failed && m.state != Left {
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

// checkPeers checks the timeouts of the machines in the home zone.
func (l *List) checkPeers(now time.Time) []Action {
	var out []Action
	for _, m := range l.home.members {
		if !m.state.presumedAlive() {
			continue
		}
		sinceContact := now.Sub(m.seen)
		switch {
		case m.state == Suspect && sinceContact >= l.cfg.FailedAfter:
			out = append(out, l.markFailed(m, m.incarnation, m.epoch)...)
		case m.state == Alive && sinceContact >= l.cfg.SuspectAfter:
			out = append(out, l.markSuspect(m)...)
			out = append(out, l.probeSuspect(now, m))
		case m.state == Suspect && now.Sub(m.probedAt) >= l.probeInterval():
			out = append(out, l.probeSuspect(now, m))
		}
	}
	return out
}

// probeInterval returns the interval between probes of a suspect machine: two rounds fit between SuspectAfter and
// FailedAfter.
func (l *List) probeInterval() time.Duration {
	return (l.cfg.FailedAfter - l.cfg.SuspectAfter) / 2
}

// probeSuspect sends a probe for an unresponsive machine to the machine itself and to witnesses.
func (l *List) probeSuspect(now time.Time, m *member) Action {
	m.probedAt = now
	r := m.gossipUpdate()
	r.State = wire.GossipSuspect
	to := append(l.pickRandom(l.home, l.cfg.Witnesses, m), m.entry)
	return SendHeartbeat{To: to, Heartbeat: l.heartbeat([]wire.GossipUpdate{r})}
}

// checkZones checks the timeouts of the other zones.
func (l *List) checkZones(now time.Time) []Action {
	var out []Action
	for _, z := range l.zones {
		if z == l.home {
			continue
		}
		sinceContact := now.Sub(z.seen)
		if reachable := sinceContact < l.cfg.ZoneUnreachableAfter; reachable != z.reachable {
			z.reachable = reachable
			l.dirty = true
			out = append(out, ZoneChanged{Zone: z.zone, Reachable: reachable})
		}
		if sinceContact >= l.cfg.ZoneSuspectAfter && now.Sub(z.probedAt) >= l.cfg.HeartbeatInterval {
			z.probedAt = now
			out = append(out, l.probeZone(z)...)
		}
	}
	return out
}

// probeZone requests a reply from some machines of an unresponsive zone.
func (l *List) probeZone(z *zone) []Action {
	var out []Action
	for _, e := range l.pickRandom(z, l.cfg.Witnesses, nil) {
		r := l.members[e.ID].gossipUpdate()
		r.State = wire.GossipSuspect
		out = append(out, SendHeartbeat{To: []*model.EntryVM{e}, Heartbeat: l.heartbeat([]wire.GossipUpdate{r})})
	}
	return out
}

// removeExpiredUnlisted removes unlisted machines whose last contact is too long ago.
func (l *List) removeExpiredUnlisted(now time.Time) {
	if l.unlistedCount == 0 {
		return
	}
	for id, m := range l.members {
		if m.entry == nil && m != l.self && now.Sub(m.seen) >= unlistedRetentionFactor*l.cfg.FailedAfter {
			delete(l.members, id)
			l.unlistedCount--
		}
	}
}

// unlistedRetentionFactor is the multiple of FailedAfter after which an unlisted machine is removed, counted from the
// last contact with it.
const unlistedRetentionFactor = 10
