package standin

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/packet"
)

const (
	segmentBytes = 1200
	windowBytes  = 32 * segmentBytes
	// maxOutOfOrderSegments bounds the number of stored out-of-order segments of a connection.
	maxOutOfOrderSegments = 64
	// initialRTO and maxRTO bound the retransmission timeout, which doubles with each retransmission.
	initialRTO = 200 * time.Millisecond
	maxRTO     = 3 * time.Second
	// maxSYNRetries and maxDataRetries are the numbers of consecutive retransmissions before a connection is closed.
	maxSYNRetries  = 5
	maxDataRetries = 8
	// fastRetransmitThreshold is the number of duplicate acknowledgements that trigger a fast retransmission.
	fastRetransmitThreshold = 3
)

// connState is the state of a conn.
type connState uint8

const (
	connSYNSent connState = iota + 1
	connSYNReceived
	connEstablished
	connClosed
)

// connEnd is the reason why a conn is closed.
type connEnd uint8

const (
	_ connEnd = iota
	// endFinished: both sides closed the connection.
	endFinished
	// endReset: the peer reset the connection.
	endReset
	// endTimedOut: no acknowledgement was received for any retransmission.
	endTimedOut
	// endAborted: this side reset the connection.
	endAborted
)

// segment is a decoded TCP segment.
type segment struct {
	flags    packet.Flags
	seq, ack uint32
	payload  []byte
}

// conn is one side of a minimal TCP connection: in-order delivery, retransmission, and closing by FIN or
// RST, with a fixed receive window and without congestion control.
type conn struct {
	local, remote netip.AddrPort
	state         connState
	end           connEnd
	// resetPayload is the payload of the RST that ended the connection.
	resetPayload []byte

	// out holds the sent but unacknowledged bytes, from sndUna on, and the queued ones.
	out                    []byte
	sndUna, sndNxt, sndMax uint32
	closing, finAcked      bool
	duplicateAcks          int

	// in holds the bytes received in order that the owner of the conn has not processed yet.
	in         []byte
	received   int
	rcvNxt     uint32
	outOfOrder map[uint32]segment
	peerFin    bool

	rto     time.Duration
	retries int
	timerAt time.Time
	send    func(flags packet.Flags, seq, ack uint32, payload []byte)
}

// dial starts a connection by sending a SYN.
func (c *conn) dial(now time.Time, iss uint32) {
	c.state = connSYNSent
	c.initSequence(iss)
	c.transmit(packet.SYN, iss, nil)
	c.startTimer(now)
}

// accept starts a connection for a received SYN.
func (c *conn) accept(now time.Time, iss uint32, syn segment) {
	c.state = connSYNReceived
	c.initSequence(iss)
	c.rcvNxt = syn.seq + 1
	c.transmit(packet.SYN, iss, nil)
	c.startTimer(now)
}

func (c *conn) initSequence(iss uint32) {
	c.sndUna = iss
	c.sndNxt = iss + 1
	c.sndMax = iss + 1
	c.rto = initialRTO
}

// transmit sends one segment. All segments except a caller's SYN carry an acknowledgement.
func (c *conn) transmit(flags packet.Flags, seq uint32, payload []byte) {
	if c.state != connSYNSent {
		flags |= packet.ACK
	}
	c.send(flags, seq, c.ackValue(), payload)
}

func (c *conn) ackValue() uint32 {
	if c.state == connSYNSent {
		return 0
	}
	return c.rcvNxt
}

// write queues bytes and sends as many as the window allows.
func (c *conn) write(now time.Time, data []byte) {
	c.out = append(c.out, data...)
	c.sendPending(now)
}

// close sends a FIN after all queued bytes.
func (c *conn) close(now time.Time) {
	c.closing = true
	c.sendPending(now)
}

// abort closes the connection with a RST.
func (c *conn) abort() {
	if c.state == connClosed {
		return
	}
	c.transmit(packet.RST, c.sndNxt, nil)
	c.finish(endAborted)
}

func (c *conn) finish(end connEnd) {
	c.state = connClosed
	c.end = end
	c.timerAt = time.Time{}
	c.out = nil
	c.outOfOrder = nil
}

// sendPending sends queued bytes as far as the window allows, and the FIN after the last one.
func (c *conn) sendPending(now time.Time) {
	if c.state != connEstablished {
		return
	}
	for c.sendNext() {
	}
	if c.sndNxt != c.sndUna && c.timerAt.IsZero() {
		c.startTimer(now)
	}
}

// sendNext sends one segment of new data or the FIN. It returns false if no more data can be sent.
func (c *conn) sendNext() bool {
	sent := int(c.sndNxt - c.sndUna)
	if sent < len(c.out) && sent < c.window() {
		chunk := c.out[sent:min(len(c.out), sent+segmentBytes)]
		c.transmit(packet.PSH, c.sndNxt, chunk)
		c.advance(uint32(len(chunk)))
		return true
	}
	if c.closing && !c.finAcked && sent == len(c.out) {
		c.transmit(packet.FIN, c.sndNxt, nil)
		c.advance(1)
	}
	return false
}

func (c *conn) advance(n uint32) {
	c.sndNxt += n
	if seqAfter(c.sndNxt, c.sndMax) {
		c.sndMax = c.sndNxt
	}
}

// handle processes a segment from the peer.
func (c *conn) handle(now time.Time, s segment) {
	switch {
	case c.state == connClosed:
	case s.flags&packet.RST != 0:
		c.handleReset(s)
	case c.state == connSYNSent:
		c.handleSYNACK(now, s)
	case s.flags&packet.SYN != 0:
		c.handleDuplicateSYN(s)
	default:
		c.handleAck(now, s)
		c.handleData(now, s)
	}
}

// handleReset closes the connection if the RST is within the receive window.
func (c *conn) handleReset(s segment) {
	if c.state == connSYNSent {
		if s.flags&packet.ACK == 0 || s.ack != c.sndNxt {
			return
		}
	} else if s.seq-c.rcvNxt >= windowBytes {
		return
	}
	c.resetPayload = append([]byte(nil), s.payload...)
	c.finish(endReset)
}

func (c *conn) handleSYNACK(now time.Time, s segment) {
	want := packet.SYN | packet.ACK
	if s.flags&want != want || s.ack != c.sndNxt {
		return
	}
	c.rcvNxt = s.seq + 1
	c.establish(s.ack)
	c.transmit(0, c.sndNxt, nil)
	c.sendPending(now)
}

// establish completes the handshake.
func (c *conn) establish(ack uint32) {
	c.state = connEstablished
	c.sndUna = ack
	c.retries = 0
	c.rto = initialRTO
	c.timerAt = time.Time{}
}

// handleDuplicateSYN retransmits the SYN-ACK of a half-open connection for a duplicate SYN, and answers any
// other SYN with an acknowledgement of the expected sequence number.
func (c *conn) handleDuplicateSYN(s segment) {
	if c.state == connSYNReceived && s.seq+1 == c.rcvNxt {
		c.transmit(packet.SYN, c.sndUna, nil)
		return
	}
	c.transmit(0, c.sndNxt, nil)
}

func (c *conn) handleAck(now time.Time, s segment) {
	if s.flags&packet.ACK == 0 || seqAfter(s.ack, c.sndMax) {
		return
	}
	if c.state == connSYNReceived {
		if s.ack != c.sndNxt {
			return
		}
		c.establish(s.ack)
	}
	if seqAfter(s.ack, c.sndUna) {
		c.handleNewAck(now, s.ack)
		return
	}
	c.handleDuplicateAck(now, s)
}

// handleNewAck removes the acknowledged bytes from out and sends more.
func (c *conn) handleNewAck(now time.Time, ack uint32) {
	n := int(ack - c.sndUna)
	if n > len(c.out) {
		c.finAcked = true
		n = len(c.out)
	}
	c.out = c.out[n:]
	if len(c.out) == 0 {
		c.out = nil
	}
	c.sndUna = ack
	if seqAfter(ack, c.sndNxt) {
		c.sndNxt = ack
	}
	c.duplicateAcks = 0
	c.retries = 0
	c.rto = initialRTO
	c.timerAt = time.Time{}
	c.sendPending(now)
	c.finishIfDone()
}

// handleDuplicateAck retransmits the first unacknowledged segment after fastRetransmitThreshold duplicates.
func (c *conn) handleDuplicateAck(now time.Time, s segment) {
	if s.ack != c.sndUna || len(s.payload) > 0 || len(c.out) == 0 || c.sndNxt == c.sndUna {
		return
	}
	c.duplicateAcks++
	if c.duplicateAcks != fastRetransmitThreshold {
		return
	}
	c.transmit(packet.PSH, c.sndUna, c.out[:min(len(c.out), segmentBytes)])
	c.startTimer(now)
}

// handleData delivers or stores the segment's data and acknowledges it.
func (c *conn) handleData(now time.Time, s segment) {
	fin := s.flags&packet.FIN != 0
	if c.state != connEstablished || (len(s.payload) == 0 && !fin) {
		return
	}
	if seqAfter(s.seq, c.rcvNxt) {
		c.storeOutOfOrder(s)
	} else {
		c.deliver(s)
		c.deliverOutOfOrder()
	}
	c.transmit(0, c.sndNxt, nil)
	c.finishIfDone()
}

// storeOutOfOrder stores an out-of-order segment.
func (c *conn) storeOutOfOrder(s segment) {
	if len(c.outOfOrder) >= maxOutOfOrderSegments {
		return
	}
	if c.outOfOrder == nil {
		c.outOfOrder = make(map[uint32]segment)
	}
	s.payload = append([]byte(nil), s.payload...)
	c.outOfOrder[s.seq] = s
}

// deliver appends the new bytes of a segment to in.
func (c *conn) deliver(s segment) {
	old := int(c.rcvNxt - s.seq)
	if old <= len(s.payload) {
		fresh := s.payload[old:]
		c.in = append(c.in, fresh...)
		c.received += len(fresh)
		c.rcvNxt += uint32(len(fresh))
	}
	end := s.seq + uint32(len(s.payload))
	if s.flags&packet.FIN != 0 && end == c.rcvNxt && !c.peerFin {
		c.peerFin = true
		c.rcvNxt++
	}
}

// deliverOutOfOrder delivers the stored segments that are now in order.
func (c *conn) deliverOutOfOrder() {
	for {
		s, found := c.outOfOrder[c.rcvNxt]
		if !found {
			return
		}
		delete(c.outOfOrder, s.seq)
		c.deliver(s)
	}
}

func (c *conn) finishIfDone() {
	if c.closing && c.finAcked && c.peerFin {
		c.finish(endFinished)
	}
}

// tick retransmits after a timeout, or closes the connection after the last retry.
func (c *conn) tick(now time.Time) {
	if c.timerAt.IsZero() || c.timerAt.After(now) {
		return
	}
	c.retries++
	if c.retries > c.maxRetries() {
		c.finish(endTimedOut)
		return
	}
	c.rto = min(2*c.rto, maxRTO)
	c.timerAt = time.Time{}
	c.retransmit(now)
}

func (c *conn) maxRetries() int {
	if c.state == connEstablished {
		return maxDataRetries
	}
	return maxSYNRetries
}

// retransmit sends everything from the first unacknowledged byte on again, as far as the window allows.
func (c *conn) retransmit(now time.Time) {
	if c.state != connEstablished {
		c.transmit(packet.SYN, c.sndUna, nil)
		c.startTimer(now)
		return
	}
	c.sndNxt = c.sndUna
	c.sendPending(now)
}

// window returns the maximum number of unacknowledged bytes; it halves with every retransmission, down to
// two segments.
func (c *conn) window() int {
	return max(windowBytes>>c.retries, 2*segmentBytes)
}

func (c *conn) startTimer(now time.Time) {
	c.timerAt = now.Add(c.rto)
}

// seqAfter reports whether sequence number a is after b, modulo 2^32.
func seqAfter(a, b uint32) bool {
	return int32(a-b) > 0
}
