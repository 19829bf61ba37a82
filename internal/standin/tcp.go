package standin

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/packet"
)

const (
	segmentBytes = 1200
	windowBytes  = 32 * segmentBytes
	// aheadSegments bounds the number of stored out-of-order segments of a connection.
	aheadSegments = 64
	// firstRTO and maxRTO bound the retransmission timeout, which doubles with each retransmission.
	firstRTO = 200 * time.Millisecond
	maxRTO   = 3 * time.Second
	// synRetries and dataRetries are the numbers of consecutive retransmissions before a connection is closed.
	synRetries  = 5
	dataRetries = 8
	// duplicateAckRun is the number of duplicate acknowledgements that trigger a fast retransmission.
	duplicateAckRun = 3
)

// connState is the state of a conn.
type connState uint8

const (
	connSynSent connState = iota + 1
	connSynReceived
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
	// endSilent: no acknowledgement was received for any retransmission.
	endSilent
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
	// resetText is the payload of the RST that ended the connection.
	resetText []byte

	// out holds the sent but unacknowledged bytes, from sndUna on, and the queued ones.
	out                    []byte
	sndUna, sndNxt, sndMax uint32
	closing, finAcked      bool
	duplicateAcks          int

	// in holds the bytes received in order that the owner of the conn has not processed yet.
	in       []byte
	received int
	rcvNxt   uint32
	ahead    map[uint32]segment
	peerFin  bool

	rto     time.Duration
	retries int
	timerAt time.Time
	send    func(flags packet.Flags, seq, ack uint32, payload []byte)
}

// dial starts a connection by sending a SYN.
func (c *conn) dial(now time.Time, iss uint32) {
	c.state = connSynSent
	c.startSequence(iss)
	c.transmit(packet.SYN, iss, nil)
	c.arm(now)
}

// accept starts a connection for a received SYN.
func (c *conn) accept(now time.Time, iss uint32, syn segment) {
	c.state = connSynReceived
	c.startSequence(iss)
	c.rcvNxt = syn.seq + 1
	c.transmit(packet.SYN, iss, nil)
	c.arm(now)
}

func (c *conn) startSequence(iss uint32) {
	c.sndUna = iss
	c.sndNxt = iss + 1
	c.sndMax = iss + 1
	c.rto = firstRTO
}

// transmit sends one segment. All segments except a caller's SYN carry an acknowledgement.
func (c *conn) transmit(flags packet.Flags, seq uint32, payload []byte) {
	if c.state != connSynSent {
		flags |= packet.ACK
	}
	c.send(flags, seq, c.ackValue(), payload)
}

func (c *conn) ackValue() uint32 {
	if c.state == connSynSent {
		return 0
	}
	return c.rcvNxt
}

// write queues bytes and sends as many as the window allows.
func (c *conn) write(now time.Time, data []byte) {
	c.out = append(c.out, data...)
	c.pump(now)
}

// close sends a FIN after all queued bytes.
func (c *conn) close(now time.Time) {
	c.closing = true
	c.pump(now)
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
	c.ahead = nil
}

// pump sends queued bytes as far as the window allows, and the FIN after the last one.
func (c *conn) pump(now time.Time) {
	if c.state != connEstablished {
		return
	}
	for c.sendNext() {
	}
	if c.sndNxt != c.sndUna && c.timerAt.IsZero() {
		c.arm(now)
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
	case c.state == connSynSent:
		c.handleSynAck(now, s)
	case s.flags&packet.SYN != 0:
		c.handleLateSyn(s)
	default:
		c.handleAck(now, s)
		c.handleData(now, s)
	}
}

// handleReset closes the connection if the RST is within the receive window.
func (c *conn) handleReset(s segment) {
	if c.state == connSynSent {
		if s.flags&packet.ACK == 0 || s.ack != c.sndNxt {
			return
		}
	} else if s.seq-c.rcvNxt >= windowBytes {
		return
	}
	c.resetText = append([]byte(nil), s.payload...)
	c.finish(endReset)
}

func (c *conn) handleSynAck(now time.Time, s segment) {
	want := packet.SYN | packet.ACK
	if s.flags&want != want || s.ack != c.sndNxt {
		return
	}
	c.rcvNxt = s.seq + 1
	c.open(s.ack)
	c.transmit(0, c.sndNxt, nil)
	c.pump(now)
}

// open completes the handshake.
func (c *conn) open(ack uint32) {
	c.state = connEstablished
	c.sndUna = ack
	c.retries = 0
	c.rto = firstRTO
	c.timerAt = time.Time{}
}

// handleLateSyn retransmits the SYN-ACK of a half-open connection for a duplicate SYN, and answers any
// other SYN with an acknowledgement of the expected sequence number.
func (c *conn) handleLateSyn(s segment) {
	if c.state == connSynReceived && s.seq+1 == c.rcvNxt {
		c.transmit(packet.SYN, c.sndUna, nil)
		return
	}
	c.transmit(0, c.sndNxt, nil)
}

func (c *conn) handleAck(now time.Time, s segment) {
	if s.flags&packet.ACK == 0 || seqAfter(s.ack, c.sndMax) {
		return
	}
	if c.state == connSynReceived {
		if s.ack != c.sndNxt {
			return
		}
		c.open(s.ack)
	}
	if seqAfter(s.ack, c.sndUna) {
		c.acknowledge(now, s.ack)
		return
	}
	c.countDuplicateAck(now, s)
}

// acknowledge removes the acknowledged bytes from out and sends more.
func (c *conn) acknowledge(now time.Time, ack uint32) {
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
	c.rto = firstRTO
	c.timerAt = time.Time{}
	c.pump(now)
	c.finishIfDone()
}

// countDuplicateAck retransmits the first unacknowledged segment after duplicateAckRun duplicates.
func (c *conn) countDuplicateAck(now time.Time, s segment) {
	if s.ack != c.sndUna || len(s.payload) > 0 || len(c.out) == 0 || c.sndNxt == c.sndUna {
		return
	}
	c.duplicateAcks++
	if c.duplicateAcks != duplicateAckRun {
		return
	}
	c.transmit(packet.PSH, c.sndUna, c.out[:min(len(c.out), segmentBytes)])
	c.arm(now)
}

// handleData delivers or stores the segment's data and acknowledges it.
func (c *conn) handleData(now time.Time, s segment) {
	fin := s.flags&packet.FIN != 0
	if c.state != connEstablished || (len(s.payload) == 0 && !fin) {
		return
	}
	if seqAfter(s.seq, c.rcvNxt) {
		c.keepAhead(s)
	} else {
		c.deliver(s)
		c.deliverAhead()
	}
	c.transmit(0, c.sndNxt, nil)
	c.finishIfDone()
}

// keepAhead stores an out-of-order segment.
func (c *conn) keepAhead(s segment) {
	if len(c.ahead) >= aheadSegments {
		return
	}
	if c.ahead == nil {
		c.ahead = make(map[uint32]segment)
	}
	s.payload = append([]byte(nil), s.payload...)
	c.ahead[s.seq] = s
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

// deliverAhead delivers the stored segments that are now in order.
func (c *conn) deliverAhead() {
	for {
		s, found := c.ahead[c.rcvNxt]
		if !found {
			return
		}
		delete(c.ahead, s.seq)
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
		c.finish(endSilent)
		return
	}
	c.rto = min(2*c.rto, maxRTO)
	c.timerAt = time.Time{}
	c.retransmit(now)
}

func (c *conn) maxRetries() int {
	if c.state == connEstablished {
		return dataRetries
	}
	return synRetries
}

// retransmit sends everything from the first unacknowledged byte on again, as far as the window allows.
func (c *conn) retransmit(now time.Time) {
	if c.state != connEstablished {
		c.transmit(packet.SYN, c.sndUna, nil)
		c.arm(now)
		return
	}
	c.sndNxt = c.sndUna
	c.pump(now)
}

// window returns the maximum number of unacknowledged bytes; it halves with every retransmission.
func (c *conn) window() int {
	return max(windowBytes>>c.retries, 2*segmentBytes)
}

func (c *conn) arm(now time.Time) {
	c.timerAt = now.Add(c.rto)
}

// seqAfter reports whether sequence number a is after b, modulo 2^32.
func seqAfter(a, b uint32) bool {
	return int32(a-b) > 0
}
