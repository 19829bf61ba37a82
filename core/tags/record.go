package tags

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
	// tagHandshake is the state until the caller acknowledges a target's answer to the SYN.
	tagHandshake tagState = iota
	tagOpen
	// tagClosing is the state after the caller has sent a FIN or RST.
	tagClosing
	// tagEnded is the state after this daemon has reset the flow, or some time after its caller has closed it. The record does
	// not count any more and only shows the flow's last packet; a later packet starts it anew.
	tagEnded
)

const (
	// tagShards is the number of shards of the flow records.
	tagShards = 64
	// minRetransmitAge is the age from which the same data counts as a retransmission. Earlier it may be a duplicate
	// made by the network: senders retransmit after 200 ms.
	minRetransmitAge = 150 * time.Millisecond
	// closedRecordTTL is how long a closed flow counts, for the last packets of its two sides.
	closedRecordTTL = 2 * time.Second
)

// tagRecord is a daemon's record of one flow. It serves as evidence on the target's health; steering relies on the
// tags in the packets.
type tagRecord struct {
	target model.TargetID
	tag    flowtag.Tag
	// caller and service are the flow's addresses. isn is the initial sequence number of its SYN, 0 if another daemon
	// saw the SYN.
	caller, service flow.PackedAddrPort
	isn             uint32
	// seq is the end of the data that the caller has sent, ack its highest acknowledgement number.
	seq, ack uint32
	// progressAt is the time of the last packet that advanced the flow or was a retransmission, packetAt that of the
	// last packet; both in milliseconds since the epoch.
	progressAt, packetAt uint32
	state                tagState
	// requestPending is true while the caller's last new packet carried data and nothing was acknowledged since: a
	// request may be in progress.
	requestPending bool
	// synDuplicates counts the duplicates of the SYN, retransmits the retransmissions since the caller's last new data
	// or acknowledgement.
	synDuplicates, retransmits uint8
	// customer is set for flows that this daemon admitted and that count against the customer's limits.
	customer *model.Customer
	// trace is kept for the observer.
	trace requestTrace
}

// halfOpenQueue is a queue of flows whose SYN was sent to a target, in order of time.
type halfOpenQueue struct {
	sync.Mutex
	waiting []halfOpenFlow
	// late is the moving average, 0 to 1, of the share of handshakes that were not completed in time.
	late float64
}

type halfOpenFlow struct {
	hash model.FlowHash
	at   time.Time
}

// maxHalfOpenFlows bounds the queue of half-open flows. Further ones are not checked for late answers.
const maxHalfOpenFlows = 4096

func (q *halfOpenQueue) add(now time.Time, h model.FlowHash) {
	q.Lock()
	defer q.Unlock()
	if len(q.waiting) < maxHalfOpenFlows {
		q.waiting = append(q.waiting, halfOpenFlow{hash: h, at: now})
	}
}

// due removes and returns the flows that have waited for at least wait.
func (q *halfOpenQueue) due(now time.Time, wait time.Duration) []halfOpenFlow {
	q.Lock()
	defer q.Unlock()
	n := 0
	for n < len(q.waiting) && now.Sub(q.waiting[n].at) >= wait {
		n++
	}
	due := append([]halfOpenFlow(nil), q.waiting[:n]...)
	q.waiting = append(q.waiting[:0], q.waiting[n:]...)
	return due
}

// recordOutcome adds the outcome of a handshake to the moving average.
func (q *halfOpenQueue) recordOutcome(late bool) {
	q.Lock()
	defer q.Unlock()
	q.late *= 1 - lateHandshakeWeight
	if late {
		q.late += lateHandshakeWeight
	}
}

// oftenLate reports whether so many handshakes are late that a late one says nothing about its own target.
func (q *halfOpenQueue) oftenLate() bool {
	q.Lock()
	defer q.Unlock()
	return q.late >= lateHandshakeLimit
}

// tagProgress describes how one packet changed its flow's record.
type tagProgress struct {
	before, after tagRecord
	// added is true if the flow had no record. replaced is true if its addresses had the record of another flow,
	// which is in before.
	added, replaced bool
	// established is true for the first packet after the handshake, completed if it is also the one that completes the
	// handshake. Otherwise earlier packets went through another daemon.
	established, completed bool
	// retargeted is true if that packet names another target than the record did.
	retargeted bool
	// ackAdvanced is true if the acknowledgement number advanced, which proves that the target has sent data.
	ackAdvanced bool
	// retransmitted is true for a retransmission.
	retransmitted bool
	// closed is true if this packet closed the flow on the caller's side.
	closed bool
	// sinceProgress is the time since the last packet that advanced the flow or was a retransmission.
	sinceProgress time.Duration
	// yielded is true if the packet is dropped because another daemon may reset the flow.
	yielded bool
}

// tagRecords holds the flow records in shards, each under its own lock.
type tagRecords struct {
	epoch      time.Time
	idleMillis uint32
	max        int64
	// count is the number of records, ended that of those in the state tagEnded.
	count, ended atomic.Int64
	// overflowed is true if a flow got no record since the last tick because of the maximum number.
	overflowed atomic.Bool
	nextShard  int
	shards     [tagShards]tagShard
}

type tagShard struct {
	sync.Mutex
	records map[model.FlowHash]tagRecord
	// yielded holds the flows that other daemons may reset, with the end of the time for which their packets are dropped.
	yielded map[model.FlowHash]uint32
}

func (t *tagRecords) init(cfg Config) {
	t.epoch = cfg.Epoch
	t.idleMillis = uint32(cfg.IdleTimeout / time.Millisecond)
	t.max = int64(cfg.MaxFlows)
	for i := range t.shards {
		t.shards[i].records = make(map[model.FlowHash]tagRecord)
		t.shards[i].yielded = make(map[model.FlowHash]uint32)
	}
}

func (t *tagRecords) millis(now time.Time) uint32 {
	return uint32(now.Sub(t.epoch) / time.Millisecond)
}

func (t *tagRecords) shard(h model.FlowHash) *tagShard {
	return &t.shards[uint64(h)%tagShards]
}

// len returns the number of records of flows that have not ended.
func (t *tagRecords) len() int {
	return int(t.count.Load() - t.ended.Load())
}

// get returns a flow's record.
func (t *tagRecords) get(h model.FlowHash) (tagRecord, bool) {
	s := t.shard(h)
	s.Lock()
	defer s.Unlock()
	f, ok := s.records[h]
	return f, ok && f.state != tagEnded
}

// put stores a flow's record and reports whether it did: at the maximum number, only existing records are updated.
func (t *tagRecords) put(h model.FlowHash, f tagRecord) bool {
	s := t.shard(h)
	s.Lock()
	defer s.Unlock()
	return t.store(s, h, f)
}

func (t *tagRecords) store(s *tagShard, h model.FlowHash, f tagRecord) bool {
	previous, ok := s.records[h]
	switch {
	case ok && previous.state == tagEnded:
		t.ended.Add(-1)
	case !ok && t.count.Load() >= t.max:
		t.overflowed.Store(true)
		return false
	case !ok:
		t.count.Add(1)
	}
	s.records[h] = f
	return true
}

// end puts a record into the state tagEnded. The shard is locked.
func (t *tagRecords) end(s *tagShard, h model.FlowHash, f tagRecord) {
	f.state = tagEnded
	s.records[h] = f
	t.ended.Add(1)
}

// drop deletes a record. The shard is locked.
func (t *tagRecords) drop(s *tagShard, h model.FlowHash, f *tagRecord) {
	delete(s.records, h)
	t.count.Add(-1)
	if f.state == tagEnded {
		t.ended.Add(-1)
	}
}

// remove deletes a flow's record, and returns it if it counts.
func (t *tagRecords) remove(h model.FlowHash) (tagRecord, bool) {
	s := t.shard(h)
	s.Lock()
	defer s.Unlock()
	f, ok := s.records[h]
	if ok {
		t.drop(s, h, &f)
	}
	return f, ok && f.state != tagEnded
}

// markReset marks a flow as reset if it satisfies match, and returns its record as it was.
func (t *tagRecords) markReset(h model.FlowHash, match func(*tagRecord) bool) (tagRecord, bool) {
	s := t.shard(h)
	s.Lock()
	defer s.Unlock()
	f, ok := s.records[h]
	if !ok || f.state == tagEnded || !match(&f) {
		return tagRecord{}, false
	}
	t.end(s, h, f)
	return f, true
}

// packet updates the record with a packet of an open flow and returns the change. If the flow has no record, learn
// provides one from the packet's tag; it returns false if the tag is unknown.
func (t *tagRecords) packet(now time.Time, h model.FlowHash, m *packet.Meta, tag flowtag.Tag, learn func() (tagRecord, bool)) (tagProgress, bool) {
	s := t.shard(h)
	s.Lock()
	defer s.Unlock()
	if s.yields(t.millis(now), h) {
		return tagProgress{yielded: true}, false
	}
	f, known := s.records[h]
	if f.state == tagEnded {
		f, known = tagRecord{}, false
	}
	if known && !f.continuedBy(m) {
		return t.replace(now, s, h, m, f, learn)
	}
	if known && f.state != tagHandshake {
		p := t.advance(now, f, m)
		s.records[h] = p.after
		return p, true
	}
	learned, found := learn()
	switch {
	case !found && known && (tag == f.tag || tag == flowtag.None):
		learned = f
	case !found:
		return tagProgress{}, false
	}
	return t.start(now, s, h, m, f, known, learned), true
}

// replace handles a packet whose sequence numbers belong to another flow with the same addresses, which another daemon
// opened. The new flow's record replaces the recorded one.
func (t *tagRecords) replace(now time.Time, s *tagShard, h model.FlowHash, m *packet.Meta, previous tagRecord, learn func() (tagRecord, bool)) (tagProgress, bool) {
	learned, found := learn()
	if !found {
		return tagProgress{}, false
	}
	t.drop(s, h, &previous)
	p := t.start(now, s, h, m, tagRecord{}, false, learned)
	p.before, p.replaced = previous, true
	return p, true
}

// start handles the packet that completes the handshake, or the first packet that this daemon receives of a flow that
// another daemon opened.
func (t *tagRecords) start(now time.Time, s *tagShard, h model.FlowHash, m *packet.Meta, f tagRecord, known bool, learned tagRecord) tagProgress {
	ms := t.millis(now)
	p := tagProgress{before: f, after: f}
	if known {
		p.established, p.completed = true, m.Seq == f.seq
		p.sinceProgress = time.Duration(ms-f.progressAt) * time.Millisecond
		p.retargeted = f.target != learned.target
	}
	p.after.target, p.after.tag = learned.target, learned.tag
	p.after.caller, p.after.service = flow.PackAddrPort(m.Src), flow.PackAddrPort(m.Dst)
	p.after.state = tagOpen
	p.after.seq, p.after.ack = m.Seq+m.SegmentLen(), m.Ack
	p.after.progressAt, p.after.packetAt = ms, ms
	p.after.requestPending = beginsRequest(m)
	if !known {
		p.after.trace = requestTrace{openedAt: ms}
	}
	if p.after.requestPending {
		p.after.trace.begin(ms, m.Ack)
	}
	p.closed = p.after.recordClose(m)
	stored := t.store(s, h, p.after)
	p.added = !known && stored
	p.closed = p.closed && (known || stored)
	return p
}

// advance handles any later packet of a flow.
func (t *tagRecords) advance(now time.Time, f tagRecord, m *packet.Meta) tagProgress {
	ms := t.millis(now)
	p := tagProgress{before: f, after: f, sinceProgress: time.Duration(ms-f.progressAt) * time.Millisecond}
	end := m.Seq + m.SegmentLen()
	progressed := false
	if serialAfter(m.Ack, f.ack) {
		p.ackAdvanced = true
		p.after.ack = m.Ack
		p.after.requestPending = false
		progressed = true
	}
	if serialAfter(end, f.seq) {
		p.after.seq = end
		p.after.requestPending = beginsRequest(m)
		if p.after.requestPending && (!f.requestPending || p.ackAdvanced) {
			p.after.trace.begin(ms, m.Ack)
		}
		progressed = true
	}
	if progressed {
		p.after.progressAt = ms
		p.after.retransmits = 0
	} else if m.SegmentLen() > 0 && p.sinceProgress >= minRetransmitAge && !serialAfter(f.ack, m.Ack) {
		p.retransmitted = true
		p.after.retransmits++
		p.after.progressAt = ms
	}
	p.after.packetAt = ms
	p.closed = p.after.recordClose(m)
	return p
}

// beginsRequest reports whether a packet with new data is part of a request. Load pattern: callers give up while no daemon
// runs, and close their flows with what is unacknowledged. The target answers with its own FIN, which is no response.
func beginsRequest(m *packet.Meta) bool {
	return m.PayloadLen > 0 && !m.Flags.Has(packet.FIN)
}

// recordClose updates the state if the packet closes the flow on the caller's side; it returns true the first time
// only.
func (f *tagRecord) recordClose(m *packet.Meta) bool {
	if f.state == tagClosing || m.Flags&(packet.FIN|packet.RST) == 0 {
		return false
	}
	f.state = tagClosing
	return true
}

// continuedBy reports whether a packet's sequence numbers are plausible for the recorded flow. If not, the packet
// belongs to another flow with the same addresses.
func (f *tagRecord) continuedBy(m *packet.Meta) bool {
	if f.state == tagHandshake {
		return m.Seq-f.seq < flow.SeqWindow
	}
	return flow.SeqNear(m.Seq, f.seq, flow.SeqWindow) && (!m.Flags.Has(packet.ACK) || flow.SeqNear(m.Ack, f.ack, flow.SeqWindow))
}

// isDuplicateSYN reports whether a SYN is a duplicate of the one that opened this flow and arrived late, for example
// from a congested link. If another daemon opened the flow, a sequence number slightly behind the flow's marks the
// duplicate.
func (f *tagRecord) isDuplicateSYN(m *packet.Meta) bool {
	switch {
	case f.state == tagHandshake:
		return false
	case f.isn != 0:
		return f.isn == m.Seq
	}
	return f.state == tagOpen && f.seq-m.Seq < flow.SeqWindow
}

// serialAfter reports whether a comes after b, for 32-bit counters that wrap around.
func serialAfter(a, b uint32) bool {
	return int32(a-b) > 0
}

// expire removes the expired records of one sixteenth of the shards and calls onExpire with each.
func (t *tagRecords) expire(now time.Time, onExpire func(time.Time, tagRecord)) {
	const shardsPerTick = tagShards / 16
	ms := t.millis(now)
	for range shardsPerTick {
		s := &t.shards[t.nextShard]
		t.nextShard = (t.nextShard + 1) % tagShards
		for _, f := range t.expireShard(s, ms) {
			onExpire(now, f)
		}
	}
}

func (t *tagRecords) expireShard(s *tagShard, ms uint32) []tagRecord {
	s.Lock()
	defer s.Unlock()
	for h, until := range s.yielded {
		if !serialAfter(until, ms) {
			delete(s.yielded, h)
		}
	}
	var expired []tagRecord
	for h, f := range s.records {
		age := int32(ms - f.packetAt)
		isOver := age > int32(t.idleMillis)
		hasClosed := f.state == tagClosing && age > int32(closedRecordTTL/time.Millisecond)
		if f.state != tagEnded && (isOver || hasClosed) {
			expired = append(expired, f)
		}
		switch {
		case isOver:
			t.drop(s, h, &f)
		case hasClosed:
			t.end(s, h, f)
		}
	}
	return expired
}
