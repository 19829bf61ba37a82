package news

import (
	"net/netip"
	"time"
)

const (
	// unknownLink is the minimum link rate that is assumed for a daemon, in Mbit/s.
	unknownLink = 10
	// fetchRoom is the factor by which the transfer time of a fetch is extended to leave link capacity for packets.
	fetchRoom = 2
	// maxFetchDelay is the maximum delay of a fetch. It is below the time within which a change must take effect.
	maxFetchDelay = 1500 * time.Millisecond
)

// fetchSoon schedules the fetch of a large value of size bytes from m. The daemons of a zone fetch one after the other
// in their order, each in a time slot as long as the sender's link needs for one response. Load pattern: a large
// change that all daemons fetch at once, which would saturate the link of the daemon that announced it.
func (e *Engine) fetchSoon(now time.Time, m *member, size int) {
	link := max(m.beat.Link, unknownLink)
	place := e.members.place(now)
	turn := time.Duration(float64(size*8*fetchRoom) / float64(link) * float64(time.Microsecond))
	at := now.Add(min(time.Duration(place)*turn, maxFetchDelay))
	if e.wantedAt.IsZero() || at.Before(e.wantedAt) {
		e.wantedAt, e.wantedFrom = at, m.Addr
	}
}

// stepWanted fetches a large value when its scheduled time has come.
func (e *Engine) stepWanted(now time.Time) []Action {
	if e.wantedAt.IsZero() || now.Before(e.wantedAt) || e.fetching {
		return nil
	}
	e.wantedAt = time.Time{}
	m := e.members.byAddr[e.wantedFrom]
	if m == nil {
		return nil
	}
	return []Action{e.fetch(now, m)}
}

// NextTick returns the time at which Tick has to be called for a scheduled fetch, possibly before its regular interval,
// or false.
func (e *Engine) NextTick() (time.Time, bool) {
	return e.wantedAt, !e.wantedAt.IsZero() && !e.fetching
}

func (e *Engine) fetch(now time.Time, m *member) Action {
	e.fetching = true
	m.fetched = now
	return Fetch{From: m.Addr, Have: e.replica.versions()}
}

// Fetched is the result of a Fetch.
type Fetched struct {
	From     netip.AddrPort
	Complete uint64
	Age      time.Duration
	Items    []Item
	Standing []Version
	Err      error
}

// HandleFetched processes the result of a Fetch.
func (e *Engine) HandleFetched(now time.Time, f Fetched) []Action {
	e.fetching = false
	m := e.members.byAddr[f.From]
	if f.Err != nil || m == nil {
		return e.step(now)
	}
	items, lacking := e.replica.openAll(f.Items)
	var actions []Action
	if f.Complete > 0 && lacking == nil {
		actions = e.changed(now, e.replica.reset(now, f.Complete, items, f.Standing), m)
		e.confirmedAt(now.Add(-f.Age))
	} else {
		actions = e.changed(now, e.replica.applyAll(now, items), m)
	}
	return append(actions, e.step(now)...)
}

// stepFetch repairs the replica by anti-entropy: when it keeps differing from those of other daemons, it fetches items
// from the one that is complete up to the highest revision.
func (e *Engine) stepFetch(now time.Time) []Action {
	if e.fetching || !e.wantedAt.IsZero() {
		return nil
	}
	var best *member
	for _, m := range e.members.ordered {
		if !e.wants(now, m) {
			continue
		}
		if best == nil || m.beat.Complete > best.beat.Complete {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	return []Action{e.fetch(now, best)}
}

// ownReadTime is how long a starting daemon waits for its own read of the platform before it fetches all items from
// another daemon. It is several times the platform's usual response time. Load pattern: many daemons that start at
// once, whose fetches would saturate the link of the daemon that serves them.
const ownReadTime = 300 * time.Millisecond

// oldRepairs is the factor by which Config.Repair is multiplied before a fetch from a daemon whose replica differs but
// does not appear newer.
const oldRepairs = 10

// olderThan reports whether the first state that this daemon received, which may be seconds old, lacks a change that
// another daemon has already received from the platform. When all daemons start at once, none has received one: their
// replicas are equally old, and fetches would only load the links.
func (e *Engine) olderThan(m *member) bool {
	return e.replica.filled && !e.Confirmed() && m.beat.Age < e.cfg.Trust && m.beat.Highest > e.replica.highest
}

// firstWordTime is how long a starting daemon waits for the first response from the seeds: twice the round trip between
// availability zones of one region, about 11 ms, plus scheduling delay.
const firstWordTime = 30 * time.Millisecond

// Outdated reports whether the replica of a starting daemon is known to lack changes, so that it may still contain
// targets or routes that have been removed, or whether no daemon that may know of such changes has been heard from yet.
// It returns true only briefly: until a fetch supplies the changes or ownReadTime, in which the platform would have
// responded, has passed since the start.
func (e *Engine) Outdated(now time.Time) bool {
	if now.Sub(e.started) >= ownReadTime {
		return false
	}
	if now.Sub(e.started) < firstWordTime && len(e.cfg.Seeds) > 0 && !e.members.anyLive(now) {
		return true
	}
	for _, m := range e.members.ordered {
		if m.live(now) && e.olderThan(m) {
			return true
		}
	}
	return false
}

// wants reports whether items should be fetched from another daemon.
func (e *Engine) wants(now time.Time, m *member) bool {
	if !m.live(now) || now.Sub(m.fetched) < e.cfg.FetchEvery || m.beat.Highest == 0 {
		return false
	}
	if e.olderThan(m) {
		return true
	}
	if m.differs.IsZero() {
		return false
	}
	if !e.replica.filled {
		return e.reader.open != callRead || now.Sub(e.started) >= ownReadTime
	}
	patience := e.cfg.Repair
	if m.beat.Highest <= e.replica.highest && m.beat.Complete <= e.replica.complete {
		patience *= oldRepairs
	}
	return now.Sub(m.differs) >= patience
}
