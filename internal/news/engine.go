package news

import (
	"net/netip"
	"time"
)

// Engine takes every decision about the copy of the published items. Events are handed in with their time,
// which must not go back; it is not safe for concurrent use.
type Engine struct {
	cfg     Config
	replica *replica
	members *members
	reader  reader

	started time.Time
	// confirmed is when the platform last confirmed the copy, here or at another daemon.
	confirmed time.Time
	nextBeat  time.Time
	nextAsk   time.Time
	// nextAll is when silent daemons are sent a heartbeat again.
	nextAll  time.Time
	fetching bool
	// wantedAt is when a large value is fetched from wantedFrom; zero while none is due.
	wantedAt   time.Time
	wantedFrom netip.AddrPort
	leaving    bool
}

// New returns an engine with an empty copy.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{cfg: cfg, replica: newReplica(), members: newMembers(cfg.Self)}
}

// Start begins to read and to look for other daemons. It is called once, before any other event.
func (e *Engine) Start(now time.Time) []Action {
	e.started = now
	e.confirmed = now.Add(-e.cfg.Trust)
	e.reader.next = now
	e.learnSeeds(now)
	return e.step(now)
}

// SetSeeds replaces the daemons that may know others.
func (e *Engine) SetSeeds(now time.Time, seeds []netip.AddrPort) []Action {
	e.cfg.Seeds = seeds
	e.learnSeeds(now)
	return e.step(now)
}

func (e *Engine) learnSeeds(now time.Time) {
	for _, a := range e.cfg.Seeds {
		e.members.learn(now, Member{Addr: a})
	}
}

// Leave tells the other daemons that this one stops.
func (e *Engine) Leave(now time.Time) []Action {
	e.leaving = true
	e.nextBeat = now
	return e.step(now)
}

// Tick does what has become due.
func (e *Engine) Tick(now time.Time) []Action {
	return e.step(now)
}

// Confirmed reports whether the platform has confirmed the copy since the start, here or at another daemon.
func (e *Engine) Confirmed() bool {
	return e.confirmed.After(e.started.Add(-e.cfg.Trust))
}

// Age returns the time since the platform confirmed what is held, here or at another daemon.
func (e *Engine) Age(now time.Time) time.Duration {
	return e.age(now)
}

func (e *Engine) age(now time.Time) time.Duration {
	return now.Sub(e.confirmed)
}

// Members returns the daemons that are live.
func (e *Engine) Members(now time.Time) []Member {
	return e.members.live(now)
}

// Complete returns the revision up to which every change is held.
func (e *Engine) Complete() uint64 {
	return e.replica.complete
}

// Filled reports whether everything that is published was read once, here or from another daemon.
func (e *Engine) Filled() bool {
	return e.replica.filled
}

// TargetsKnown reports whether all items that name targets were read once.
func (e *Engine) TargetsKnown() bool {
	return e.reader.part || e.replica.filled
}

// Digest sums up the items that stand.
func (e *Engine) Digest() uint64 {
	return e.replica.digest
}

// Answer returns what a daemon with the given versions lacks: the revision up to which the answer knows of
// every change, its age, the lacking items, and the names of all that stand.
func (e *Engine) Answer(now time.Time, have []Version) (complete uint64, age time.Duration, items []Item, standing []Version) {
	return e.replica.complete, e.age(now), e.replica.lacking(have), e.replica.standing()
}

// step does whatever the state asks for.
func (e *Engine) step(now time.Time) []Action {
	actions := e.stepReader(now)
	actions = append(actions, e.stepBeat(now)...)
	actions = append(actions, e.stepWanted(now)...)
	actions = append(actions, e.stepFetch(now)...)
	return append(actions, e.tellPeers(now)...)
}

// tellPeers tells which daemons came or went.
func (e *Engine) tellPeers(now time.Time) []Action {
	var actions []Action
	for _, m := range e.members.ordered {
		if up := m.live(now); up != m.up {
			m.up = up
			actions = append(actions, PeerChanged{Member: m.Member, Up: up})
		}
	}
	return actions
}

// jitter returns a random time from 0 up to d.
func (e *Engine) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(e.cfg.Rand.Int64N(int64(d)))
}
