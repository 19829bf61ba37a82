package news

import "time"

// call is what the engine has open at the platform; there is never more than one.
type call uint8

const (
	callNone call = iota
	callRead
	callWatch
)

// reader is the state of the daemon's calls to the platform.
type reader struct {
	open call
	// number tells the open call from those that were abandoned.
	number uint64
	// stale is true for an open read that may be answered with an old state.
	stale    bool
	next     time.Time
	failures int
	// failingUntil is when the platform is asked again although others hear it.
	failingUntil time.Time
	// mustRead is true where the platform no longer has the changes since the copy.
	mustRead bool
	reading  bool
	reached  bool
	// part is true once all items that name targets were read.
	part bool
	// unseen is since when others tell of changes that the open watch has not shown.
	unseen time.Time
}

// unseenFor is how long an open watch may lack a change that others tell of before it is given up: well above
// the spread of one change's arrival at two watches.
const unseenFor = 700 * time.Millisecond

// frontRank is the number of daemons of a zone that ask again soon while the platform answers nobody, and that send
// heartbeats often.
const frontRank = 3

// laterWait is how many times BackoffMax the other daemons of the zone wait at least, from the first failure on: the first
// ones tell them once the platform answers again. Those further back wait longer, so that a zone's calls do not grow with
// its daemons.
const laterWait = 4

// laterSpread is the time between the first tries of two daemons of a zone that lies behind the first ones: one of them that
// is served tells the rest before they try. With 59 daemons a zone the last one tries 2.8 s after the first, and with Trust
// inside the 6 s in which a change must be in force there.
const laterSpread = 50 * time.Millisecond

// HandleRead takes every published item, as of a revision, in answer to ReadAll.
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

// HandlePart takes the items that name targets, all of them, before the rest of the answer to ReadAll has come. It answers
// the load pattern of many daemons that start at once behind narrow links: the configuration may be as large as all else,
// and open flows do without it.
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

// HandleWatch takes the changes of a watch and the revision to go on from.
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

// Failure is a call to the platform that did not succeed.
type Failure struct {
	Err error
	// Compacted is true where the platform no longer has the changes that a watch asked for.
	Compacted bool
}

// HandleFailure takes the failure of the open call.
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

// reachedPlatform notes that the platform has answered.
func (e *Engine) reachedPlatform(actions []Action) []Action {
	e.reader.failures = 0
	e.reader.failingUntil = time.Time{}
	if e.reader.reached {
		return actions
	}
	e.reader.reached = true
	return append(actions, Reachable{Reachable: true})
}

// stepReader opens the next call where one is due.
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

// judgeReading reports whether this daemon watches the platform, and tells where that has changed.
func (e *Engine) judgeReading(now time.Time) (bool, []Action) {
	reading, position := e.mustRead(now)
	if reading == e.reader.reading {
		return reading, nil
	}
	e.reader.reading = reading
	return reading, []Action{Reading{Reading: reading, Position: position, Age: e.age(now)}}
}

func (e *Engine) read(stale bool) Action {
	e.reader.open = callRead
	e.reader.stale = stale
	e.reader.number++
	return ReadAll{Call: e.reader.number, Stale: stale}
}

// mustRead reports whether this daemon watches the platform: as one of the first of its zone that hear it, or
// because nobody tells of news. It answers the loss of the daemon that read until now.
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
		// All daemons that start together have heard nobody yet; the first ones of each zone go ahead.
		heard = e.started
	}
	return now.Sub(heard) > patience || !e.members.anyLive(now), position
}

// checkOpen gives up an open watch that lacks changes which others tell of: its connection is silent.
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
