package news

import "time"

// call is the kind of the open call to the platform. There is at most one open call.
type call uint8

const (
	callNone call = iota
	callRead
	callWatch
)

// reader is the state of the daemon's calls to the platform.
type reader struct {
	open call
	// number identifies the open call. Results of abandoned calls carry other numbers and are ignored.
	number uint64
	// stale is true for an open read that accepts a stale response.
	stale    bool
	next     time.Time
	failures int
	// failingUntil is the end of the time after a failed call in which this daemon gives up its place as a reader to
	// others.
	failingUntil time.Time
	// mustRead is true when the platform no longer has all changes since the replica's complete revision, so that a
	// watch is not possible and all items have to be read.
	mustRead bool
	reading  bool
	reached  bool
	// part is true once all items that describe targets have been read.
	part bool
	// unseen is since when other daemons have sent changes that the open watch has not returned.
	unseen time.Time
}

// unseenFor is how long an open watch may lack a change that other daemons have sent before it is cancelled. It is well
// above the difference between the arrival times of one change at two watches.
const unseenFor = 700 * time.Millisecond

// frontRank is the number of leading daemons in a zone. They retry failed calls to the platform soon and send heartbeats
// at the short interval.
const frontRank = 3

// laterWait is the minimum retry delay of the daemons after the leading frontRank of a zone, as a multiple of BackoffMax. It
// applies from the first failure on, because the leading daemons notify them once the platform responds again. Daemons
// further back wait longer, so that a zone's call rate does not grow with its number of daemons.
const laterWait = 4

// laterSpread is the delay between the first attempts of consecutive daemons after the leading frontRank of a zone, so that
// one whose call succeeds notifies the others before they try. With 59 daemons in a zone the last one tries 2.8 s after
// the first, which together with Trust is within the 6 s in which a change must take effect there.
const laterSpread = 50 * time.Millisecond

// HandleRead processes the response to ReadAll: all published items as of revision asOf. number is the ReadAll's Call.
func (e *Engine) HandleRead(now time.Time, number uint64, items []Item, asOf uint64) []Action {
	if number != e.reader.number {
		return nil
	}
	stale := e.reader.stale
	e.reader.open = callNone
	var actions []Action
	if !stale || !e.replica.filled {
		standing := make([]Version, 0, len(items))
		for _, it := range items {
			standing = append(standing, it.Version())
		}
		actions = e.changed(now, e.replica.reset(now, asOf, items, standing), nil)
	}
	if !stale {
		e.reader.mustRead = false
		e.confirmed = now
	}
	e.reader.next = now
	if stale {
		e.reader.next = e.started.Add(e.cfg.Listen + e.jitter(e.cfg.Stagger))
	}
	return append(e.reachedPlatform(actions), e.step(now)...)
}

// HandlePart processes all items that describe targets, which are received before the rest of the response to ReadAll.
// Load pattern: many daemons that start at once on slow links. The configuration may be as large as all other items
// together, and open flows do not need it.
func (e *Engine) HandlePart(now time.Time, number uint64, items []Item) []Action {
	if number != e.reader.number || e.replica.filled {
		return nil
	}
	e.reader.part = true
	news := e.replica.applyAll(now, items)
	if len(news) == 0 {
		return nil
	}
	return []Action{Changed{Items: news}}
}

// HandleWatch processes the response to Watch: the changes, and the revision from which to continue. number is the
// Watch's Call.
func (e *Engine) HandleWatch(now time.Time, number uint64, items []Item, asOf uint64) []Action {
	if number != e.reader.number {
		return nil
	}
	e.reader.open = callNone
	e.reader.unseen = time.Time{}
	actions := e.changed(now, e.replica.applyAll(now, items), nil)
	e.replica.completeTo(max(asOf, e.replica.complete))
	e.confirmed = now
	e.reader.next = now
	if len(items) > 0 {
		e.reader.next = now.Add(e.cfg.Gather)
	}
	return append(e.reachedPlatform(actions), e.step(now)...)
}

// Failure describes a failed call to the platform.
type Failure struct {
	Err error
	// Compacted is true when the platform no longer has the changes that a watch requested.
	Compacted bool
}

// HandleFailure processes the failure of the open call.
func (e *Engine) HandleFailure(now time.Time, number uint64, f Failure) []Action {
	if number != e.reader.number {
		return nil
	}
	e.reader.open = callNone
	if f.Compacted {
		e.reader.mustRead = true
		e.reader.next = now
		return append(e.reachedPlatform(nil), e.step(now)...)
	}
	wait := min(e.cfg.BackoffMin<<min(e.reader.failures, 8), e.cfg.BackoffMax)
	if place := e.members.place(now); place >= frontRank {
		wait = e.cfg.BackoffMax * time.Duration(max(laterWait, place/frontRank))
	}
	e.reader.failures++
	e.reader.next = now.Add(wait/2 + e.jitter(wait))
	e.reader.failingUntil = now.Add(e.cfg.FailingFor)
	actions := []Action{Abandon{}}
	if e.reader.reached || e.reader.failures == 1 {
		actions = append(actions, Reachable{Err: f.Err})
	}
	e.reader.reached = false
	return append(actions, e.step(now)...)
}

// reachedPlatform records that the platform has responded, and adds a Reachable action if it was unreachable before.
func (e *Engine) reachedPlatform(actions []Action) []Action {
	e.reader.failures = 0
	e.reader.failingUntil = time.Time{}
	if e.reader.reached {
		return actions
	}
	e.reader.reached = true
	return append(actions, Reachable{Reachable: true})
}

// stepReader starts the next call to the platform when one is due.
func (e *Engine) stepReader(now time.Time) []Action {
	actions := e.checkOpen(now)
	if e.reader.open != callNone {
		return actions
	}
	due := !now.Before(e.reader.next)
	if !e.replica.filled {
		if due {
			actions = append(actions, e.read(true))
		}
		return actions
	}
	if !due && !e.reader.reading {
		return actions
	}
	reading, told := e.judgeReading(now)
	actions = append(actions, told...)
	switch {
	case !reading, !due:
		return actions
	case e.reader.mustRead:
		return append(actions, e.read(false))
	}
	e.reader.open = callWatch
	e.reader.number++
	return append(actions, Watch{Call: e.reader.number, After: e.replica.complete, Wait: e.cfg.WatchWait})
}

// judgeReading reports whether this daemon is to watch the platform, and returns a Reading action when that has changed.
func (e *Engine) judgeReading(now time.Time) (bool, []Action) {
	reading, position := e.mustRead(now)
	if reading == e.reader.reading {
		return reading, nil
	}
	e.reader.reading = reading
	return reading, []Action{Reading{Reading: reading, Position: position, Age: e.age(now)}}
}

// read starts a read of all items.
func (e *Engine) read(stale bool) Action {
	e.reader.open = callRead
	e.reader.stale = stale
	e.reader.number++
	return ReadAll{Call: e.reader.number, Stale: stale}
}

// mustRead reports whether this daemon has to watch the platform: because it is among the first Config.Readers daemons
// of its zone whose calls succeed, or because the replica has not been confirmed for too long. The latter handles the
// loss of the previous reader.
func (e *Engine) mustRead(now time.Time) (reading bool, position int) {
	position = e.members.position(now)
	failing := now.Before(e.reader.failingUntil)
	if position < e.cfg.Readers && !failing {
		return true, position
	}
	patience := e.cfg.Trust
	if !failing {
		patience += time.Duration(min(position, frontRank)) * e.cfg.Stagger
		patience += time.Duration(max(e.members.place(now)-frontRank, 0)) * laterSpread
	}
	heard := e.confirmed
	if heard.Before(e.started) {
		// When all daemons start together, none has a confirmation yet. Counting from the start lets the first
		// daemons of each zone read before the others.
		heard = e.started
	}
	return now.Sub(heard) > patience || !e.members.anyLive(now), position
}

// checkOpen cancels an open watch that has not returned changes which other daemons have sent, because its connection
// must be unresponsive.
func (e *Engine) checkOpen(now time.Time) []Action {
	if e.reader.open != callWatch || e.replica.highest <= e.replica.complete {
		e.reader.unseen = time.Time{}
		return nil
	}
	if e.reader.unseen.IsZero() {
		e.reader.unseen = now
	}
	if now.Sub(e.reader.unseen) < unseenFor {
		return nil
	}
	e.reader.open = callNone
	e.reader.number++
	e.reader.unseen = time.Time{}
	e.reader.next = now
	return []Action{Abandon{}}
}
