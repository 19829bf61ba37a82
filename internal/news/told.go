package news

import (
	"net/netip"
	"time"
)

// HandleDatagram processes a datagram from another daemon.
func (e *Engine) HandleDatagram(now time.Time, from netip.AddrPort, d Datagram) []Action {
	m := e.members.learn(now, Member{Addr: from})
	if m == nil {
		return nil
	}
	var actions []Action
	if d.Heartbeat != nil {
		e.heard(now, m, d.Heartbeat)
	}
	for _, named := range d.Members {
		if e.members.byAddr[named.Addr] == nil && e.members.learn(now, named) != nil {
			actions = append(actions, Send{To: []netip.AddrPort{named.Addr}, Datagram: Datagram{Heartbeat: e.beat(now)}})
		}
	}
	if d.Asks {
		known := e.members.introduce(now, m.Zone, e.cfg.Relays, e.cfg.MaxMembers, e.cfg.Rand)
		answer := Datagram{Heartbeat: e.beat(now), Members: known}
		actions = append(actions, Send{To: []netip.AddrPort{from}, Datagram: answer})
	}
	if len(d.Absent) > 0 {
		actions = append(actions, Suspected{Targets: d.Absent})
	}
	actions = append(actions, e.told(now, m, d.Items)...)
	if len(d.Items) == 0 && e.replica.filled && !e.olderThan(m) {
		// After a heartbeat that reports nothing newer, all remaining work can wait for the next tick.
		return actions
	}
	return append(actions, e.step(now)...)
}

// TellAbsent notifies the daemons of the zone that a target did not respond to probes. Each of them probes it itself.
func (e *Engine) TellAbsent(now time.Time, target string) []Action {
	return []Action{Send{To: e.members.inZone(now, false, false), Datagram: Datagram{Absent: []string{target}}}}
}

// heard records a heartbeat.
func (e *Engine) heard(now time.Time, m *member, beat *Heartbeat) {
	m.beat = *beat
	m.heard = now
	e.members.learn(now, Member{Addr: m.Addr, Zone: beat.Zone, Link: beat.Link})
	e.compare(now, m)
}

// compare records whether another daemon's replica equals this daemon's. If it does, the complete revision and the
// platform's confirmation of the other replica hold for this one too.
func (e *Engine) compare(now time.Time, m *member) {
	if m.beat.Digest != e.replica.digest || !e.replica.filled {
		if m.differs.IsZero() {
			m.differs = now
		}
		return
	}
	m.differs = time.Time{}
	e.replica.complete = max(e.replica.complete, m.beat.Complete)
	e.confirmedAt(now.Add(-m.beat.Age))
}

// confirmedAt records that the platform confirmed the replica at a given time.
func (e *Engine) confirmedAt(at time.Time) {
	if at.After(e.confirmed) {
		e.confirmed = at
	}
}

// told applies items from another daemon, and schedules a fetch if an item came without its value.
func (e *Engine) told(now time.Time, m *member, items []Item) []Action {
	opened, lacking := e.replica.openAll(items)
	actions := e.changed(now, e.replica.applyAll(now, opened), m)
	if lacking != nil {
		e.fetchSoon(now, m, lacking.Size)
	}
	return actions
}

// changed reports changed items and sends them on as gossip: to the own zone, in a small fleet to all daemons. In a
// large fleet each zone reads the platform itself. If it cannot, its first daemons see in the heartbeats of other zones
// that their replica lacks changes, and fetch them. from is nil for changes from the platform.
func (e *Engine) changed(now time.Time, news []Item, from *member) []Action {
	if len(news) == 0 {
		return nil
	}
	for _, m := range e.members.ordered {
		m.differs = time.Time{}
	}
	actions := []Action{Changed{Items: news}}
	var to []netip.AddrPort
	switch {
	case from == nil:
		to = e.members.inZone(now, e.small(), false)
	case from.Zone != e.cfg.Self.Zone && !e.small():
		to = e.members.inZone(now, false, false)
	}
	if len(to) == 0 {
		return actions
	}
	for _, d := range e.pack(news) {
		actions = append(actions, Send{To: to, Datagram: d})
	}
	return actions
}
