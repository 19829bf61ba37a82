package news

import (
	"net/netip"
	"time"
)

const (
	// minLinkMbps is the minimum link rate that is assumed for a daemon, in Mbit/s.
	minLinkMbps = 10
	// fetchTimeFactor is the factor by which the transfer time of a fetch is extended to leave link capacity for
	// packets.
	fetchTimeFactor = 2
	// maxFetchDelay is the maximum delay of a fetch. It is below the time within which a change must take effect.
	maxFetchDelay = 1500 * time.Millisecond
)

// scheduleFetch schedules the fetch of a large value of size bytes from m. The daemons of a zone fetch one after the
// other in their order, each in a time slot as long as the sender's link needs for one response. Load pattern: a large
// change that all daemons fetch at once, which would saturate the link of the daemon that announced it.
func (e *Engine) scheduleFetch(now time.Time, m *member, size int) {
	link := max(m.heartbeat.Link, minLinkMbps)
	rank := e.members.rank(now)
	slot := time.Duration(float64(size*8*fetchTimeFactor) / float64(link) * float64(time.Microsecond))
	at := now.Add(min(time.Duration(rank)*slot, maxFetchDelay))
	if e.scheduledFetchAt.IsZero() || at.Before(e.scheduledFetchAt) {
		e.scheduledFetchAt, e.scheduledFetchFrom = at, m.Addr
	}
}

// stepScheduledFetch fetches a large value when its scheduled time has come.
func (e *Engine) stepScheduledFetch(now time.Time) []Action {
	if e.scheduledFetchAt.IsZero() || now.Before(e.scheduledFetchAt) || e.fetching {
		return nil
	}
	e.scheduledFetchAt = time.Time{}
	m := e.members.byAddr[e.scheduledFetchFrom]
	if m == nil {
		return nil
	}
	return []Action{e.fetch(now, m)}
}

// NextTick returns the time at which Tick has to be called for a scheduled fetch or the read of a new era, possibly before
// its regular interval, or false.
func (e *Engine) NextTick() (time.Time, bool) {
	if !e.scheduledFetchAt.IsZero() && !e.fetching {
		return e.scheduledFetchAt, true
	}
	return e.reader.nextCall, e.replica.synced && e.lagsEra() && e.reader.reading && e.reader.openCall == callNone
}

func (e *Engine) fetch(now time.Time, m *member) Action {
	e.fetching = true
	m.lastFetch = now
	e.fetchingKept = m.heartbeat.Kept
	return Fetch{From: m.Addr, Have: e.replica.versions()}
}

// Fetched is the result of a Fetch.
type Fetched struct {
	From     netip.AddrPort
	Complete Position
	Age      time.Duration
	Items    []Item
	// Standing holds the versions of all items that were published as of Complete.
	Standing []Version
	// Kept are the items of earlier eras that the other daemon keeps in force.
	Kept []Kept
	Err  error
}

// HandleFetched processes the result of a Fetch.
func (e *Engine) HandleFetched(now time.Time, f Fetched) []Action {
	e.fetching = false
	m := e.members.byAddr[f.From]
	if f.Err != nil || m == nil || f.Complete.Era < e.era {
		// A response of an older era does not count, however late it comes.
		return e.step(now)
	}
	actions := e.noteEra(now, f.Complete.Era, f.From)
	items, unresolved := e.replica.resolveAll(f.Items)
	var changes []Item
	if f.Complete.Revision > 0 && unresolved == nil {
		changes = e.applyFullState(now, f.Complete, items, f.Standing)
		e.recordConfirmation(now.Add(-f.Age))
	} else {
		changes = e.applyAll(now, items)
	}
	e.learnKept(now, f.Kept)
	e.noteKeptFetched()
	actions = append(actions, e.propagate(now, changes, m)...)
	return append(actions, e.step(now)...)
}

// stepRepair repairs the replica by anti-entropy: when it keeps differing from those of other daemons, it fetches items
// from the one that is complete up to the highest revision.
func (e *Engine) stepRepair(now time.Time) []Action {
	if e.fetching || !e.scheduledFetchAt.IsZero() {
		return nil
	}
	var best *member
	for _, m := range e.members.ordered {
		if !e.needsFetch(now, m) {
			continue
		}
		if best == nil || best.heartbeat.complete().Before(m.heartbeat.complete()) {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	return []Action{e.fetch(now, best)}
}

// initialReadTimeout is how long a starting daemon waits for its own read of the platform before it fetches all items
// from another daemon. It is several times the platform's usual response time. Load pattern: many daemons that start at
// once, whose fetches would saturate the link of the daemon that serves them.
const initialReadTimeout = 300 * time.Millisecond

// repairDelayFactor is the factor by which Config.RepairDelay is multiplied before a fetch from a daemon whose replica
// differs but does not appear newer.
const repairDelayFactor = 10

// olderThan reports whether the first state that this daemon received, which may be seconds old, lacks a change that
// another daemon has already received from the platform. When all daemons start at once, none has received one: their
// replicas are equally old, and fetches would only load the links.
func (e *Engine) olderThan(m *member) bool {
	return e.replica.synced && !e.Confirmed() && m.heartbeat.Age < e.cfg.MaxAge && e.replica.highest.Before(m.heartbeat.highest())
}

// firstContactTimeout is how long a starting daemon waits for the first response from the seeds: twice the round trip
// between availability zones of one region, about 11 ms, plus scheduling delay.
const firstContactTimeout = 30 * time.Millisecond

// Outdated reports whether the replica of a starting daemon is known to lack changes, so that it may still contain
// targets or routes that have been removed, or whether no daemon that may know of such changes has sent a heartbeat
// yet. It returns true only briefly: until a fetch supplies the changes or initialReadTimeout, in which the platform
// would have responded, has passed since the start.
func (e *Engine) Outdated(now time.Time) bool {
	if now.Sub(e.started) >= initialReadTimeout {
		return false
	}
	if now.Sub(e.started) < firstContactTimeout && len(e.cfg.Seeds) > 0 && !e.members.anyLive(now) {
		return true
	}
	for _, m := range e.members.ordered {
		if m.live(now) && (e.olderThan(m) || !m.keptDiffersSince.IsZero()) {
			return true
		}
	}
	return false
}

// needsFetch reports whether items should be fetched from another daemon.
func (e *Engine) needsFetch(now time.Time, m *member) bool {
	if !m.live(now) || now.Sub(m.lastFetch) < e.cfg.FetchInterval || m.heartbeat.Highest == 0 || m.heartbeat.Era < e.era {
		return false
	}
	if e.olderThan(m) || e.needsKept(now, m) {
		return true
	}
	if m.differsSince.IsZero() {
		return false
	}
	if !e.replica.synced {
		return e.reader.openCall != callRead || now.Sub(e.started) >= initialReadTimeout
	}
	delay := e.cfg.RepairDelay
	if !e.replica.highest.Before(m.heartbeat.highest()) && !e.replica.complete.Before(m.heartbeat.complete()) {
		delay *= repairDelayFactor
	}
	return now.Sub(m.differsSince) >= delay
}
