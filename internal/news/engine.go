package news

import (
	"net/netip"
	"time"
)

// Engine makes all decisions about the replica of the published items. Events are passed in with their time, which
// must not decrease. It is not safe for concurrent use.
type Engine struct {
	cfg     Config
	replica *replica
	members *members
	reader  reader

	started time.Time
	// confirmed is when the platform last confirmed the replica, to this or to another daemon.
	confirmed time.Time
	nextBeat  time.Time
	nextAsk   time.Time
	// nextAll is when the next heartbeat to unresponsive daemons is due.
	nextAll  time.Time
	fetching bool
	// wantedAt is when a large value is to be fetched from wantedFrom. It is zero when no fetch is scheduled.
	wantedAt   time.Time
	wantedFrom netip.AddrPort
	leaving    bool
}

// New returns an engine with an empty replica.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{cfg: cfg, replica: newReplica(), members: newMembers(cfg.Self)}
}

// Start starts reading from the platform and discovering other daemons. It is called once, before any other event.
func (e *Engine) Start(now time.Time) []Action {
	e.started = now
	e.confirmed = now.Add(-e.cfg.Trust)
	e.reader.next = now
	e.learnSeeds(now)
	return e.step(now)
}

// SetSeeds replaces the seeds.
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

// Leave notifies the other daemons that this one is about to stop.
func (e *Engine) Leave(now time.Time) []Action {
	e.leaving = true
	e.nextBeat = now
	return e.step(now)
}

// Tick performs the work that has become due.
func (e *Engine) Tick(now time.Time) []Action {
	return e.step(now)
}

// Confirmed reports whether the platform has confirmed the replica since the start, to this or to another daemon.
func (e *Engine) Confirmed() bool {
	return e.confirmed.After(e.started.Add(-e.cfg.Trust))
}

// Age returns the time since the platform last confirmed the replica, to this or to another daemon.
func (e *Engine) Age(now time.Time) time.Duration {
	return e.age(now)
}

func (e *Engine) age(now time.Time) time.Duration {
	return now.Sub(e.confirmed)
}

// Members returns the other daemons that are live.
func (e *Engine) Members(now time.Time) []Member {
	return e.members.live(now)
}

// Complete returns the revision up to which the replica contains every change.
func (e *Engine) Complete() uint64 {
	return e.replica.complete
}

// Filled reports whether all published items have been received at least once, from the platform or from another
// daemon.
func (e *Engine) Filled() bool {
	return e.replica.filled
}

// TargetsKnown reports whether all items that describe targets have been received at least once.
func (e *Engine) TargetsKnown() bool {
	return e.reader.part || e.replica.filled
}

// Digest returns a hash over the keys and revisions of the published items in the replica.
func (e *Engine) Digest() uint64 {
	return e.replica.digest
}

// Answer returns the response to a daemon that holds the given versions: the revision up to which the response
// contains every change, the age of the replica, the items missing at that daemon, and the versions of all published
// items.
func (e *Engine) Answer(now time.Time, have []Version) (complete uint64, age time.Duration, items []Item, standing []Version) {
	return e.replica.complete, e.age(now), e.replica.lacking(have), e.replica.standing()
}

// step performs all work that is due.
func (e *Engine) step(now time.Time) []Action {
	actions := e.stepReader(now)
	actions = append(actions, e.stepBeat(now)...)
	actions = append(actions, e.stepWanted(now)...)
	actions = append(actions, e.stepFetch(now)...)
	return append(actions, e.tellPeers(now)...)
}

// tellPeers reports the daemons that became live or are no longer live.
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

// jitter returns a random duration in [0, d).
func (e *Engine) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(e.cfg.Rand.Int64N(int64(d)))
}
