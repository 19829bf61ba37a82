package flow

import (
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

const (
	shardCount = 64

	// touchInterval is the age in milliseconds from which a packet updates a flow's LastSeen. It
	// avoids a map write for every packet of a busy flow.
	touchInterval = 100
)

// Table holds the flows that this daemon owns, in shards with their own locks.
type Table struct {
	cfg    Config
	epoch  time.Time
	shards [shardCount]tableShard
}

// tableShard keeps the fields that every packet needs apart from the flows' addresses, which few calls
// need: the smaller map fits the processor's cache better.
type tableShard struct {
	mu    sync.Mutex
	flows map[model.FlowHash]Progress
	// addresses holds the identified flows only.
	addresses map[model.FlowHash]addresses
}

// addresses holds the two addresses of a flow, and the sequence numbers that distinguish it from other flows
// between them.
type addresses struct {
	caller, service  PackedAddrPort
	seq, replacedISN uint32
}

// entry assembles an Entry from both maps of the shard.
func (s *tableShard) entry(h model.FlowHash, p Progress) Entry {
	e := Entry{Target: p.Target, LastSeen: p.LastSeen, State: p.State, Exception: p.Exception, SeqKind: p.SeqKind}
	if p.Identified {
		known := s.addresses[h]
		e.Caller, e.Service = known.caller, known.service
		e.SeqNumber, e.ReplacedISN = known.seq, known.replacedISN
	}
	return e
}

// get returns a flow. The shard must be locked.
func (s *tableShard) get(h model.FlowHash) (Entry, bool) {
	p, ok := s.flows[h]
	if !ok {
		return Entry{}, false
	}
	return s.entry(h, p), true
}

// put writes a flow. The shard must be locked.
func (s *tableShard) put(h model.FlowHash, e Entry) {
	p := Progress{
		Target: e.Target, LastSeen: e.LastSeen, State: e.State, Exception: e.Exception,
		Identified: e.Identified(), SeqKind: e.SeqKind,
	}
	s.flows[h] = p
	if p.Identified {
		s.addresses[h] = addresses{e.Caller, e.Service, e.SeqNumber, e.ReplacedISN}
	}
}

// remove deletes a flow. The shard must be locked.
func (s *tableShard) remove(h model.FlowHash) {
	delete(s.flows, h)
	delete(s.addresses, h)
}

// NewTable returns an empty table. No time passed to its methods may be before epoch.
func NewTable(cfg Config, epoch time.Time) *Table {
	t := &Table{cfg: cfg.Defaults(), epoch: epoch}
	for i := range t.shards {
		t.shards[i].flows = make(map[model.FlowHash]Progress)
		t.shards[i].addresses = make(map[model.FlowHash]addresses)
	}
	return t
}

// shardIndex uses the high bits of the hash, since the map inside a shard uses the low ones.
func shardIndex(h model.FlowHash) int {
	return int(h >> 58)
}

// millis returns the milliseconds since the table's epoch, truncated to 32 bits.
func (t *Table) millis(now time.Time) uint32 {
	return millisSince(t.epoch, now)
}

// millisSince returns the milliseconds since an epoch, truncated to 32 bits.
func millisSince(epoch, now time.Time) uint32 {
	return uint32(now.Sub(epoch) / time.Millisecond)
}

// idleMillis returns the milliseconds from one truncated time to a later one, up to 24 days. Goroutines
// read the clock independently and take the lock in any order, so last may be after now; this counts
// as zero.
func idleMillis(now, last uint32) uint32 {
	return uint32(max(int32(now-last), 0))
}

// Touch records a packet of a known flow and returns the flow's progress. The state only moves
// forward. LastSeen may lag behind by less than touchInterval.
func (t *Table) Touch(now time.Time, h model.FlowHash, state State) (Progress, bool) {
	p, _, ok := t.Advance(now, h, state)
	return p, ok
}

// Advance is like Touch, but also returns the flow's progress before the packet.
func (t *Table) Advance(now time.Time, h model.FlowHash, state State) (after, before Progress, ok bool) {
	s := &t.shards[shardIndex(h)]
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.flows[h]
	if !ok {
		return Progress{}, Progress{}, false
	}
	before = p
	ms := t.millis(now)
	if state <= p.State && idleMillis(ms, p.LastSeen) < touchInterval {
		return p, before, true
	}
	p.LastSeen += idleMillis(ms, p.LastSeen)
	p.State = max(p.State, state)
	s.flows[h] = p
	return p, before, true
}

// Age returns the time since an Entry.LastSeen.
func (t *Table) Age(now time.Time, lastSeen uint32) time.Duration {
	return time.Duration(idleMillis(t.millis(now), lastSeen)) * time.Millisecond
}

// Get returns a flow without recording a packet.
func (t *Table) Get(h model.FlowHash) (Entry, bool) {
	s := &t.shards[shardIndex(h)]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(h)
}

// Insert adds a flow unless the table already holds it. It returns the flow that the table now holds
// and whether it was added.
func (t *Table) Insert(now time.Time, h model.FlowHash, e Entry) (Entry, bool) {
	s := &t.shards[shardIndex(h)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.get(h); ok {
		return old, false
	}
	e.LastSeen = t.millis(now)
	s.put(h, e)
	return e, true
}

// Remove deletes a flow and returns its entry.
func (t *Table) Remove(h model.FlowHash) (Entry, bool) {
	s := &t.shards[shardIndex(h)]
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.get(h)
	s.remove(h)
	return e, ok
}

// Identify sets the addresses of a flow that was known only from a log.
func (t *Table) Identify(h model.FlowHash, caller, service PackedAddrPort) {
	s := &t.shards[shardIndex(h)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.get(h); ok {
		e.Caller, e.Service = caller, service
		s.put(h, e)
	}
}

// SetSeqNumber sets the sequence number of an identified flow, and the kind of that number.
func (t *Table) SetSeqNumber(h model.FlowHash, kind SeqKind, number uint32) {
	s := &t.shards[shardIndex(h)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.get(h); ok && e.Identified() {
		e.SeqKind, e.SeqNumber = kind, number
		s.put(h, e)
	}
}

// SetException sets whether the owner's log holds the flow as an exception, that is, a flow whose target
// is not its default one.
func (t *Table) SetException(h model.FlowHash, exception bool) {
	s := &t.shards[shardIndex(h)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.flows[h]; ok {
		p.Exception = exception
		s.flows[h] = p
	}
}

// Expired is a flow that Expire has removed.
type Expired struct {
	Hash  model.FlowHash
	Entry Entry
}

// Expire removes the flows of one shard that were idle for longer than their state allows. A caller that
// increases turn by one with every call covers all shards in turn. With keepOpen, open flows stay.
func (t *Table) Expire(now time.Time, turn uint64, keepOpen bool) []Expired {
	s := &t.shards[turn%shardCount]
	ms := t.millis(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired []Expired
	for h, p := range s.flows {
		if keepOpen && p.State == StateOpen {
			continue
		}
		if idleMillis(ms, p.LastSeen) > t.cfg.timeout(p.State) {
			expired = append(expired, Expired{Hash: h, Entry: s.entry(h, p)})
			s.remove(h)
		}
	}
	return expired
}

// Each calls f for every flow, one shard at a time under its lock. f may not call methods of the table.
func (t *Table) Each(f func(h model.FlowHash, e Entry)) {
	for i := range t.shards {
		t.shards[i].each(f)
	}
}

func (s *tableShard) each(f func(h model.FlowHash, e Entry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for h, p := range s.flows {
		f(h, s.entry(h, p))
	}
}

// Len returns the number of flows.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		t.shards[i].mu.Lock()
		n += len(t.shards[i].flows)
		t.shards[i].mu.Unlock()
	}
	return n
}
