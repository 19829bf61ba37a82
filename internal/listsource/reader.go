package listsource

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// call is what the reader has open at the platform; there is never more than one.
type call uint8

const (
	callNone call = iota
	callFetch
	callWatch
)

// Reader decides what is read from whom, and which lists are in force. Events are handed in with their
// time, which must not go back; it is not safe for concurrent use.
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
	down     bool // was told to the shell
	// wanted is the highest revision of each list that the platform has shown.
	wanted [3]uint64
	// absent is true for a list that the platform does not have yet.
	absent [3]bool
	// lastKind is the list that was read last; reads take turns.
	lastKind lists.Kind
	// refusals counts the reads in a row whose text was refused; retryAt is when to read again.
	refusals [3]int
	retryAt  [3]time.Time
}

// said remembers what was told to the shell, so that it is told once.
type said struct {
	invalid [3]uint64
	stale   [3]uint64
	waiting string
}

// New returns a Reader that holds no lists.
func New(cfg Config) *Reader {
	cfg = cfg.withDefaults()
	return &Reader{
		cfg:    cfg,
		budget: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.CallBurst),
	}
}

// Start begins to read. It is called once, before any other event.
func (r *Reader) Start(now time.Time) []Action {
	// The list of machines comes first: it tells how many daemons share the platform.
	r.link.lastKind = lists.KindPlans
	r.link.nextCall = now.Add(r.jitter(r.cfg.Spread))
	actions := r.startPeers()
	return append(actions, r.step(now)...)
}

// HandleList takes a list that the platform answered with the given revision.
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

// HandleWatch takes the revisions that a watch of the platform answered.
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

// callsPerChange is the number of calls that a change makes each daemon do: a read and a new watch.
const callsPerChange = 2

// spread returns the time over which all daemons together may do a number of calls each.
func (r *Reader) spread(calls int) time.Duration {
	machines := r.store.newest[lists.KindMachines]
	if machines == nil {
		return r.cfg.Spread
	}
	total := float64(calls * len(machines.machines.Entries()))
	return time.Duration(total / r.cfg.FleetCallsPerSecond * float64(time.Second))
}

// want notes a revision that the platform has shown. A higher one than before is read without the
// delay that refused texts of the earlier one had earned.
func (r *Reader) want(kind int, revision uint64) {
	if revision <= r.link.wanted[kind] {
		return
	}
	r.link.wanted[kind] = revision
	r.link.refusals[kind] = 0
	r.link.retryAt[kind] = time.Time{}
}

// Failure is a call to the platform that did not succeed.
type Failure struct {
	Err error
	// RetryAfter is when the platform asked to be called again; 0 where it did not say.
	RetryAfter time.Duration
	// Absent is true when the platform answered that it does not have the list.
	Absent bool
}

// HandleFailure takes the failure of the open call.
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
		// The next call is a watch, so that one list that cannot be read does not hide news of the others.
		r.link.retryAt[r.link.kind] = r.link.nextCall.Add(r.jitter(r.cfg.RetryRefused))
	}
	var actions []Action
	if !r.link.down {
		r.link.down = true
		actions = append(actions, Reachability{Err: f.Err})
	}
	return append(actions, r.step(now)...)
}

// HandleFiles takes the texts of the local files, by lists.Kind.
func (r *Reader) HandleFiles(now time.Time, files [3]lists.Document) []Action {
	var actions []Action
	for _, kind := range lists.Kinds() {
		_, taken := r.take(kind, anyRevision, files[kind], SourceFile)
		actions = append(actions, taken...)
	}
	return append(actions, r.step(now)...)
}

// Tick does what has become due.
func (r *Reader) Tick(now time.Time) []Action {
	return r.step(now)
}

// NextTick returns when Tick has something to do, or false when only an event can change anything.
func (r *Reader) NextTick() (time.Time, bool) {
	next := r.peers.nextTick()
	if r.cfg.UsePlatform && r.link.open == callNone {
		next = earliest(next, r.link.nextCall)
	}
	return next, !next.IsZero()
}

// Digest returns the versions of the newest sound lists, to be shown to peers.
func (r *Reader) Digest() Digest {
	return r.store.digest()
}

// Document returns the newest sound text of a list, or nil.
func (r *Reader) Document(kind lists.Kind) *Document {
	return r.store.newest[kind]
}

// reached notes that the platform has answered.
func (r *Reader) reached() []Action {
	r.link.failures = 0
	if !r.link.down {
		return nil
	}
	r.link.down = false
	return []Action{Reachability{Reachable: true}}
}

// step does whatever the state asks for: put lists in force, call the platform, ask a peer.
func (r *Reader) step(now time.Time) []Action {
	actions := r.stepStart(now)
	actions = append(actions, r.apply()...)
	actions = append(actions, r.stepPlatform(now)...)
	return append(actions, r.stepPeers(now)...)
}

// apply puts newer lists in force once a new daemon knows what its peers hold.
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

// stepPlatform opens the next call when none is open, it is due and the budget allows it.
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

// untilCall returns the time until the budget holds a whole call.
func (r *Reader) untilCall(now time.Time) time.Duration {
	missing := 1 - r.budget.TokensAt(now)
	return time.Duration(missing/r.cfg.CallsPerSecond*float64(time.Second)) + time.Millisecond
}

// nextList returns the list that is to be read from the platform, if any; lists take turns.
func (r *Reader) nextList(now time.Time) (lists.Kind, bool) {
	for i := range lists.Kinds() {
		kind := lists.Kind((int(r.link.lastKind) + 1 + i) % len(lists.Kinds()))
		if r.mustRead(kind) && !now.Before(r.link.retryAt[kind]) {
			return kind, true
		}
	}
	return 0, false
}

// mustRead reports whether the platform has, or may have, a newer text of a list.
func (r *Reader) mustRead(kind lists.Kind) bool {
	if r.store.newest[kind] == nil {
		return !r.link.absent[kind] || r.link.wanted[kind] > 0
	}
	return r.link.wanted[kind] > r.store.revision(kind)
}

// seen returns the revisions that a watch need not answer for: those that are held, and those that are
// read again at a time of their own.
func (r *Reader) seen() model.Revisions {
	var d Digest
	for i := range d {
		d[i].Revision = max(r.store.revision(lists.Kind(i)), r.link.wanted[i])
	}
	return d.Revisions()
}

// watchWait shortens a watch that a repeated read is due before the end of.
func (r *Reader) watchWait(now time.Time) time.Duration {
	wait := r.cfg.WatchWait
	for _, kind := range lists.Kinds() {
		if r.mustRead(kind) {
			wait = min(wait, r.link.retryAt[kind].Sub(now))
		}
	}
	return max(wait, time.Second)
}

// retryList sets when a list that was refused is read again.
func (r *Reader) retryList(now time.Time, kind lists.Kind) {
	wait := min(r.cfg.RetryRefused<<min(r.link.refusals[kind], 16), r.cfg.RetryRefusedMax)
	r.link.refusals[kind]++
	r.link.retryAt[kind] = now.Add(wait/2 + r.jitter(wait))
	r.link.nextCall = now
}

// backoff returns the jittered wait after a number of failures in a row.
func (r *Reader) backoff(failures int) time.Duration {
	mean := min(r.cfg.BackoffMin<<min(failures, 16), r.cfg.BackoffMax)
	return r.jitter(2*mean + r.spread(1))
}

// jitter returns a random time from 0 up to d.
func (r *Reader) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(r.cfg.Rand.Int64N(int64(d)))
}

// earliest returns the earlier of two times, where the zero time stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// isBulk reports whether an address can be asked.
func (r *Reader) isBulk(peer netip.AddrPort) bool {
	return peer.IsValid() && peer != r.cfg.Self
}
