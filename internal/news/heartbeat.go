package news

import (
	"net/netip"
	"time"
)

// unresponsiveHeartbeatInterval is the interval between heartbeats to unresponsive daemons.
const unresponsiveHeartbeatInterval = time.Second

// isSmallFleet reports whether the fleet is small enough for every daemon to send to all others.
func (e *Engine) isSmallFleet() bool {
	return len(e.members.ordered) < e.cfg.SmallFleetSize
}

// heartbeatRecipients returns the daemons to which this one sends its heartbeat.
func (e *Engine) heartbeatRecipients(now time.Time, includeUnresponsive bool) []netip.AddrPort {
	if e.isSmallFleet() {
		return e.members.recipients(now, true, includeUnresponsive)
	}
	to := e.members.recipients(now, false, includeUnresponsive)
	if e.members.readerRank(now) < e.cfg.Relays || e.reader.reading {
		to = append(to, e.members.relaysOfOtherZones(now, e.cfg.Relays)...)
	}
	return to
}

// ownHeartbeat returns this daemon's heartbeat.
func (e *Engine) ownHeartbeat(now time.Time) *Heartbeat {
	complete, highest := e.replica.complete, e.replica.highest
	if !e.replica.synced {
		complete = Position{Era: highest.Era}
	}
	if highest.Era != complete.Era {
		// Items of an era that this replica is not complete in are not to be fetched from here.
		highest = complete
	}
	return &Heartbeat{
		Zone:     e.cfg.Self.Zone,
		Interval: e.heartbeatInterval(now),
		Era:      complete.Era,
		Highest:  highest.Revision,
		Complete: complete.Revision,
		Digest:   e.replica.digest,
		Kept:     e.holds.digest,
		Age:      e.age(now),
		Reads:    e.reader.reading,
		Failing:  now.Before(e.reader.failingUntil),
		Leaving:  e.draining,
		Link:     e.cfg.Self.Link,
		Reports:  e.ownReports(now),
	}
}

// ownReports returns what other modules add to this daemon's heartbeat, up to Config.MaxReportBytes.
func (e *Engine) ownReports(now time.Time) []Report {
	if e.cfg.Reports == nil {
		return nil
	}
	reports, size := e.cfg.Reports(now), 0
	for i, r := range reports {
		size += len(r.Data)
		if size > e.cfg.MaxReportBytes {
			return reports[:i]
		}
	}
	return reports
}

// heartbeatInterval returns this daemon's heartbeat interval, which depends on the fleet size and its rank in the zone.
func (e *Engine) heartbeatInterval(now time.Time) time.Duration {
	if e.isSmallFleet() || e.members.readerRank(now) < leadingDaemons {
		return e.cfg.HeartbeatInterval
	}
	return e.cfg.SlowHeartbeatInterval
}

// stepHeartbeat sends the heartbeat and requests members when they are due.
func (e *Engine) stepHeartbeat(now time.Time) []Action {
	if now.Before(e.nextHeartbeat) {
		return nil
	}
	e.nextHeartbeat = now.Add(e.heartbeatInterval(now))
	e.members.removeExpired(now)
	e.replica.removeExpired(now)
	includeUnresponsive := !now.Before(e.nextUnresponsiveHeartbeat)
	if includeUnresponsive {
		e.nextUnresponsiveHeartbeat = now.Add(unresponsiveHeartbeatInterval)
	}
	actions := []Action{Send{To: e.heartbeatRecipients(now, includeUnresponsive), Datagram: Datagram{Heartbeat: e.ownHeartbeat(now)}}}
	if now.Before(e.nextMemberRequest) {
		return actions
	}
	e.nextMemberRequest = now.Add(e.cfg.MemberRequestInterval)
	if !e.members.anyLive(now) || e.learnsZone(now) {
		e.nextMemberRequest = now.Add(e.heartbeatInterval(now))
	}
	if recipients := e.memberRequestRecipients(now); len(recipients) > 0 {
		actions = append(actions, Send{To: recipients, Datagram: Datagram{Heartbeat: e.ownHeartbeat(now), Asks: true}})
	}
	return actions
}

// learnsZone reports whether a response has named an unknown daemon of the zone lately. A response holds a part of a large zone,
// so more are likely to be unknown.
func (e *Engine) learnsZone(now time.Time) bool {
	return !e.zoneGrewAt.IsZero() && now.Sub(e.zoneGrewAt) <= 2*e.cfg.MemberRequestInterval
}

// memberRequestRecipients returns the daemons to request members from: a random live daemon of this daemon's zone, two while it
// learns the zone, or the seeds while the zone has fewer than two other live daemons.
func (e *Engine) memberRequestRecipients(now time.Time) []netip.AddrPort {
	var sameZone []netip.AddrPort
	for _, m := range e.members.live(now) {
		if m.Zone == e.cfg.Self.Zone {
			sameZone = append(sameZone, m.Addr)
		}
	}
	if len(sameZone) > 1 {
		first := e.cfg.Rand.IntN(len(sameZone))
		if !e.learnsZone(now) {
			return []netip.AddrPort{sameZone[first]}
		}
		second := (first + 1 + e.cfg.Rand.IntN(len(sameZone)-1)) % len(sameZone)
		return []netip.AddrPort{sameZone[first], sameZone[second]}
	}
	var out []netip.AddrPort
	for _, a := range e.cfg.Seeds {
		if a != e.cfg.Self.Addr {
			out = append(out, a)
		}
	}
	return out
}
