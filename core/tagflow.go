package core

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// tagState is the state of a flow, as far as its caller's packets show it.
type tagState uint8

const (
	// tagOpening is the state until the caller acknowledges a target's answer to the SYN.
	tagOpening tagState = iota
	tagOpen
	// tagClosing is the state after the caller has sent a FIN or RST.
	tagClosing
)

const (
	// tagShards is the number of shards of the flow records.
	tagShards = 64
	// repeatAfter is the age from which the same data counts as a retransmission. Earlier it may be a duplicate made
	// by the network: endpoints retransmit after 200 ms.
	repeatAfter = 150 * time.Millisecond
	// closedFor is how long the record of a closed flow is kept, for the last packets of its endpoints.
	closedFor = 2 * time.Second
)

// tagFlow is a daemon's record of one flow. It serves as evidence on the target's health; steering relies on the tags
// in the packets.
type tagFlow struct {
	target model.TargetID
	tag    flowtag.Tag
	// caller and service are the flow's endpoints. isn is the initial sequence number of its SYN, 0 if another daemon
	// saw the SYN.
	caller, service flow.Endpoint
	isn             uint32
	// seq is the end of the data that the caller has sent, ack its highest acknowledgement number.
	seq, ack uint32
	// at is the time of the last packet that advanced the flow or was a retransmission, last that of the last packet;
	// both in milliseconds since the epoch.
	at, last uint32
	state    tagState
	// asked is true while the caller's last new packet carried data and nothing was acknowledged since: a request may
	// be in progress.
	asked bool
	// copies counts the repetitions of the SYN, repeats the retransmissions since the caller's last new data or
	// acknowledgement.
	copies, repeats uint8
	// customer is set for flows that were admitted here and count against the customer's limits.
	customer *model.Customer
}

// openings is a queue of flows whose SYN was sent to a target, in order of time.
type openings struct {
	sync.Mutex
	waiting []opening
	// late is the moving average, 0 to 1, of the share of handshakes that were not completed in time.
	late float64
}

type opening struct {
	hash model.FlowHash
	at   time.Time
}

// maxOpenings bounds the queue of half-open flows. Further ones are not checked for late answers.
const maxOpenings = 4096

func (o *openings) add(now time.Time, h model.FlowHash) {
	o.Lock()
	defer o.Unlock()
	if len(o.waiting) < maxOpenings {
		o.waiting = append(o.waiting, opening{hash: h, at: now})
	}
}

// due removes and returns the flows that have waited for at least wait.
func (o *openings) due(now time.Time, wait time.Duration) []opening {
	o.Lock()
	defer o.Unlock()
	n := 0
	for n < len(o.waiting) && now.Sub(o.waiting[n].at) >= wait {
		n++
	}
	due := append([]opening(nil), o.waiting[:n]...)
	o.waiting = append(o.waiting[:0], o.waiting[n:]...)
	return due
}

// judged adds the outcome of a handshake to the moving average.
func (o *openings) judged(late bool) {
	o.Lock()
	defer o.Unlock()
	o.late *= 1 - lateWeight
	if late {
		o.late += lateWeight
	}
}

// oftenLate reports whether so many handshakes are late that a late one says nothing about its own target.
func (o *openings) oftenLate() bool {
	o.Lock()
	defer o.Unlock()
	return o.late >= lateShare
}

// tagProgress describes how one packet changed its flow's record.
type tagProgress struct {
	before, after tagFlow
	// added is true if the flow had no record. replaced is true if its endpoints had the record of another flow,
	// which is in before.
	added, replaced bool
	// opened is true for the packet that completes the handshake.
	opened bool
	// retargeted is true if that packet names another target than the record did.
	retargeted bool
	// answered is true if the acknowledgement number advanced, which proves that the target has sent data.
	answered bool
	// repeated is true for a retransmission.
	repeated bool
	// closed is true if this packet closed the flow on the caller's side.
	closed bool
	// waited is the time since the last packet that advanced the flow or was a retransmission.
	waited time.Duration
}

// tagFlows holds the flow records in shards, each under its own lock.
type tagFlows struct {
	epoch  time.Time
	idle   uint32
	max    int64
	count  atomic.Int64
	turn   int
	shards [tagShards]tagShard
}

type tagShard struct {
	sync.Mutex
	flows map[model.FlowHash]tagFlow
}

func (t *tagFlows) init(cfg TagConfig) {
	t.epoch = cfg.Epoch
	t.idle = uint32(cfg.IdleTimeout / time.Millisecond)
	t.max = int64(cfg.MaxFlows)
	for i := range t.shards {
		t.shards[i].flows = make(map[model.FlowHash]tagFlow)
	}
}

func (t *tagFlows) millis(now time.Time) uint32 {
	return uint32(now.Sub(t.epoch) / time.Millisecond)
}

func (t *tagFlows) shard(h model.FlowHash) *tagShard {
	return &t.shards[uint64(h)%tagShards]
}

func (t *tagFlows) len() int {
	return int(t.count.Load())
}

// get returns a flow's record.
func (t *tagFlows) get(h model.FlowHash) (tagFlow, bool) {
	s := t.shard(h)
	s.Lock()
	defer s.Unlock()
	f, ok := s.flows[h]
	return f, ok
}

// put stores a flow's record and reports whether it did: at the maximum number, only existing records are updated.
func (t *tagFlows) put(h model.FlowHash, f tagFlow) bool {
	s := t.shard(h)
	s.Lock()
	defer s.Unlock()
	return t.store(s, h, f)
}

func (t *tagFlows) store(s *tagShard, h model.FlowHash, f tagFlow) bool {
	if _, ok := s.flows[h]; !ok {
		if t.count.Load() >= t.max {
			return false
		}
		t.count.Add(1)
	}
	s.flows[h] = f
	return true
}

// remove deletes a flow's record and returns it.
func (t *tagFlows) remove(h model.FlowHash) (tagFlow, bool) {
	s := t.shard(h)
	s.Lock()
	defer s.Unlock()
	f, ok := s.flows[h]
	if ok {
		delete(s.flows, h)
		t.count.Add(-1)
	}
	return f, ok
}

// packet updates the record with a packet of an open flow and returns the change. If the flow has no record, learn
// provides one from the packet's tag; packet returns false if the tag is unknown.
func (t *tagFlows) packet(now time.Time, h model.FlowHash, m *packet.Meta, tag flowtag.Tag, learn func() (tagFlow, bool)) (tagProgress, bool) {
	s := t.shard(h)
	s.Lock()
	defer s.Unlock()
	f, known := s.flows[h]
	if known && !f.continuedBy(m) {
		return t.replace(now, s, h, m, f, learn)
	}
	if known && f.state != tagOpening {
		p := t.advance(now, f, m)
		s.flows[h] = p.after
		return p, true
	}
	fresh, found := learn()
	switch {
	case !found && known && (tag == f.tag || tag == flowtag.None):
		fresh = f
	case !found:
		return tagProgress{}, false
	}
	return t.begin(now, s, h, m, f, known, fresh), true
}

// replace handles a packet whose sequence numbers belong to another flow between the same endpoints, which another
// daemon opened. The new flow's record replaces the present one.
func (t *tagFlows) replace(now time.Time, s *tagShard, h model.FlowHash, m *packet.Meta, over tagFlow, learn func() (tagFlow, bool)) (tagProgress, bool) {
	fresh, found := learn()
	if !found {
		return tagProgress{}, false
	}
	delete(s.flows, h)
	t.count.Add(-1)
	p := t.begin(now, s, h, m, tagFlow{}, false, fresh)
	p.before, p.replaced = over, true
	return p, true
}

// begin handles the packet that completes the handshake, or the first packet seen here of a flow that another daemon
// opened.
func (t *tagFlows) begin(now time.Time, s *tagShard, h model.FlowHash, m *packet.Meta, f tagFlow, known bool, fresh tagFlow) tagProgress {
	ms := t.millis(now)
	p := tagProgress{before: f, after: f}
	if known {
		p.opened = true
		p.waited = time.Duration(ms-f.at) * time.Millisecond
		p.retargeted = f.target != fresh.target
	}
	p.after.target, p.after.tag = fresh.target, fresh.tag
	p.after.caller, p.after.service = flow.EndpointOf(m.Src), flow.EndpointOf(m.Dst)
	p.after.state = tagOpen
	p.after.seq, p.after.ack = m.Seq+m.SegmentLen(), m.Ack
	p.after.at, p.after.last = ms, ms
	p.after.asked = m.PayloadLen > 0
	p.closed = p.after.closeOn(m)
	stored := t.store(s, h, p.after)
	p.added = !known && stored
	p.closed = p.closed && (known || stored)
	return p
}

// advance handles any later packet of a flow.
func (t *tagFlows) advance(now time.Time, f tagFlow, m *packet.Meta) tagProgress {
	ms := t.millis(now)
	p := tagProgress{before: f, after: f, waited: time.Duration(ms-f.at) * time.Millisecond}
	end := m.Seq + m.SegmentLen()
	news := false
	if newer(m.Ack, f.ack) {
		p.answered = true
		p.after.ack = m.Ack
		p.after.asked = false
		news = true
	}
	if newer(end, f.seq) {
		p.after.seq = end
		p.after.asked = m.PayloadLen > 0
		news = true
	}
	if news {
		p.after.at = ms
		p.after.repeats = 0
	} else if m.SegmentLen() > 0 && p.waited >= repeatAfter {
		p.repeated = true
		p.after.repeats++
		p.after.at = ms
	}
	p.after.last = ms
	p.closed = p.after.closeOn(m)
	return p
}

// closeOn updates the state if the packet closes the flow on the caller's side; it returns true the first time only.
func (f *tagFlow) closeOn(m *packet.Meta) bool {
	if f.state == tagClosing || m.Flags&(packet.FIN|packet.RST) == 0 {
		return false
	}
	f.state = tagClosing
	return true
}

// continuedBy reports whether a packet's sequence numbers are plausible for the recorded flow. If not, the packet
// belongs to another flow between the same endpoints.
func (f *tagFlow) continuedBy(m *packet.Meta) bool {
	if f.state == tagOpening {
		return m.Seq-f.seq < flow.Window
	}
	return flow.Near(m.Seq, f.seq, flow.Window) && (!m.Flags.Has(packet.ACK) || flow.Near(m.Ack, f.ack, flow.Window))
}

// lateCopy reports whether a SYN is a duplicate of the one that opened this flow and arrived late, for example from a
// congested link. If another daemon opened the flow, a sequence number slightly behind the flow's marks the
// duplicate.
func (f *tagFlow) lateCopy(m *packet.Meta) bool {
	switch {
	case f.state == tagOpening:
		return false
	case f.isn != 0:
		return f.isn == m.Seq
	}
	return f.state == tagOpen && f.seq-m.Seq < flow.Window
}

// newer reports whether a comes after b, for 32-bit counters that wrap around.
func newer(a, b uint32) bool {
	return int32(a-b) > 0
}

// expire removes the expired records of one sixteenth of the shards and calls released with each.
func (t *tagFlows) expire(now time.Time, released func(time.Time, tagFlow)) {
	const part = tagShards / 16
	ms := t.millis(now)
	for range part {
		s := &t.shards[t.turn]
		t.turn = (t.turn + 1) % tagShards
		for _, f := range t.expireShard(s, ms) {
			released(now, f)
		}
	}
}

func (t *tagFlows) expireShard(s *tagShard, ms uint32) []tagFlow {
	s.Lock()
	defer s.Unlock()
	var over []tagFlow
	for h, f := range s.flows {
		limit := t.idle
		if f.state == tagClosing {
			limit = uint32(closedFor / time.Millisecond)
		}
		if int32(ms-f.last) > int32(limit) {
			delete(s.flows, h)
			t.count.Add(-1)
			over = append(over, f)
		}
	}
	return over
}
