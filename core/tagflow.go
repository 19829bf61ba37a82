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

// tagState is how far a flow has come, as its caller's packets tell.
type tagState uint8

const (
	// tagOpening is a flow whose caller has not acknowledged a target's answer yet.
	tagOpening tagState = iota
	tagOpen
	// tagClosing is a flow whose caller has ended it.
	tagClosing
)

const (
	// tagShards is the number of shards of the records.
	tagShards = 64
	// repeatAfter is the time from which the same data again is a retransmission and not a copy that the
	// network made; ends repeat after 200 ms.
	repeatAfter = 150 * time.Millisecond
	// closedFor is how long a flow that has ended stays known, for the last packets of its ends.
	closedFor = 2 * time.Second
)

// tagFlow is a daemon's record of one flow. It holds evidence; the flow's way is in the packets' tags.
type tagFlow struct {
	target model.TargetID
	tag    flowtag.Tag
	// caller and service are the flow's ends, isn is the number that its SYN carried; 0 where another daemon saw
	// that.
	caller, service flow.Endpoint
	isn             uint32
	// seq and ack are the highest numbers that the caller has sent.
	seq, ack uint32
	// at is the time of the last packet that told something new, last that of the last packet; in
	// milliseconds since the epoch.
	at, last uint32
	state    tagState
	// asked is true while the caller has sent data since it last acknowledged some: a request may be under way.
	asked bool
	// copies counts the repetitions of the SYN, repeats those of the data that the caller sent last.
	copies, repeats uint8
	// customer is set for flows that were admitted here, and counted by the limits.
	customer *model.Customer
}

// openings are flows whose SYN was sent to a target, in the order of their times.
type openings struct {
	sync.Mutex
	waiting []opening
	// late is the share, 0 to 1, of the openings lately that were not answered in time.
	late float64
}

type opening struct {
	hash model.FlowHash
	at   time.Time
}

// maxOpenings bounds the flows that are looked at again; beyond it new ones are not.
const maxOpenings = 4096

func (o *openings) add(now time.Time, h model.FlowHash) {
	o.Lock()
	defer o.Unlock()
	if len(o.waiting) < maxOpenings {
		o.waiting = append(o.waiting, opening{hash: h, at: now})
	}
}

// due removes and returns the flows that have waited for a time.
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

// judged notes whether an opening was answered too late.
func (o *openings) judged(late bool) {
	o.Lock()
	defer o.Unlock()
	o.late *= 1 - lateWeight
	if late {
		o.late += lateWeight
	}
}

// oftenLate reports whether so many openings are answered too late that it tells nothing of one target.
func (o *openings) oftenLate() bool {
	o.Lock()
	defer o.Unlock()
	return o.late >= lateShare
}

// tagProgress is what a packet told of its flow.
type tagProgress struct {
	before, after tagFlow
	// added is true for a flow that had no record, replaced for one whose ends had the record of another flow: before.
	added, replaced bool
	// opened is true for the first packet after a target's answer to the SYN.
	opened bool
	// retargeted is true where that packet names another target than the record did.
	retargeted bool
	// answered is true where the acknowledgement moved on, so that the target has sent data.
	answered bool
	// repeated is true for a retransmission.
	repeated bool
	// closed is true where the caller ended the flow.
	closed bool
	// waited is the time from the last packet with news to this one.
	waited time.Duration
}

// tagFlows holds the records of flows in shards under their own locks.
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

// put writes a flow's record. Beyond the bound only flows that have one are written.
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

// remove drops a flow's record and returns it.
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

// packet notes a packet of an open flow. A flow without a record gets the one that learn returns for the tag; false
// means that there is none.
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

// replace notes a packet whose numbers are those of another flow between the same ends, which another daemon opened.
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

// begin notes the first packet after a SYN, or the first one of a flow that another daemon opened.
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

// advance notes a further packet of a flow.
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

// closeOn notes a packet that ends the flow on the caller's side; it returns true the first time.
func (f *tagFlow) closeOn(m *packet.Meta) bool {
	if f.state == tagClosing || m.Flags&(packet.FIN|packet.RST) == 0 {
		return false
	}
	f.state = tagClosing
	return true
}

// continuedBy reports whether a packet's numbers are those of the recorded flow, and not of another one between the same
// ends.
func (f *tagFlow) continuedBy(m *packet.Meta) bool {
	if f.state == tagOpening {
		return m.Seq-f.seq < flow.Window
	}
	return flow.Near(m.Seq, f.seq, flow.Window) && (!m.Flags.Has(packet.ACK) || flow.Near(m.Ack, f.ack, flow.Window))
}

// lateCopy reports whether a SYN is a copy of the one that opened this flow: the network or a full link held it back. Of a
// flow that another daemon opened it is known by its number, which is a little behind the flow's.
func (f *tagFlow) lateCopy(m *packet.Meta) bool {
	switch {
	case f.state == tagOpening:
		return false
	case f.isn != 0:
		return f.isn == m.Seq
	}
	return f.state == tagOpen && f.seq-m.Seq < flow.Window
}

// newer compares two sequence numbers that wrap around.
func newer(a, b uint32) bool {
	return int32(a-b) > 0
}

// expire drops the records of one sixteenth of the shards that are over, and hands them to released.
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
