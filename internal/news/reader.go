package news

import (
	"errors"
	"net/netip"
	"time"
)

// callKind is the kind of the open call to the platform. There is at most one open call.
type callKind uint8

const (
	callNone callKind = iota
	callRead
	callWatch
)

// reader is the state of the daemon's calls to the platform.
type reader struct {
	openCall callKind
	// callNumber identifies the open call. Results of cancelled calls carry other numbers and are ignored.
	callNumber uint64
	// callStarted is when the last call was started.
	callStarted time.Time
	// acceptsStale is true for an open read that accepts a stale response.
	acceptsStale bool
	nextCall     time.Time
	// failures is the number of failed calls since the last one that succeeded, failedAt the time of the last one,
	// retryFactor the random factor, 0.5 to 1.5, of the wait after it, and retryAt its end; nextCall may have been set to
	// another time since.
	failures    int
	failedAt    time.Time
	retryFactor float64
	retryAt     time.Time
	// failingUntil is the end of the time after a failed call in which this daemon gives up its place as a reader to
	// others.
	failingUntil time.Time
	// needsFullRead is true when the platform no longer has all changes since the replica's complete revision, or when its
	// response with them cannot be used, so that a watch is not possible and all items have to be read. fullReadAt is when
	// they were last read.
	needsFullRead bool
	fullReadAt    time.Time
	// refuseStale is true once a stale response was of an older era than one known.
	refuseStale bool
	reading     bool
	reachable   bool
	// targetsKnown is true once all items that describe targets have been read from the platform.
	targetsKnown bool
	// watchLagsSince is since when other daemons have sent changes that the open watch has not returned.
	watchLagsSince time.Time
}

// watchLagTimeout is how long an open watch may lack a change that other daemons have sent before it is cancelled. It
// is well above the difference between the arrival times of one change at two watches.
const watchLagTimeout = 700 * time.Millisecond

// leadingDaemons is the number of daemons at the head of a zone's order that retry failed calls to the platform soon
// and send heartbeats at the short interval.
const leadingDaemons = 3

// The daemons after the first leadingDaemons of a zone retry failed calls later, because the first ones notify them once
// the platform responds again. followerBackoff is their minimum mean delay, and followerCallRate the rate, per second, that
// all of them together keep to, so that a zone's call rate does not grow with its number of daemons.
const (
	followerBackoff  = 1600 * time.Millisecond
	followerCallRate = 5
)

// followerStagger is the delay between the first attempts of consecutive daemons after the first leadingDaemons of a
// zone, so that one whose call succeeds notifies the others before they try. maxFollowerStagger bounds the delay of the
// last one: together with MaxAge it is within the time in which a change must take effect, since the last one may be the
// only one that the platform serves.
const (
	followerStagger    = 50 * time.Millisecond
	maxFollowerStagger = 1500 * time.Millisecond
)

// maxCallTime is the time after which an open call counts as failed. The caller ends each call sooner; if it loses the
// result, no other event would end the wait for it.
const maxCallTime = 12 * time.Second

// errCallLost is the failure of a call whose result did not come.
var errCallLost = errors.New("the result of the call did not come")

// HandleRead processes the response to ReadAll: all published items as of the position asOf. callNumber is the Call
// of the ReadAll.
func (e *Engine) HandleRead(now time.Time, callNumber uint64, items []Item, asOf Position) []Action {
	if callNumber != e.reader.callNumber {
		return nil
	}
	if asOf.Era < e.era {
		return e.handleOlderEra(now, callNumber)
	}
	acceptsStale := e.reader.acceptsStale
	e.reader.openCall = callNone
	actions := e.noteEra(now, asOf.Era, netip.AddrPort{})
	if !acceptsStale || !e.replica.synced {
		published := make([]Version, 0, len(items))
		for _, it := range items {
			published = append(published, it.Version())
		}
		if e.replica.synced && e.replica.complete.Era < asOf.Era {
			// The zone adopts the new era as soon as this daemon confirms what it sends now.
			e.nextHeartbeat = now
		}
		actions = append(actions, e.propagate(now, e.applyFullState(now, asOf, items, published), nil)...)
	}
	if !acceptsStale {
		e.reader.needsFullRead = false
		e.reader.fullReadAt = now
		e.confirmed = now
	}
	e.reader.nextCall = now
	if acceptsStale {
		e.reader.nextCall = e.started.Add(e.cfg.StartupWait + e.jitter(e.cfg.Stagger))
	}
	return append(e.recordReachable(actions), e.step(now)...)
}

// HandleTargets processes all items that describe targets, which are received before the rest of the response to
// ReadAll. Load pattern: many daemons that start at once on slow links. The configuration may be as large as all other
// items together, and open flows do not need it.
func (e *Engine) HandleTargets(now time.Time, callNumber uint64, items []Item) []Action {
	if callNumber != e.reader.callNumber || e.replica.synced {
		return nil
	}
	items, actions := e.dropOlderEras(now, nil, items)
	e.reader.targetsKnown = true
	e.applyAll(now, items)
	return append(actions, e.takePending()...)
}

// HandleWatch processes the response to Watch: the changes, and the position from which to continue. callNumber is the
// Call of the Watch.
func (e *Engine) HandleWatch(now time.Time, callNumber uint64, items []Item, asOf Position) []Action {
	if callNumber != e.reader.callNumber {
		return nil
	}
	if asOf.Era < e.era {
		return e.handleOlderEra(now, callNumber)
	}
	e.reader.openCall = callNone
	e.reader.watchLagsSince = time.Time{}
	if asOf.Era > e.replica.complete.Era {
		// The revision that the watch began at is of an older era: the changes after it are not what this replica lacks.
		actions := e.noteEra(now, asOf.Era, netip.AddrPort{})
		return append(e.recordReachable(actions), e.step(now)...)
	}
	actions := e.propagate(now, e.applyAll(now, items), nil)
	e.replica.markComplete(asOf)
	e.confirmed = now
	e.reader.nextCall = now
	if len(items) > 0 {
		e.reader.nextCall = now.Add(e.cfg.BatchInterval)
	}
	return append(e.recordReachable(actions), e.step(now)...)
}

// Failure describes a failed call to the platform.
type Failure struct {
	Err error
	// Compacted is true when the platform no longer has the changes that a watch requested.
	Compacted bool
	// Undecodable is true for a response that is too large or cannot be decoded: the same call would have it again.
	Undecodable bool
	// Era is the era that the platform reported with the failure, or 0.
	Era uint64
}

// HandleFailure processes the failure of the open call.
func (e *Engine) HandleFailure(now time.Time, callNumber uint64, f Failure) []Action {
	if callNumber != e.reader.callNumber {
		return nil
	}
	watched := e.reader.openCall == callWatch
	e.reader.openCall = callNone
	noted := e.noteEra(now, f.Era, netip.AddrPort{})
	if f.Compacted || f.Undecodable && watched {
		if f.Era != 0 && f.Era < e.era {
			return append(noted, e.handleOlderEra(now, callNumber)...)
		}
		if !e.lagsEra() {
			e.reader.needsFullRead = true
			e.reader.nextCall = now
			if now.Sub(e.reader.fullReadAt) < e.cfg.BatchInterval {
				e.reader.nextCall = now.Add(e.cfg.BatchInterval)
			}
		}
		return append(e.recordReachable(noted), e.step(now)...)
	}
	e.reader.failures++
	e.reader.failedAt = now
	e.reader.retryFactor = 0.5 + e.cfg.Rand.Float64()
	e.reader.retryAt = e.endOfRetryWait(now)
	e.reader.nextCall = e.reader.retryAt
	e.reader.failingUntil = now.Add(e.cfg.FailureWindow)
	actions := append(noted, CancelCall{})
	if e.reader.reachable || e.reader.failures == 1 {
		actions = append(actions, Reachable{Err: f.Err})
	}
	e.reader.reachable = false
	return append(actions, e.step(now)...)
}

// recordReachable records that the platform has responded, and adds a Reachable action if it was unreachable before.
func (e *Engine) recordReachable(actions []Action) []Action {
	e.reader.failures = 0
	e.reader.failingUntil = time.Time{}
	if e.reader.reachable {
		return actions
	}
	e.reader.reachable = true
	return append(actions, Reachable{Reachable: true})
}

// stepReader starts the next call to the platform when one is due.
func (e *Engine) stepReader(now time.Time) []Action {
	if e.reader.openCall != callNone && now.Sub(e.reader.callStarted) >= maxCallTime {
		return e.HandleFailure(now, e.reader.callNumber, Failure{Err: errCallLost})
	}
	actions := e.checkWatch(now)
	if e.reader.openCall != callNone {
		return actions
	}
	e.shortenRetry(now)
	due := !now.Before(e.reader.nextCall)
	if !e.replica.synced {
		if due {
			actions = append(actions, e.startRead(now, !e.reader.refuseStale))
		}
		return actions
	}
	if !due && !e.reader.reading {
		return actions
	}
	reading, changes := e.updateReading(now)
	actions = append(actions, changes...)
	switch {
	case !reading, !due:
		return actions
	case e.reader.needsFullRead, e.lagsEra():
		return append(actions, e.startRead(now, false))
	}
	e.startCall(now, callWatch)
	return append(actions, Watch{Call: e.reader.callNumber, After: e.replica.complete.Revision, Wait: e.watchWait(now)})
}

// updateReading reports whether this daemon is to watch the platform, and returns a Reading action when that has
// changed.
func (e *Engine) updateReading(now time.Time) (bool, []Action) {
	reading, readerRank := e.shouldRead(now)
	if reading == e.reader.reading {
		return reading, nil
	}
	e.reader.reading = reading
	return reading, []Action{Reading{Reading: reading, ReaderRank: readerRank, Age: e.age(now)}}
}

// startCall records that a call is open from now on.
func (e *Engine) startCall(now time.Time, kind callKind) {
	e.reader.openCall, e.reader.callStarted = kind, now
	e.reader.callNumber++
}

// startRead starts a read of all items.
func (e *Engine) startRead(now time.Time, acceptsStale bool) Action {
	e.startCall(now, callRead)
	e.reader.acceptsStale = acceptsStale
	return ReadAll{Call: e.reader.callNumber, Stale: acceptsStale}
}

// shouldRead reports whether this daemon has to watch the platform: because it is among the first Config.Readers
// daemons of its zone whose calls succeed, or because the replica has not been confirmed for too long. The latter
// handles the loss of the previous reader.
func (e *Engine) shouldRead(now time.Time) (reading bool, readerRank int) {
	readerRank = e.members.readerRank(now)
	failing := now.Before(e.reader.failingUntil)
	if readerRank < e.cfg.Readers && !failing {
		return true, readerRank
	}
	maxAge := e.cfg.MaxAge
	if !failing {
		maxAge += time.Duration(min(readerRank, leadingDaemons)) * e.cfg.Stagger
		maxAge += e.followerDelay(now)
	}
	confirmedAt := e.confirmed
	if confirmedAt.Before(e.started) {
		// When all daemons start together, none has a confirmation yet. Counting from the start lets the first
		// daemons of each zone read before the others.
		confirmedAt = e.started
	}
	return now.Sub(confirmedAt) > maxAge || !e.members.anyLive(now), readerRank
}

// endOfRetryWait returns when the call that failed last is to be repeated, by what is known now of the other daemons.
func (e *Engine) endOfRetryWait(now time.Time) time.Time {
	wait := min(e.cfg.BackoffMin<<min(e.reader.failures-1, 8), e.cfg.BackoffMax)
	if e.members.rank(now) >= leadingDaemons {
		followers := e.members.zoneSize(now) - leadingDaemons
		wait = max(followerBackoff, time.Duration(followers)*time.Second/followerCallRate)
	}
	return e.reader.failedAt.Add(time.Duration(float64(wait) * e.reader.retryFactor))
}

// shortenRetry ends the wait after a failed call sooner when daemons that this one relied on are no longer live: nobody
// else may notify it that the platform responds again.
func (e *Engine) shortenRetry(now time.Time) {
	if e.reader.failures == 0 || !e.reader.nextCall.Equal(e.reader.retryAt) {
		return
	}
	if at := e.endOfRetryWait(now); at.Before(e.reader.retryAt) {
		e.reader.retryAt, e.reader.nextCall = at, at
	}
}

// followerDelay returns the delay of this daemon's first attempt after those of the first leadingDaemons of its zone.
func (e *Engine) followerDelay(now time.Time) time.Duration {
	behind := max(e.members.rank(now)-leadingDaemons, 0)
	followers := max(e.members.zoneSize(now)-leadingDaemons, 1)
	return time.Duration(behind) * min(followerStagger, maxFollowerStagger/time.Duration(followers))
}

// checkWatch cancels an open watch that has not returned changes which other daemons have sent, because its connection
// must be unresponsive.
func (e *Engine) checkWatch(now time.Time) []Action {
	if e.reader.openCall != callWatch || !e.replica.complete.Before(e.replica.highest) {
		e.reader.watchLagsSince = time.Time{}
		return nil
	}
	if e.reader.watchLagsSince.IsZero() {
		e.reader.watchLagsSince = now
	}
	if now.Sub(e.reader.watchLagsSince) < watchLagTimeout {
		return nil
	}
	e.reader.openCall = callNone
	e.reader.callNumber++
	e.reader.watchLagsSince = time.Time{}
	e.reader.nextCall = now
	return []Action{CancelCall{}}
}
