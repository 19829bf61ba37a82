package flow

import (
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Mark is a daemon's own counter, raised at every log interval and echoed by owners. A log batch
// that echoes a mark was cut after the owner had received it.
type Mark uint64

// Incarnated identifies one incarnation of an owner, the same on every daemon; never 0. An owner that
// restarts is another one: it does not know what it owned before.
type Incarnated uint32

// IncarnatedOf returns the identity of an owner's incarnation.
func IncarnatedOf(id model.MachineID, incarnation uint64) Incarnated {
	const odd = 0x9e3779b97f4a7c15
	return Incarnated(uint64(id)^incarnation*odd>>32) | 1
}

// Numbers are the sequence and acknowledgement numbers of a caller's packet. The zero value stands for none, which may be
// any flow's.
type Numbers struct {
	Seq, Ack uint32
}

// continues reports whether numbers are those of the flow that had the last ones, and not of another between the same ends.
func (n Numbers) continues(last Numbers) bool {
	if n == (Numbers{}) || last == (Numbers{}) {
		return true
	}
	return Near(n.Seq, last.Seq, Window) && Near(n.Ack, last.Ack, Window)
}

// renews reports whether numbers lie so far from the last ones that these must be written anew.
func (n Numbers) renews(last Numbers) bool {
	if n == (Numbers{}) {
		return false
	}
	return last == (Numbers{}) || !Near(n.Seq, last.Seq, renewedAfter) || !Near(n.Ack, last.Ack, renewedAfter)
}

// renewedAfter is how far, in bytes, a flow's numbers move on before a packet renews the cached ones. It spares busy flows a
// write to the map for every packet.
const renewedAfter = Window / 4

// Near reports whether two numbers, which wrap around, are less than a number of bytes apart.
func Near(a, b, bytes uint32) bool {
	return a-b < bytes || b-a < bytes
}

// Seen caches, for flows that other daemons own, since when this daemon has known them. It only
// saves hops: a flow that is not in it goes by its owner, which is always right. It holds at most
// two generations of entries per shard, so its memory is bounded.
type Seen struct {
	perShard int
	refresh  time.Duration
	epoch    time.Time
	shards   [shardCount]seenShard
}

type seenShard struct {
	mu    sync.Mutex
	young map[model.FlowHash]seenEntry
	old   map[model.FlowHash]seenEntry
}

type seenEntry struct {
	owner Incarnated
	// since is the mark at which the flow was first sent by this owner, cut to 32 bits.
	since uint32
	// former is the owner whose log last covered the flow; 0 for none.
	former Incarnated
	// born is the mark at which the flow was first seen under any owner, cut to 32 bits.
	born uint32
	// lastHop is when a packet last went by the owner, in milliseconds since the epoch.
	lastHop uint32
	// numbers are those of a packet of the flow, less than renewedAfter from the latest one's.
	numbers Numbers
}

// SeenConfig bounds the cache.
type SeenConfig struct {
	// MaxFlows is how many flows the cache holds at most. Default 400000.
	MaxFlows int
	// Refresh is how often a packet of a flow goes by its owner, so that the owner sees that the
	// flow lives. Default 10 s.
	Refresh time.Duration
}

// Defaults fills unset fields.
func (c SeenConfig) Defaults() SeenConfig {
	if c.MaxFlows == 0 {
		c.MaxFlows = 400_000
	}
	if c.Refresh == 0 {
		c.Refresh = 10 * time.Second
	}
	return c
}

// NewSeen returns an empty cache. Times handed to it may not lie before epoch.
func NewSeen(cfg SeenConfig, epoch time.Time) *Seen {
	cfg = cfg.Defaults()
	s := &Seen{perShard: max(cfg.MaxFlows/(2*shardCount), 1), refresh: cfg.Refresh, epoch: epoch}
	for i := range s.shards {
		s.shards[i].young = make(map[model.FlowHash]seenEntry)
	}
	return s
}

// Direct is DirectBy for a packet whose numbers are not known.
func (s *Seen) Direct(now time.Time, h model.FlowHash, owner Position, current Mark) (direct bool, former Incarnated) {
	return s.DirectBy(now, h, Numbers{}, owner, current)
}

// DirectBy reports whether a packet of the flow may go straight to its target: the flow was first
// sent by this owner before the mark that the owner has echoed, and its last hop is recent. Where it
// reports false, the caller hops the packet, and the cache has noted that; former is then the owner whose
// log last covered the flow, 0 for none. A packet that does not continue the cached flow is the first of another.
func (s *Seen) DirectBy(now time.Time, h model.FlowHash, n Numbers, owner Position, current Mark) (direct bool, former Incarnated) {
	ms := millisSince(s.epoch, now)
	sh := &s.shards[shardIndex(h)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, ok := sh.lookupBy(h, n, s.perShard)
	if !ok {
		e.born = uint32(current)
	}
	renewed := n.renews(e.numbers)
	if renewed {
		e.numbers = n
	}
	if e.owner != owner.Owner {
		e.owner, e.since, e.lastHop = owner.Owner, uint32(current), ms
		sh.store(h, e, s.perShard)
		return false, e.former
	}
	direct, changed := e.passes(ms, s.refreshMillis(), owner, current)
	if changed || renewed {
		sh.store(h, e, s.perShard)
	}
	if direct && !changed {
		return true, 0
	}
	return direct, e.former
}

// passes decides on a packet of a flow that was sent by this owner before, and notes what it changes.
func (e *seenEntry) passes(ms, refresh uint32, owner Position, current Mark) (direct, changed bool) {
	// The difference survives the cut to 32 bits as long as a flow is younger than 2^31 marks.
	if owner.Echoed == 0 || int32(uint32(owner.Echoed)-e.since) <= 0 {
		return false, false
	}
	silent := silence(ms, e.lastHop)
	refreshed := silent < refresh
	if refreshed && e.former == owner.Owner {
		return true, false
	}
	e.former = owner.Owner
	if !refreshed {
		e.lastHop = ms
	}
	// After a long silence the address and port may belong to a new flow.
	if silent > 2*refresh {
		e.since, e.born, e.former = uint32(current), uint32(current), 0
	}
	return refreshed, true
}

func (s *Seen) refreshMillis() uint32 {
	return uint32(s.refresh / time.Millisecond)
}

// Clear empties the cache, as after a pause: what was covered before may have changed unseen.
func (s *Seen) Clear() {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		sh.young = make(map[model.FlowHash]seenEntry)
		sh.old = nil
		sh.mu.Unlock()
	}
}

// KnownBefore reports whether the flow of a packet was first seen here before a mark.
func (s *Seen) KnownBefore(h model.FlowHash, n Numbers, m Mark) bool {
	sh := &s.shards[shardIndex(h)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, ok := sh.lookupBy(h, n, s.perShard)
	return ok && int32(uint32(m)-e.born) > 0
}

// Former returns the owner whose log last covered the flow of a packet here; 0 for none.
func (s *Seen) Former(h model.FlowHash, n Numbers) Incarnated {
	sh := &s.shards[shardIndex(h)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, _ := sh.lookupBy(h, n, s.perShard)
	return e.former
}

// Forget drops a flow from the cache.
func (s *Seen) Forget(h model.FlowHash) {
	sh := &s.shards[shardIndex(h)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.young, h)
	delete(sh.old, h)
}

// Len returns the number of cached flows.
func (s *Seen) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.Lock()
		n += len(s.shards[i].young) + len(s.shards[i].old)
		s.shards[i].mu.Unlock()
	}
	return n
}

// lookup finds an entry and keeps a used one young.
func (sh *seenShard) lookup(h model.FlowHash, limit int) (seenEntry, bool) {
	if e, ok := sh.young[h]; ok {
		return e, true
	}
	e, ok := sh.old[h]
	if !ok {
		return seenEntry{}, false
	}
	delete(sh.old, h)
	sh.store(h, e, limit)
	return e, true
}

// lookupBy finds the entry of a packet's flow; one of an earlier flow between the same ends is none.
func (sh *seenShard) lookupBy(h model.FlowHash, n Numbers, limit int) (seenEntry, bool) {
	e, ok := sh.lookup(h, limit)
	if !ok || !n.continues(e.numbers) {
		return seenEntry{}, false
	}
	return e, true
}

// store writes an entry; a full young generation becomes the old one, and the old one is dropped.
func (sh *seenShard) store(h model.FlowHash, e seenEntry, limit int) {
	if _, ok := sh.young[h]; !ok && len(sh.young) >= limit {
		sh.old = sh.young
		sh.young = make(map[model.FlowHash]seenEntry)
	}
	sh.young[h] = e
}
