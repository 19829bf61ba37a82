package flow

import (
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

const (
	shardCount = 64

	// touchInterval is how old a flow's LastSeen must be before a packet renews it, in milliseconds. It
	// spares busy flows a write to the map for every packet.
	touchInterval = 100
)

// Table holds the flows that this daemon owns, in shards with their own locks.
type Table struct {
	cfg    Config
	epoch  time.Time
	shards [shardCount]tableShard
}

// tableShard keeps what every packet needs apart from the flows' ends, which few calls need: the
// smaller map stays in the processor's cache.
type tableShard struct {
	mu    sync.Mutex
	flows map[model.FlowHash]Progress
	// ends holds only flows that are identified.
	ends map[model.FlowHash]ends
}

// ends are the two ends of a flow, and the numbers that tell it from others between them.
type ends struct {
	caller, service Endpoint
	number, earlier uint32
}

// entry joins what is known of a flow.
func (s *tableShard) entry(h model.FlowHash, p Progress) Entry {
	e := Entry{Target: p.Target, LastSeen: p.LastSeen, State: p.State, Exception: p.Exception, Numbering: p.Numbering}
	if p.Identified {
		known := s.ends[h]
		e.Caller, e.Service = known.caller, known.service
		e.Number, e.Earlier = known.number, known.earlier
	}
	return e
}

// get returns a flow.
func (s *tableShard) get(h model.FlowHash) (Entry, bool) {
	p, ok := s.flows[h]
	if !ok {
		return Entry{}, false
	}
	return s.entry(h, p), true
}

// put writes a flow.
func (s *tableShard) put(h model.FlowHash, e Entry) {
	p := Progress{
		Target: e.Target, LastSeen: e.LastSeen, State: e.State, Exception: e.Exception,
		Identified: e.Identified(), Numbering: e.Numbering,
	}
	s.flows[h] = p
	if p.Identified {
		s.ends[h] = ends{e.Caller, e.Service, e.Number, e.Earlier}
	}
}

// remove forgets a flow.
func (s *tableShard) remove(h model.FlowHash) {
	delete(s.flows, h)
	delete(s.ends, h)
}

// NewTable returns an empty table. Times handed to it may not lie before epoch.
func NewTable(cfg Config, epoch time.Time) *Table {
	t := &Table{cfg: cfg.Defaults(), epoch: epoch}
	for i := range t.shards {
		t.shards[i].flows = make(map[model.FlowHash]Progress)
		t.shards[i].ends = make(map[model.FlowHash]ends)
	}
	return t
}

// shardIndex uses the high bits: the map inside a shard uses the low ones.
func shardIndex(h model.FlowHash) int {
	return int(h >> 58)
}

// millis returns the time since the epoch cut to 32 bits.
func (t *Table) millis(now time.Time) uint32 {
	return millisSince(t.epoch, now)
}

// millisSince returns the time since an epoch in milliseconds, cut to 32 bits.
func millisSince(epoch, now time.Time) uint32 {
	return uint32(now.Sub(epoch) / time.Millisecond)
}

// silence returns the milliseconds from one cut time to a later one, up to 24 days. Goroutines read the
// clock one after the other and act in any order: a last packet that lies ahead of now counts as just
// come.
func silence(now, last uint32) uint32 {
	return uint32(max(int32(now-last), 0))
}

// Touch notes a packet of a known flow and returns the flow's progress. The state moves forward only;
// LastSeen lags behind by less than touchInterval.
func (t *Table) Touch(now time.Time, h model.FlowHash, state State) (Progress, bool) {
	p, _, ok := t.Advance(now, h, state)
	return p, ok
}

// Advance is Touch, and returns the flow's progress before the packet too.
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
	if state <= p.State && silence(ms, p.LastSeen) < touchInterval {
		return p, before, true
	}
	p.LastSeen += silence(ms, p.LastSeen)
	p.State = max(p.State, state)
	s.flows[h] = p
	return p, before, true
}

// Age returns the time since an Entry.LastSeen.
func (t *Table) Age(now time.Time, lastSeen uint32) time.Duration {
	return time.Duration(silence(t.millis(now), lastSeen)) * time.Millisecond
}

// Get returns a flow without noting a packet.
func (t *Table) Get(h model.FlowHash) (Entry, bool) {
	s := &t.shards[shardIndex(h)]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(h)
}

// Insert adds a flow unless it is already there; it returns the flow in force and whether it is
// the new one.
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

// Remove forgets a flow and returns what was known of it.
func (t *Table) Remove(h model.FlowHash) (Entry, bool) {
	s := &t.shards[shardIndex(h)]
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.get(h)
	s.remove(h)
	return e, ok
}

// Identify writes the ends of a flow that was known from a log alone.
func (t *Table) Identify(h model.FlowHash, caller, service Endpoint) {
	s := &t.shards[shardIndex(h)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.get(h); ok {
		e.Caller, e.Service = caller, service
		s.put(h, e)
	}
}

// SetNumber writes a number of a flow that is identified.
func (t *Table) SetNumber(h model.FlowHash, n Numbering, number uint32) {
	s := &t.shards[shardIndex(h)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.get(h); ok && e.Identified() {
		e.Numbering, e.Number = n, number
		s.put(h, e)
	}
}

// SetException notes whether the owner's log names the flow.
func (t *Table) SetException(h model.FlowHash, exception bool) {
	s := &t.shards[shardIndex(h)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.flows[h]; ok {
		p.Exception = exception
		s.flows[h] = p
	}
}

// Expired is a flow that Expire has forgotten.
type Expired struct {
	Hash  model.FlowHash
	Entry Entry
}

// Expire forgets the flows of one shard that were silent for longer than their state allows. Calls
// with a counter that grows by one visit every shard in turn. With keepOpen, open flows stay.
func (t *Table) Expire(now time.Time, turn uint64, keepOpen bool) []Expired {
	s := &t.shards[turn%shardCount]
	ms := t.millis(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	var gone []Expired
	for h, p := range s.flows {
		if keepOpen && p.State == StateOpen {
			continue
		}
		if silence(ms, p.LastSeen) > t.cfg.timeout(p.State) {
			gone = append(gone, Expired{Hash: h, Entry: s.entry(h, p)})
			s.remove(h)
		}
	}
	return gone
}

// Each calls f for every flow, a shard at a time under its lock. f may not call the table.
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
