package news

import (
	"net/netip"
	"time"
)

const (
	// unknownLink is the rate that a daemon's link is taken to have at least, in Mbit/s.
	unknownLink = 10
	// fetchRoom is the part of a link that fetches leave to packets, as a factor of their time.
	fetchRoom = 2
	// maxFetchDelay bounds the wait for one's turn, inside the time in which a change must be in force.
	maxFetchDelay = 1500 * time.Millisecond
)

// fetchSoon sets when a large value is fetched. The daemons of a zone take turns by their places, each for as long
// as the sender's link needs for one answer: it answers the load pattern of a large change that all fetch at once,
// which would fill the link of the daemon that tells of it.
func (e *Engine) fetchSoon(now time.Time, m *member, size int) {
	link := max(m.beat.Link, unknownLink)
	place := e.members.place(now)
	turn := time.Duration(float64(size*8*fetchRoom) / float64(link) * float64(time.Microsecond))
	at := now.Add(min(time.Duration(place)*turn, maxFetchDelay))
	if e.wantedAt.IsZero() || at.Before(e.wantedAt) {
		e.wantedAt, e.wantedFrom = at, m.Addr
	}
}

// stepWanted fetches a large value once it is this daemon's turn.
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

// NextTick returns when Tick has something to do before its usual time, or false.
func (e *Engine) NextTick() (time.Time, bool) {
	return e.wantedAt, !e.wantedAt.IsZero() && !e.fetching
}

func (e *Engine) fetch(now time.Time, m *member) Action {
	e.fetching = true
	m.fetched = now
	return Fetch{From: m.Addr, Have: e.replica.versions()}
}

// Fetched is the answer to a Fetch.
type Fetched struct {
	From     netip.AddrPort
	Complete uint64
	Age      time.Duration
	Items    []Item
	Standing []Version
	Err      error
}

// HandleFetched takes the answer of another daemon.
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

// stepFetch repairs a copy that goes on to differ from a newer one.
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

// ownReadTime is how long a daemon that starts waits for its own read of the platform before it fetches all items from
// another one: several times what the platform needs. It answers the load pattern of many daemons that start at once,
// whose fetches would fill the link of the one that they ask.
const ownReadTime = 300 * time.Millisecond

// oldRepairs is how many times longer a copy that does not look newer may differ before it is fetched.
const oldRepairs = 10

// olderThan reports whether the first copy, which may be seconds old, lacks a change that another daemon has from the
// platform. Among daemons that all start at once none has: their copies are as old, and fetches would only fill links.
func (e *Engine) olderThan(m *member) bool {
	return e.replica.filled && !e.Confirmed() && m.beat.Age < e.cfg.Trust && m.beat.Highest > e.replica.highest
}

// firstWordTime is how long a daemon that starts waits for the first word of those that it asks: twice the round trip
// between availability zones of one region, some 11 ms, and a turn of the processor.
const firstWordTime = 30 * time.Millisecond

// Outdated reports whether the copy is known to lack changes since the daemon's start, so that a target or a route that
// has ended may still stand in it, or nobody has been heard yet who may know. It is so for a moment at most: until a fetch
// brings them, or the time is over in which the daemon would have been served by the platform.
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

// wants reports whether another daemon's copy is to be fetched.
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
