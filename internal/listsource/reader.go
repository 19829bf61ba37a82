package listsource

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// call is the type of the open call to the platform. At most one call is open at a time.
type call uint8

const (
	callNone call = iota
	callFetch
	callWatch
)

// Reader decides which lists are requested from which source and which lists are active. The times passed
// with events must not decrease. It is not safe for concurrent use.
type Reader struct {
	cfg           Config
	store         store
	budget        *rate.Limiter
	platformState platformState
	peerState     peerState
	reported      reported
}

// platformState is the state of the daemon's calls to the platform.
type platformState struct {
	open     call
	kind     lists.Kind // of the open fetch
	nextCall time.Time
	failures int
	down     bool // the last call failed, and a Reachability action reported it
	// revisions contains the highest revision of each list that the platform has reported.
	revisions [3]uint64
	// absent is true for a list that the platform does not have yet.
	absent [3]bool
	// lastKind is the list that was read last. Lists are read in rotation.
	lastKind lists.Kind
	// rejections is the number of consecutive reads whose document was rejected. retryAt is the time of the
	// next read.
	rejections [3]int
	retryAt    [3]time.Time
}

// reported records which rejections and waits were already reported, so that each is reported only once.
type reported struct {
	invalid [3]uint64
	stale   [3]uint64
	waiting string
}

// New returns a Reader without any lists.
func New(cfg Config) *Reader {
	cfg = cfg.withDefaults()
	return &Reader{
		cfg:    cfg,
		budget: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.CallBurst),
	}
}

// Start starts reading. It must be called once, before any other event.
func (r *Reader) Start(now time.Time) []Action {
	// The list of machines is read first because it determines how many daemons share the platform.
	r.platformState.lastKind = lists.KindPlans
	r.platformState.nextCall = now.Add(r.jitter(r.cfg.Spread))
	actions := r.requestSeedDigests()
	return append(actions, r.step(now)...)
}

// HandleList processes a list that the platform returned with the given revision.
func (r *Reader) HandleList(now time.Time, kind lists.Kind, revision uint64, body []byte) []Action {
	r.platformState.open = callNone
	actions := r.markReachable()
	r.platformState.absent[kind] = false
	if revision < r.platformState.revisions[kind] && r.store.rejected[kind].Revision < r.platformState.revisions[kind] {
		actions = append(actions, r.rejectLagging(kind, revision)...)
		r.scheduleRetry(now, kind)
		return append(actions, r.step(now)...)
	}
	result, reports := r.addDocument(kind, revision, namedDocument(kind, body, SourcePlatform), SourcePlatform)
	actions = append(actions, reports...)
	if result == outcomeRejected {
		r.scheduleRetry(now, kind)
	} else {
		r.platformState.rejections[kind] = 0
		r.platformState.nextCall = now.Add(r.jitter(r.spread(callsPerChange)))
	}
	return append(actions, r.step(now)...)
}

// HandleWatch processes the revisions that a watch returned.
func (r *Reader) HandleWatch(now time.Time, revisions model.Revisions) []Action {
	r.platformState.open = callNone
	actions := r.markReachable()
	for kind, v := range DigestOf(revisions) {
		r.recordPlatformRevision(kind, v.Revision)
	}
	r.platformState.nextCall = now
	if _, ok := r.nextList(now); ok {
		r.platformState.nextCall = now.Add(r.jitter(r.spread(callsPerChange)))
	}
	return append(actions, r.step(now)...)
}

// callsPerChange is the number of calls that each daemon makes after a change: a read and a new watch.
const callsPerChange = 2

// spread returns the time over which all daemons spread a number of calls each, so that their total rate
// stays at FleetCallsPerSecond.
func (r *Reader) spread(calls int) time.Duration {
	machines := r.store.newest[lists.KindMachines]
	if machines == nil {
		return r.cfg.Spread
	}
	total := float64(calls * len(machines.machines.Entries()))
	return time.Duration(total / r.cfg.FleetCallsPerSecond * float64(time.Second))
}

// recordPlatformRevision records a revision reported by the platform. A revision higher than the previous one
// resets the retry delay caused by rejected documents of the previous one.
func (r *Reader) recordPlatformRevision(kind int, revision uint64) {
	if revision <= r.platformState.revisions[kind] {
		return
	}
	r.platformState.revisions[kind] = revision
	r.platformState.rejections[kind] = 0
	r.platformState.retryAt[kind] = time.Time{}
}

// Failure describes a failed call to the platform.
type Failure struct {
	Err error
	// RetryAfter is the delay before the next call that the platform requested, or 0.
	RetryAfter time.Duration
	// Absent is true if the platform responded that it does not have the list.
	Absent bool
}

// HandleFailure processes the failure of the open call.
func (r *Reader) HandleFailure(now time.Time, f Failure) []Action {
	open := r.platformState.open
	r.platformState.open = callNone
	if f.Absent && open == callFetch {
		r.platformState.absent[r.platformState.kind] = true
		r.platformState.revisions[r.platformState.kind] = 0
		actions := r.markReachable()
		r.platformState.nextCall = now
		return append(actions, r.step(now)...)
	}
	r.platformState.nextCall = now.Add(r.backoff(r.platformState.failures) + f.RetryAfter)
	r.platformState.failures++
	if open == callFetch {
		// The next call is a watch, so that one unreadable list does not delay changes of the other lists.
		r.platformState.retryAt[r.platformState.kind] = r.platformState.nextCall.Add(r.jitter(r.cfg.RetryRejected))
	}
	var actions []Action
	if !r.platformState.down {
		r.platformState.down = true
		actions = append(actions, Reachability{Err: f.Err})
	}
	return append(actions, r.step(now)...)
}

// HandleFiles processes the contents of the local files, indexed by lists.Kind.
func (r *Reader) HandleFiles(now time.Time, files [3]lists.Document) []Action {
	var actions []Action
	for _, kind := range lists.Kinds() {
		_, reports := r.addDocument(kind, unknownRevision, files[kind], SourceFile)
		actions = append(actions, reports...)
	}
	return append(actions, r.step(now)...)
}

// Tick performs the actions that have become due.
func (r *Reader) Tick(now time.Time) []Action {
	return r.step(now)
}

// NextTick returns the time at which Tick must be called next, or false if only an event can trigger actions.
func (r *Reader) NextTick() (time.Time, bool) {
	next := r.peerState.nextTick()
	if r.cfg.UsePlatform && r.platformState.open == callNone {
		next = earliest(next, r.platformState.nextCall)
	}
	return next, !next.IsZero()
}

// Digest returns the versions of the newest valid lists. It is sent to peers.
func (r *Reader) Digest() Digest {
	return r.store.digest()
}

// Document returns the newest valid document of a list, or nil.
func (r *Reader) Document(kind lists.Kind) *Document {
	return r.store.newest[kind]
}

// markReachable records that the platform has responded.
func (r *Reader) markReachable() []Action {
	r.platformState.failures = 0
	if !r.platformState.down {
		return nil
	}
	r.platformState.down = false
	return []Action{Reachability{Reachable: true}}
}

// step performs all actions that are due in the current state: activate lists, call the platform, send
// requests to peers.
func (r *Reader) step(now time.Time) []Action {
	actions := r.stepStart(now)
	actions = append(actions, r.apply()...)
	actions = append(actions, r.stepPlatform(now)...)
	return append(actions, r.stepPeers(now)...)
}

// apply activates newer lists. A new daemon does so only after the start phase, when it knows the revisions
// of its peers.
func (r *Reader) apply() []Action {
	if r.peerState.starting || !r.store.hasNewer() {
		return nil
	}
	var actions []Action
	snapshot, waiting := r.store.apply()
	if snapshot != nil {
		actions = append(actions, Apply{Snapshot: snapshot})
	}
	reason := waiting.Error()
	if len(waiting) > 0 && reason != r.reported.waiting {
		actions = append(actions, Waiting{Findings: waiting})
	}
	r.reported.waiting = reason
	return actions
}

// stepPlatform starts the next call to the platform if no call is open, the call is due and the budget
// permits it.
func (r *Reader) stepPlatform(now time.Time) []Action {
	if !r.cfg.UsePlatform || r.platformState.open != callNone || now.Before(r.platformState.nextCall) {
		return nil
	}
	if !r.budget.AllowN(now, 1) {
		r.platformState.nextCall = now.Add(r.untilBudgetAllows(now))
		return nil
	}
	if kind, ok := r.nextList(now); ok {
		r.platformState.open, r.platformState.kind, r.platformState.lastKind = callFetch, kind, kind
		return []Action{Fetch{Kind: kind}}
	}
	r.platformState.open = callWatch
	return []Action{Watch{After: r.watchStart(), Wait: r.watchWait(now)}}
}

// untilBudgetAllows returns the time until the budget permits a call.
func (r *Reader) untilBudgetAllows(now time.Time) time.Duration {
	missing := 1 - r.budget.TokensAt(now)
	return time.Duration(missing/r.cfg.CallsPerSecond*float64(time.Second)) + time.Millisecond
}

// nextList returns the next list to read from the platform, if any. Lists are read in rotation.
func (r *Reader) nextList(now time.Time) (lists.Kind, bool) {
	for i := range lists.Kinds() {
		kind := lists.Kind((int(r.platformState.lastKind) + 1 + i) % len(lists.Kinds()))
		if r.mustRead(kind) && !now.Before(r.platformState.retryAt[kind]) {
			return kind, true
		}
	}
	return 0, false
}

// mustRead reports whether the platform has or may have a newer document of a list.
func (r *Reader) mustRead(kind lists.Kind) bool {
	if r.store.newest[kind] == nil {
		return !r.platformState.absent[kind] || r.platformState.revisions[kind] > 0
	}
	return r.platformState.revisions[kind] > r.store.revision(kind)
}

// watchStart returns the revisions that a watch starts from: for each list the higher of the stored revision and
// the revision reported by the platform. The watch need not report the latter again, because the list is read at
// its own retry time.
func (r *Reader) watchStart() model.Revisions {
	var d Digest
	for i := range d {
		d[i].Revision = max(r.store.revision(lists.Kind(i)), r.platformState.revisions[i])
	}
	return d.Revisions()
}

// watchWait returns the duration of the next watch. It is shorter than WatchWait if a list must be read again
// before that, but at least 1 s.
func (r *Reader) watchWait(now time.Time) time.Duration {
	wait := r.cfg.WatchWait
	for _, kind := range lists.Kinds() {
		if r.mustRead(kind) {
			wait = min(wait, r.platformState.retryAt[kind].Sub(now))
		}
	}
	return max(wait, time.Second)
}

// scheduleRetry schedules the next read of a rejected list with exponential, jittered delay.
func (r *Reader) scheduleRetry(now time.Time, kind lists.Kind) {
	wait := min(r.cfg.RetryRejected<<min(r.platformState.rejections[kind], 16), r.cfg.RetryRejectedMax)
	r.platformState.rejections[kind]++
	r.platformState.retryAt[kind] = now.Add(wait/2 + r.jitter(wait))
	r.platformState.nextCall = now
}

// backoff returns the jittered delay after a number of consecutive failures.
func (r *Reader) backoff(failures int) time.Duration {
	mean := min(r.cfg.BackoffMin<<min(failures, 16), r.cfg.BackoffMax)
	return r.jitter(2*mean + r.spread(1))
}

// jitter returns a random duration in [0, d).
func (r *Reader) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(r.cfg.Rand.Int64N(int64(d)))
}

// earliest returns the earlier of two times. The zero time means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// isPeer reports whether peer is a valid bulk address of another daemon.
func (r *Reader) isPeer(peer netip.AddrPort) bool {
	return peer.IsValid() && peer != r.cfg.Self
}
