package flow

import (
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Mark is a daemon's own counter, raised at every log interval and sent to the owners in its
// acknowledgements of their logs. Owners return it in their log batches: a batch that returns a mark was
// built after the owner had received it. The returned mark thus shows how current a replica is.
type Mark uint64

// IncarnationID identifies one incarnation of an owner; the value is the same on every daemon and never 0.
// An owner that restarts gets another value, since it does not know what it owned before.
type IncarnationID uint32

// IncarnationIDOf returns the identifier of an owner's incarnation.
func IncarnationIDOf(id model.MachineID, incarnation uint64) IncarnationID {
	const multiplier = 0x9e3779b97f4a7c15
	return IncarnationID(uint64(id)^incarnation*multiplier>>32) | 1
}

// SeqNumbers are the sequence and acknowledgement numbers of a caller's packet. The zero value means that
// they are unknown; it is compatible with any flow.
type SeqNumbers struct {
	Seq, Ack uint32
}

// continues reports whether a packet with these numbers can belong to the same flow as one with the
// numbers last, rather than to another flow between the same addresses.
func (n SeqNumbers) continues(last SeqNumbers) bool {
	if n == (SeqNumbers{}) || last == (SeqNumbers{}) {
		return true
	}
	return SeqNear(n.Seq, last.Seq, SeqWindow) && SeqNear(n.Ack, last.Ack, SeqWindow)
}

// needsUpdate reports whether the numbers are so far from the cached ones that these must be updated.
func (n SeqNumbers) needsUpdate(last SeqNumbers) bool {
	if n == (SeqNumbers{}) {
		return false
	}
	return last == (SeqNumbers{}) || !SeqNear(n.Seq, last.Seq, seqUpdateDistance) || !SeqNear(n.Ack, last.Ack, seqUpdateDistance)
}

// seqUpdateDistance is how far, in bytes, a flow's numbers advance before a packet updates the cached ones.
// It avoids a map write for every packet of a busy flow.
const seqUpdateDistance = SeqWindow / 4

// SeqNear reports whether two sequence numbers, which wrap around, are less than the given number of
// bytes apart.
func SeqNear(a, b, bytes uint32) bool {
	return a-b < bytes || b-a < bytes
}

// Cache caches, for flows that other daemons own, since when this daemon has known them. It only saves
// forwarding: a packet of a flow that is not cached is forwarded to the owner, which is always correct.
// It holds at most two maps of entries per shard, a young and an old one, so its memory is bounded.
type Cache struct {
	perShard int
	refresh  time.Duration
	epoch    time.Time
	shards   [shardCount]cacheShard
}

type cacheShard struct {
	mu    sync.Mutex
	young map[model.FlowHash]cacheEntry
	old   map[model.FlowHash]cacheEntry
}

type cacheEntry struct {
	owner IncarnationID
	// ownerSince is the mark at which a packet of the flow was first forwarded to this owner, truncated
	// to 32 bits.
	ownerSince uint32
	// coveredBy is the owner whose log last covered the flow or, before any did, the one that the flow's SYN
	// was forwarded to; 0 for none.
	coveredBy IncarnationID
	// firstSeen is the mark at which the flow was first seen under any owner, truncated to 32 bits.
	firstSeen uint32
	// lastForward is when a packet was last forwarded to the owner, in milliseconds since the epoch.
	lastForward uint32
	// numbers are those of a packet of the flow, each less than seqUpdateDistance from the latest
	// packet's.
	numbers SeqNumbers
}

// CacheConfig bounds the cache.
type CacheConfig struct {
	// MaxFlows is how many flows the cache holds at most. Default 400000.
	MaxFlows int
	// Refresh is the interval at which a packet of a flow is forwarded to its owner, so that the
	// owner sees that the flow is active. Default 10 s.
	Refresh time.Duration
}

// Defaults fills unset fields.
func (c CacheConfig) Defaults() CacheConfig {
	if c.MaxFlows == 0 {
		c.MaxFlows = 400_000
	}
	if c.Refresh == 0 {
		c.Refresh = 10 * time.Second
	}
	return c
}

// NewCache returns an empty cache. No time passed to its methods may be before epoch.
func NewCache(cfg CacheConfig, epoch time.Time) *Cache {
	cfg = cfg.Defaults()
	c := &Cache{perShard: max(cfg.MaxFlows/(2*shardCount), 1), refresh: cfg.Refresh, epoch: epoch}
	for i := range c.shards {
		c.shards[i].young = make(map[model.FlowHash]cacheEntry)
	}
	return c
}

// AllowsDirect is AllowsDirectSeq for a packet whose numbers are not known.
func (c *Cache) AllowsDirect(now time.Time, h model.FlowHash, owner Position, current Mark) (direct bool, coveredBy IncarnationID) {
	return c.AllowsDirectSeq(now, h, SeqNumbers{}, owner, current)
}

// AllowsDirectSeq reports whether a packet of the flow may be sent straight to its target: the flow's packets were
// first forwarded to this owner before the mark that the replica of the owner's log covers, and the last
// forwarded packet is recent. If it reports false, the caller must forward the packet to the owner;
// the cache has recorded that already. coveredBy is then what CoveringOwner returns. A packet that does not
// continue the cached flow counts as the first of a new flow. owner is the position of the replica of the
// flow's owner, current the present mark of this daemon.
func (c *Cache) AllowsDirectSeq(now time.Time, h model.FlowHash, n SeqNumbers, owner Position, current Mark) (direct bool, coveredBy IncarnationID) {
	ms := millisSince(c.epoch, now)
	sh := &c.shards[shardIndex(h)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, ok := sh.lookupFlow(h, n, c.perShard)
	if !ok {
		e.firstSeen = uint32(current)
	}
	numbersChanged := n.needsUpdate(e.numbers)
	if numbersChanged {
		e.numbers = n
	}
	if e.owner != owner.Owner {
		e.owner, e.ownerSince, e.lastForward = owner.Owner, uint32(current), ms
		sh.store(h, e, c.perShard)
		return false, e.coveredBy
	}
	direct, changed := e.allowsDirect(ms, c.refreshMillis(), owner, current)
	if changed || numbersChanged {
		sh.store(h, e, c.perShard)
	}
	if direct && !changed {
		return true, 0
	}
	return direct, e.coveredBy
}

// allowsDirect evaluates a packet of a flow that had a packet forwarded to this owner before, and updates
// the entry. changed reports whether the entry must be stored.
func (e *cacheEntry) allowsDirect(ms, refresh uint32, owner Position, current Mark) (direct, changed bool) {
	// The difference of truncated marks is correct as long as the flow is younger than 2^31 marks.
	if owner.CoveredMark == 0 || int32(uint32(owner.CoveredMark)-e.ownerSince) <= 0 {
		return false, false
	}
	idle := idleMillis(ms, e.lastForward)
	refreshed := idle < refresh
	if refreshed && e.coveredBy == owner.Owner {
		return true, false
	}
	e.coveredBy = owner.Owner
	if !refreshed {
		e.lastForward = ms
	}
	// After a long time without packets, a new flow may use the same addresses and ports.
	if idle > 2*refresh {
		e.ownerSince, e.firstSeen, e.coveredBy = uint32(current), uint32(current), 0
	}
	return refreshed, true
}

func (c *Cache) refreshMillis() uint32 {
	return uint32(c.refresh / time.Millisecond)
}

// Clear empties the cache, for example after a pause of this daemon, during which the flows that the logs
// cover may have changed.
func (c *Cache) Clear() {
	for i := range c.shards {
		sh := &c.shards[i]
		sh.mu.Lock()
		sh.young = make(map[model.FlowHash]cacheEntry)
		sh.old = nil
		sh.mu.Unlock()
	}
}

// KnownBefore reports whether this daemon first saw the flow of a packet before mark m.
func (c *Cache) KnownBefore(h model.FlowHash, n SeqNumbers, m Mark) bool {
	sh := &c.shards[shardIndex(h)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, ok := sh.lookupFlow(h, n, c.perShard)
	return ok && int32(uint32(m)-e.firstSeen) > 0
}

// Known reports whether the cache holds the flow of a packet.
func (c *Cache) Known(h model.FlowHash, n SeqNumbers) bool {
	sh := &c.shards[shardIndex(h)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	_, ok := sh.lookupFlow(h, n, c.perShard)
	return ok
}

// CoveringOwner returns the owner whose log last covered the flow of a packet or, before any did, the one that
// the flow's SYN was forwarded to; 0 for none.
func (c *Cache) CoveringOwner(h model.FlowHash, n SeqNumbers) IncarnationID {
	sh := &c.shards[shardIndex(h)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, _ := sh.lookupFlow(h, n, c.perShard)
	return e.coveredBy
}

// Forget removes a flow from the cache.
func (c *Cache) Forget(h model.FlowHash) {
	sh := &c.shards[shardIndex(h)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.remove(h)
}

// Opened records that the SYN of a new flow was forwarded to an owner. It evicts no other flow, so that SYNs
// that open no flow cannot empty the cache. current is the present mark of this daemon.
func (c *Cache) Opened(h model.FlowHash, owner IncarnationID, current Mark) {
	sh := &c.shards[shardIndex(h)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.remove(h)
	if len(sh.young) < c.perShard {
		sh.young[h] = cacheEntry{coveredBy: owner, firstSeen: uint32(current)}
	}
}

// Len returns the number of cached flows.
func (c *Cache) Len() int {
	n := 0
	for i := range c.shards {
		c.shards[i].mu.Lock()
		n += len(c.shards[i].young) + len(c.shards[i].old)
		c.shards[i].mu.Unlock()
	}
	return n
}

// lookup finds an entry and moves one that it finds in the old map to the young one.
func (sh *cacheShard) lookup(h model.FlowHash, limit int) (cacheEntry, bool) {
	if e, ok := sh.young[h]; ok {
		return e, true
	}
	e, ok := sh.old[h]
	if !ok {
		return cacheEntry{}, false
	}
	delete(sh.old, h)
	sh.store(h, e, limit)
	return e, true
}

// lookupFlow finds the entry of a packet's flow; it ignores the entry of an earlier flow between the same
// addresses.
func (sh *cacheShard) lookupFlow(h model.FlowHash, n SeqNumbers, limit int) (cacheEntry, bool) {
	e, ok := sh.lookup(h, limit)
	if !ok || !n.continues(e.numbers) {
		return cacheEntry{}, false
	}
	return e, true
}

func (sh *cacheShard) remove(h model.FlowHash) {
	delete(sh.young, h)
	delete(sh.old, h)
}

// store writes an entry to the young map. When that map is full, it becomes the old one, and the previous
// old one is dropped.
func (sh *cacheShard) store(h model.FlowHash, e cacheEntry, limit int) {
	if _, ok := sh.young[h]; !ok && len(sh.young) >= limit {
		sh.old = sh.young
		sh.young = make(map[model.FlowHash]cacheEntry)
	}
	sh.young[h] = e
}
