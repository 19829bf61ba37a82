package news

import (
	"net/netip"
	"time"

	"github.com/samber/lo"
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
	confirmed         time.Time
	nextHeartbeat     time.Time
	nextMemberRequest time.Time
	// zoneGrewAt is when a response last named an unknown daemon of the zone.
	zoneGrewAt time.Time
	// nextUnresponsiveHeartbeat is when the next heartbeat to unresponsive daemons is due.
	nextUnresponsiveHeartbeat time.Time
	fetching                  bool
	// scheduledFetchAt is when a large value is to be fetched from scheduledFetchFrom. It is zero when no fetch is
	// scheduled.
	scheduledFetchAt   time.Time
	scheduledFetchFrom netip.AddrPort
	draining           bool
	// repeats holds changes that are to be sent again.
	repeats []repeat

	// era is the newest era of the platform's history that any answer or daemon has reported.
	era   uint64
	holds *holds
	// keptFetched holds the values of Heartbeat.Kept whose items were fetched in this era.
	keptFetched map[uint64]bool
	// fetchingKept is the value of Heartbeat.Kept of the daemon that items were last fetched from.
	fetchingKept uint64
	// pending is what to report after items were applied.
	pending []Action
}

// New returns an engine with an empty replica.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{cfg: cfg, replica: newReplica(), members: newMembers(cfg.Self), holds: newHolds(cfg.Describe), keptFetched: make(map[uint64]bool)}
}

// Start starts reading from the platform and discovering other daemons. It is called once, before any other event.
func (e *Engine) Start(now time.Time) []Action {
	e.started = now
	e.confirmed = now.Add(-e.cfg.MaxAge)
	e.reader.nextCall = now
	e.addSeeds(now)
	return e.step(now)
}

// SetSeeds replaces the seeds.
func (e *Engine) SetSeeds(now time.Time, seeds []netip.AddrPort) []Action {
	e.cfg.Seeds = seeds
	e.addSeeds(now)
	return e.step(now)
}

func (e *Engine) addSeeds(now time.Time) {
	for _, a := range e.cfg.Seeds {
		e.members.upsert(now, Member{Addr: a})
	}
}

// Drain notifies the other daemons that this one is about to stop.
func (e *Engine) Drain(now time.Time) []Action {
	e.draining = true
	e.nextHeartbeat = now
	return e.step(now)
}

// Tick performs the work that has become due.
func (e *Engine) Tick(now time.Time) []Action {
	return e.step(now)
}

// Confirmed reports whether the platform has confirmed the replica since the start, to this or to another daemon.
func (e *Engine) Confirmed() bool {
	return e.confirmed.After(e.started.Add(-e.cfg.MaxAge))
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

// Peer is a known daemon with what its heartbeats show.
type Peer struct {
	Member
	// Heard is when its last heartbeat was received, or when it was named if it never sent one.
	Heard time.Time
	// Live is true while the daemon is responsive and not draining.
	Live bool
	// Leaving is true once its planned stop has begun.
	Leaving bool
}

// Peers returns all other daemons that are known, also those that are not live. The zone of a daemon that was named and
// never heard is empty or that under which it was named.
func (e *Engine) Peers(now time.Time) []Peer {
	return lo.Map(e.members.ordered, func(m *member, _ int) Peer {
		return Peer{Member: m.Member, Heard: m.lastContact(), Live: m.live(now), Leaving: m.heartbeat.Leaving}
	})
}

// SmallFleet reports whether the fleet is small enough for this daemon to know all daemons, also those of other zones.
func (e *Engine) SmallFleet() bool {
	return e.isSmallFleet()
}

// Complete returns the position up to which the replica contains every change.
func (e *Engine) Complete() Position {
	return e.replica.complete
}

// Synced reports whether all published items have been received at least once, from the platform or from another
// daemon.
func (e *Engine) Synced() bool {
	return e.replica.synced
}

// TargetsKnown reports whether all items that describe targets have been received at least once.
func (e *Engine) TargetsKnown() bool {
	return e.reader.targetsKnown || e.replica.synced
}

// Digest returns a hash over the keys and positions of the published items in the replica.
func (e *Engine) Digest() uint64 {
	return e.replica.digest
}

// FetchResponse returns the response to a daemon that holds the given versions.
func (e *Engine) FetchResponse(now time.Time, have []Version) Fetched {
	return Fetched{
		Complete: e.replica.complete,
		Age:      e.age(now),
		Items:    e.replica.missingItems(have),
		Standing: e.replica.published(),
		Kept:     e.holds.kept(now),
	}
}

// step performs all work that is due.
func (e *Engine) step(now time.Time) []Action {
	actions := e.stepReader(now)
	actions = append(actions, e.stepRepeats(now)...)
	actions = append(actions, e.stepHeartbeat(now)...)
	actions = append(actions, e.stepScheduledFetch(now)...)
	actions = append(actions, e.stepRepair(now)...)
	actions = append(actions, e.stepHolds()...)
	return append(actions, e.reportPeers(now)...)
}

// reportPeers reports the daemons that became live or are no longer live.
func (e *Engine) reportPeers(now time.Time) []Action {
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

// Held returns the number of items that are in force in place of those that the platform publishes.
func (e *Engine) Held() int {
	return len(e.holds.byKey)
}
