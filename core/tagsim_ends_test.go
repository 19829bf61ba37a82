package core

import (
	"time"

	"github.com/fireflypin/fireflypin/packet"
)

const (
	// simRepeat is the first retransmission timeout of an endpoint. It doubles with each retransmission up to
	// simRepeatMost.
	simRepeat     = 200 * time.Millisecond
	simRepeatMost = 1600 * time.Millisecond
	// simTries is the number of retransmissions after which a target drops a flow.
	simTries = 8
)

// simSegment is a TCP segment. PSH marks the last segment of a request or an answer.
type simSegment struct {
	seq   uint32
	n     int
	flags packet.Flags
}

func (s simSegment) end() uint32 {
	m := packet.Meta{Seq: s.seq, Flags: s.flags, PayloadLen: s.n}
	return m.Seq + m.SegmentLen()
}

// simSender is the sending half of an endpoint.
type simSender struct {
	w    *sim
	next uint32
	// waiting holds the unacknowledged segments. tries counts their retransmissions since the last acknowledgement of
	// new data.
	waiting []simSegment
	tries   int
	timer   int
	send    func(simSegment)
	// giveUp ends the flow after simTries retransmissions; nil for a caller, which has its own timeout.
	giveUp func()
	over   bool
}

// push sends a new segment with n bytes of data.
func (s *simSender) push(n int, flags packet.Flags) {
	g := simSegment{seq: s.next, n: n, flags: flags}
	s.next = g.end()
	s.waiting = append(s.waiting, g)
	s.send(g)
	if len(s.waiting) == 1 {
		s.tries = 0
		s.arm()
	}
}

// pushAll sends a request or an answer of several packets with n bytes of data each.
func (s *simSender) pushAll(packets, n int) {
	for i := range packets {
		flags := packet.ACK
		if i == packets-1 {
			flags |= packet.PSH
		}
		s.push(n, flags)
	}
}

// arm starts the retransmission timer.
func (s *simSender) arm() {
	s.timer++
	timer := s.timer
	s.w.after(min(simRepeat<<s.tries, simRepeatMost), func() {
		if timer == s.timer && len(s.waiting) > 0 && !s.over {
			s.repeat()
		}
	})
}

func (s *simSender) repeat() {
	s.tries++
	if s.giveUp != nil && s.tries > simTries {
		s.giveUp()
		return
	}
	for _, g := range s.waiting {
		s.send(g)
	}
	s.arm()
}

// acked processes an acknowledgement of the other endpoint.
func (s *simSender) acked(ack uint32) {
	n := 0
	for n < len(s.waiting) && !newer(s.waiting[n].end(), ack) {
		n++
	}
	if n == 0 {
		return
	}
	s.waiting = s.waiting[n:]
	s.tries = 0
	s.arm()
}

// simReceiver is the receiving half of an endpoint.
type simReceiver struct {
	next  uint32
	ahead map[uint32]simSegment
	// pending counts the received segments that have not been acknowledged.
	pending int
}

// take returns the segments that g makes available in order. known is true if g was received before.
func (r *simReceiver) take(g simSegment) (done []simSegment, known bool) {
	if newer(r.next, g.seq) {
		return nil, true
	}
	if r.ahead == nil {
		r.ahead = make(map[uint32]simSegment)
	}
	r.ahead[g.seq] = g
	for {
		g, ok := r.ahead[r.next]
		if !ok {
			return done, false
		}
		delete(r.ahead, r.next)
		r.next = g.end()
		r.pending++
		done = append(done, g)
	}
}
