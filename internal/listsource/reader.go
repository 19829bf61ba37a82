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
	cfg    Config
	store  store
	budget *rate.Limiter
	link   link
	peers  peers
	said   said
}

// link is the state of the daemon's calls to the platform.
type link struct {
	open     call
	kind     lists.Kind // of the open fetch
	nextCall time.Time
	failures int
	down     bool // the last call failed, and a Reachability action reported it
	// wanted is the highest revision of each list that the platform has reported.
	wanted [3]uint64
	// absent is true for a list that the platform does not have yet.
	absent [3]bool
	// lastKind is the list that was read last. Lists are read in rotation.
	lastKind lists.Kind
	// refusals is the number of consecutive reads whose document was rejected. retryAt is the time of the
	// next read.
	refusals [3]int
	retryAt  [3]time.Time
}

// said records which rejections and waits were already reported, so that each is reported only once.
type said struct {
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
	r.link.lastKind = lists.KindPlans
	r.link.nextCall = now.Add(r.jitter(r.cfg.Spread))
	actions := r.startPeers()
	return append(actions, r.step(now)...)
}

// HandleList processes a list that the platform returned with the given revision.
func (r *Reader) HandleList(now time.Time, kind lists.Kind, revision uint64, body []byte) []Action {
	r.link.open = callNone
	actions := r.reached()
	r.link.absent[kind] = false
	if revision < r.link.wanted[kind] && r.store.refused[kind].Revision < r.link.wanted[kind] {
		actions = append(actions, r.refuseBelowWanted(kind, revision)...)
		r.retryList(now, kind)
		return append(actions, r.step(now)...)
	}
	result, taken := r.take(kind, revision, document(kind, body, SourcePlatform), SourcePlatform)
	actions = append(actions, taken...)
	if result == outcomeRefused {
		r.retryList(now, kind)
	} else {
		r.link.refusals[kind] = 0
		r.link.nextCall = now.Add(r.jitter(r.spread(callsPerChange)))
	}
	return append(actions, r.step(now)...)
}

// HandleWatch processes the revisions that a watch returned.
func (r *Reader) HandleWatch(now time.Time, revisions model.Revisions) []Action {
	r.link.open = callNone
	actions := r.reached()
	for kind, v := range DigestOf(revisions) {
		r.want(kind, v.Revision)
	}
	r.link.nextCall = now
	if _, news := r.nextList(now); news {
		r.link.nextCall = now.Add(r.jitter(r.spread(callsPerChange)))
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

// want records a revision reported by the platform. A revision higher than the previous one resets the retry
// delay caused by rejected documents of the previous one.
func (r *Reader) want(kind int, revision uint64) {
	if revision <= r.link.wanted[kind] {
		return
	}
	r.link.wanted[kind] = revision
	r.link.refusals[kind] = 0
	r.link.retryAt[kind] = time.Time{}
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
	open := r.link.open
	r.link.open = callNone
	if f.Absent && open == callFetch {
		r.link.absent[r.link.kind] = true
		r.link.wanted[r.link.kind] = 0
		actions := r.reached()
		r.link.nextCall = now
		return append(actions, r.step(now)...)
	}
	r.link.nextCall = now.Add(r.backoff(r.link.failures) + f.RetryAfter)
	r.link.failures++
	if open == callFetch {
		// The next call is a watch, so that one unreadable list does not delay changes of the other lists.
		r.link.retryAt[r.link.kind] = r.link.nextCall.Add(r.jitter(r.cfg.RetryRefused))
	}
	var actions []Action
	if !r.link.down {
		r.link.down = true
		actions = append(actions, Reachability{Err: f.Err})
	}
	return append(actions, r.step(now)...)
}

// HandleFiles processes the contents of the local files, indexed by lists.Kind.
func (r *Reader) HandleFiles(now time.Time, files [3]lists.Document) []Action {
	var actions []Action
	for _, kind := range lists.Kinds() {
		_, taken := r.take(kind, anyRevision, files[kind], SourceFile)
		actions = append(actions, taken...)
	}
	return append(actions, r.step(now)...)
}

// Tick performs the actions that have become due.
func (r *Reader) Tick(now time.Time) []Action {
	return r.step(now)
}

// NextTick returns the time at which Tick must be called next, or false if only an event can trigger actions.
func (r *Reader) NextTick() (time.Time, bool) {
	next := r.peers.nextTick()
	if r.cfg.UsePlatform && r.link.open == callNone {
		next = earliest(next, r.link.nextCall)
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

// reached records that the platform has responded.
func (r *Reader) reached() []Action {
	r.link.failures = 0
	if !r.link.down {
		return nil
	}
	r.link.down = false
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
	if r.peers.starting || !r.store.pending() {
		return nil
	}
	var actions []Action
	snapshot, waiting := r.store.apply()
	if snapshot != nil {
		actions = append(actions, Apply{Snapshot: snapshot})
	}
	text := waiting.Error()
	if len(waiting) > 0 && text != r.said.waiting {
		actions = append(actions, Waiting{Findings: waiting})
	}
	r.said.waiting = text
	return actions
}

// stepPlatform starts the next call to the platform if no call is open, the call is due and the budget
// permits it.
func (r *Reader) stepPlatform(now time.Time) []Action {
	if !r.cfg.UsePlatform || r.link.open != callNone || now.Before(r.link.nextCall) {
		return nil
	}
	if !r.budget.AllowN(now, 1) {
		r.link.nextCall = now.Add(r.untilCall(now))
		return nil
	}
	if kind, ok := r.nextList(now); ok {
		r.link.open, r.link.kind, r.link.lastKind = callFetch, kind, kind
		return []Action{Fetch{Kind: kind}}
	}
	r.link.open = callWatch
	return []Action{Watch{After: r.seen(), Wait: r.watchWait(now)}}
}

// untilCall returns the time until the budget permits a call.
func (r *Reader) untilCall(now time.Time) time.Duration {
	missing := 1 - r.budget.TokensAt(now)
	return time.Duration(missing/r.cfg.CallsPerSecond*float64(time.Second)) + time.Millisecond
}

// nextList returns the next list to read from the platform, if any. Lists are read in rotation.
func (r *Reader) nextList(now time.Time) (lists.Kind, bool) {
	for i := range lists.Kinds() {
		kind := lists.Kind((int(r.link.lastKind) + 1 + i) % len(lists.Kinds()))
		if r.mustRead(kind) && !now.Before(r.link.retryAt[kind]) {
			return kind, true
		}
	}
	return 0, false
}

// mustRead reports whether the platform has or may have a newer document of a list.
func (r *Reader) mustRead(kind lists.Kind) bool {
	if r.store.newest[kind] == nil {
		return !r.link.absent[kind] || r.link.wanted[kind] > 0
	}
	return r.link.wanted[kind] > r.store.revision(kind)
}

// seen returns the revisions that a watch starts from: for each list the higher of the stored revision and
// the revision reported by the platform, which is read at its own retry time.
func (r *Reader) seen() model.Revisions {
	var d Digest
	for i := range d {
		d[i].Revision = max(r.store.revision(lists.Kind(i)), r.link.wanted[i])
	}
	return d.Revisions()
}

// watchWait returns the duration of the next watch. It is shorter than WatchWait if a list must be read again
// before that, but at least 1 s.
func (r *Reader) watchWait(now time.Time) time.Duration {
	wait := r.cfg.WatchWait
	for _, kind := range lists.Kinds() {
		if r.mustRead(kind) {
			wait = min(wait, r.link.retryAt[kind].Sub(now))
		}
	}
	return max(wait, time.Second)
}

// retryList schedules the next read of a rejected list with exponential, jittered delay.
func (r *Reader) retryList(now time.Time, kind lists.Kind) {
	wait := min(r.cfg.RetryRefused<<min(r.link.refusals[kind], 16), r.cfg.RetryRefusedMax)
	r.link.refusals[kind]++
	r.link.retryAt[kind] = now.Add(wait/2 + r.jitter(wait))
	r.link.nextCall = now
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

// isBulk reports whether peer is a valid bulk address of another daemon.
func (r *Reader) isBulk(peer netip.AddrPort) bool {
	return peer.IsValid() && peer != r.cfg.Self
}
