package news

import (
	"net/netip"
	"time"
)

// silentEvery is the interval between heartbeats to an unresponsive daemon.
const silentEvery = time.Second

// small reports whether the fleet is small enough for every daemon to send to all others.
func (e *Engine) small() bool {
	return len(e.members.ordered) < e.cfg.SmallFleet
}

// audience returns the daemons to which this one sends its heartbeat. With silent, it includes unresponsive daemons.
func (e *Engine) audience(now time.Time, silent bool) []netip.AddrPort {
	if e.small() {
		return e.members.inZone(now, true, silent)
	}
	to := e.members.inZone(now, false, silent)
	if e.members.position(now) < e.cfg.Relays || e.reader.reading {
		to = append(to, e.members.first(now, e.cfg.Relays)...)
	}
	return to
}

// beat returns this daemon's heartbeat.
func (e *Engine) beat(now time.Time) *Heartbeat {
	return &Heartbeat{
		Zone:     e.cfg.Self.Zone,
		Interval: e.interval(now),
		Highest:  e.replica.highest,
		Complete: e.replica.complete,
		Digest:   e.replica.digest,
		Age:      e.age(now),
		Reads:    e.reader.reading,
		Failing:  now.Before(e.reader.failingUntil),
		Leaving:  e.leaving,
		Link:     e.cfg.Self.Link,
	}
}

// interval returns this daemon's heartbeat interval, which depends on the fleet size and its position in the zone.
func (e *Engine) interval(now time.Time) time.Duration {
	if e.small() || e.members.position(now) < frontRank {
		return e.cfg.Interval
	}
	return e.cfg.SlowInterval
}

// stepBeat sends the heartbeat and requests members when they are due.
func (e *Engine) stepBeat(now time.Time) []Action {
	if now.Before(e.nextBeat) {
		return nil
	}
	e.nextBeat = now.Add(e.interval(now))
	e.members.forget(now)
	e.replica.forget(now)
	silent := !now.Before(e.nextAll)
	if silent {
		e.nextAll = now.Add(silentEvery)
	}
	actions := []Action{Send{To: e.audience(now, silent), Datagram: Datagram{Heartbeat: e.beat(now)}}}
	if now.Before(e.nextAsk) {
		return actions
	}
	e.nextAsk = now.Add(e.cfg.AskEvery)
	if !e.members.anyLive(now) {
		e.nextAsk = now.Add(e.interval(now))
	}
	if ask := e.whomToAsk(now); len(ask) > 0 {
		actions = append(actions, Send{To: ask, Datagram: Datagram{Heartbeat: e.beat(now), Asks: true}})
	}
	return actions
}

// whomToAsk returns the daemons to request members from: a random live daemon of the own zone, or the seeds while
// the zone has fewer than two live daemons.
func (e *Engine) whomToAsk(now time.Time) []netip.AddrPort {
	var near []netip.AddrPort
	for _, m := range e.members.live(now) {
		if m.Zone == e.cfg.Self.Zone {
			near = append(near, m.Addr)
		}
	}
	if len(near) > 1 {
		return []netip.AddrPort{near[e.cfg.Rand.IntN(len(near))]}
	}
	var out []netip.AddrPort
	for _, a := range e.cfg.Seeds {
		if a != e.cfg.Self.Addr {
			out = append(out, a)
		}
	}
	return out
}
