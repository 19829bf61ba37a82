package news

import (
	"net/netip"
	"time"
)

// HandleDatagram processes a datagram from another daemon.
func (e *Engine) HandleDatagram(now time.Time, from netip.AddrPort, d Datagram) []Action {
	m := e.members.upsert(now, Member{Addr: from})
	if m == nil {
		return nil
	}
	var actions []Action
	if d.Heartbeat != nil {
		actions = append(actions, e.noteEra(now, d.Heartbeat.Era, from)...)
		e.heartbeatReceived(now, m, d.Heartbeat)
		if len(d.Heartbeat.Reports) > 0 {
			actions = append(actions, ReportsReceived{From: m.Member, Reports: d.Heartbeat.Reports})
		}
	}
	for _, named := range d.Members {
		if e.members.byAddr[named.Addr] == nil && e.members.upsert(now, named) != nil {
			if named.Zone == e.cfg.Self.Zone {
				e.zoneGrewAt = now
			}
			actions = append(actions, Send{To: []netip.AddrPort{named.Addr}, Datagram: Datagram{Heartbeat: e.ownHeartbeat(now)}})
		}
	}
	if d.Asks {
		known := e.members.sampleFor(now, m.Zone, e.cfg.Relays, e.cfg.MaxMembers, e.cfg.Rand)
		heartbeat := e.ownHeartbeat(now)
		heartbeat.Reports = nil // with them it would exceed an Ethernet frame
		for _, response := range memberDatagrams(heartbeat, known) {
			actions = append(actions, Send{To: []netip.AddrPort{from}, Datagram: response})
		}
	}
	if len(d.Absent) > 0 {
		actions = append(actions, TargetsSuspected{Targets: d.Absent})
	}
	actions = append(actions, e.handleItems(now, m, d.Items)...)
	if len(d.Items) == 0 && e.replica.synced && !e.olderThan(m) && m.keptDiffersSince.IsZero() {
		// After a heartbeat that reports nothing newer, all remaining work can wait for the next tick.
		return actions
	}
	return append(actions, e.step(now)...)
}

// maxFrameBytes is the size of a datagram that fits into an Ethernet frame, less protocol headers, key ids and
// authentication codes.
const maxFrameBytes = 1400

// memberDatagrams distributes members over datagrams of at most maxFrameBytes. Names of zones may be long, and receivers do
// not read more than a frame.
func memberDatagrams(heartbeat *Heartbeat, members []Member) []Datagram {
	d := Datagram{Heartbeat: heartbeat, Members: members}
	if data, err := d.Encode(); err != nil || len(data) <= maxFrameBytes || len(members) <= 1 {
		return []Datagram{d} // an error of the encoding is reported when it is sent
	}
	half := len(members) / 2
	return append(memberDatagrams(heartbeat, members[:half]), memberDatagrams(heartbeat, members[half:])...)
}

// ReportAbsentTarget notifies the daemons of the zone that a target did not respond to probes. Their engines
// report it as a TargetsSuspected action, on which a daemon with flows on the target probes it itself.
func (e *Engine) ReportAbsentTarget(now time.Time, target string) []Action {
	return []Action{Send{To: e.members.recipients(now, false, false), Datagram: Datagram{Absent: []string{target}}}}
}

// heartbeatReceived records a heartbeat.
func (e *Engine) heartbeatReceived(now time.Time, m *member, heartbeat *Heartbeat) {
	if !m.live(now) {
		// What it held before it was silent, perhaps in an earlier process, says nothing about how long it differs.
		m.differsSince, m.keptDiffersSince = time.Time{}, time.Time{}
	}
	m.heartbeat = *heartbeat
	m.heartbeatReceived = now
	e.members.upsert(now, Member{Addr: m.Addr, Zone: heartbeat.Zone, Link: heartbeat.Link})
	e.compareReplica(now, m)
	e.compareKept(now, m)
}

// compareReplica records whether another daemon's replica equals this daemon's. If it does, the complete position and
// the platform's confirmation of the other replica hold for this one too. A replica of an older era has nothing that this
// daemon lacks, and its confirmation does not count.
func (e *Engine) compareReplica(now time.Time, m *member) {
	if m.heartbeat.Era < e.era {
		m.differsSince = time.Time{}
		return
	}
	if !e.replica.synced || m.heartbeat.Digest != e.replica.digestIn(m.heartbeat.Era) {
		if m.differsSince.IsZero() {
			m.differsSince = now
		}
		return
	}
	m.differsSince = time.Time{}
	e.replica.markComplete(m.heartbeat.complete())
	e.recordConfirmation(now.Add(-m.heartbeat.Age))
}

// recordConfirmation records that the platform confirmed the replica at a given time.
func (e *Engine) recordConfirmation(at time.Time) {
	if at.After(e.confirmed) {
		e.confirmed = at
	}
}

// handleItems applies items from another daemon, and schedules a fetch if an item came without its value.
func (e *Engine) handleItems(now time.Time, m *member, items []Item) []Action {
	items, actions := e.dropOlderEras(now, m, items)
	resolved, unresolved := e.replica.resolveAll(items)
	actions = append(actions, e.propagate(now, e.applyAll(now, resolved), m)...)
	if unresolved != nil {
		e.scheduleFetch(now, m, unresolved.Size)
	}
	if len(resolved) > 0 && e.lagsEra() && m.heartbeat.Era == e.era {
		// The heartbeat after a whole read may have overtaken the items.
		e.compareReplica(now, m)
	}
	return actions
}

// propagate reports changed items and sends them on as gossip: to its zone, or in a small fleet to all daemons. In a
// large fleet each zone reads the platform itself. If it cannot, its first daemons see in the heartbeats of other zones
// that their replica lacks changes, and fetch them. from is nil for changes from the platform.
func (e *Engine) propagate(now time.Time, changes []Item, from *member) []Action {
	actions := e.takePending()
	if len(changes) == 0 {
		return actions
	}
	for _, m := range e.members.ordered {
		m.differsSince = time.Time{}
	}
	var to []netip.AddrPort
	switch {
	case from == nil:
		to = e.members.recipients(now, e.isSmallFleet(), false)
	case from.Zone != e.cfg.Self.Zone && !e.isSmallFleet():
		to = e.members.recipients(now, false, false)
	}
	if len(to) == 0 {
		return actions
	}
	datagrams := e.packIntoDatagrams(changes)
	if len(datagrams) == 1 {
		e.scheduleRepeats(now, Send{To: to, Datagram: datagrams[0]})
	}
	for _, d := range datagrams {
		actions = append(actions, Send{To: to, Datagram: d})
	}
	return actions
}
