package soak

import (
	"net"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	// handshakeTimeout is how long a caller waits for a SYN-ACK.
	handshakeTimeout = 1400 * time.Millisecond
	// requestTimeout is how long a caller waits for a response; maxRetries is the number of further attempts at a
	// request, each on a new flow.
	requestTimeout = 3 * time.Second
	maxRetries     = 2
	// maxRequestsPerFlow bounds the number of requests on a flow; meanRequestGap is the mean time from a response to the
	// next request.
	maxRequestsPerFlow = 12
	meanRequestGap     = 400 * time.Millisecond
	// firstPort and portCount define the range of a caller's source ports. The range is small, so that a port is reused
	// after about 12 s, while daemons may still hold a record of the previous flow (kept for 15 s). portReuseDelay is
	// the minimum time between the end of a flow and the reuse of its port.
	firstPort      = 1024
	portCount      = 200
	portReuseDelay = 2 * time.Second
	// resetWindow is the greatest distance in bytes between the sequence number of a daemon's reset of an open flow and
	// the caller's last acknowledgement at which the protocol lets a caller accept the reset. A reset outside the window
	// also counts as a violation and is reported with a note.
	resetWindow = 76_800
)

// duplicateSYNTimes are the times, after the first SYN, at which a caller sends duplicate SYNs.
var duplicateSYNTimes = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// caller simulates a client that sends from one IP address.
type caller struct {
	h     *harness
	zone  string
	addr  netip.AddrPort
	conn  *net.UDPConn
	flows map[uint16]*flow
	// port is the last port used; portReusableAt holds, for each used port, the time from which it may be reused.
	port           uint16
	portReusableAt map[uint16]time.Time
	nextFlowAt     time.Time
}

// request is one request of a caller. It may take several attempts, each on its own flow.
type request struct {
	id         uint64
	attempt    uint32
	repeatable bool
	// onDone is called with the final result of the request; nil for background traffic.
	onDone func(answered bool)
}

// flow is a caller's state for one flow.
type flow struct {
	c         *caller
	key       packet.FlowKey
	route     Route
	startedAt time.Time
	// initial is the caller's initial sequence number, nextSeq its next one, expectedSeq the target's next one.
	initial, nextSeq, expectedSeq uint32
	tag                           uint32
	open                          bool
	// offeredTo is the first target that received a SYN of the flow, nil before.
	offeredTo *target
	// servedBy is the target that completed the handshake.
	servedBy *target
	// misrouted counts the packets that reached other targets since the last one that reached servedBy; misroutedSince
	// is the time of the first of them.
	misrouted      int
	misroutedSince time.Time
	// resetDistance is the distance in bytes from the caller's last acknowledgement to the sequence number of a reset.
	resetDistance int32
	// duplicateSYNs is the number of duplicate SYNs sent, requestsLeft the number of further requests to send.
	duplicateSYNs int
	requestsLeft  int
	// pending is the current request, nil between two requests. It was sent at sentAt and is retransmitted at
	// retransmitAt.
	pending           *request
	sentAt            time.Time
	retransmitAt      time.Time
	retransmitTimeout time.Duration
	nextRequestAt     time.Time
}

func (h *harness) newCaller(zone string, addr netip.AddrPort) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		h.fail(err)
		return
	}
	c := &caller{h: h, zone: zone, addr: addr, conn: conn, flows: make(map[uint16]*flow), portReusableAt: make(map[uint16]time.Time), nextFlowAt: time.Now()}
	h.callers = append(h.callers, c)
	go h.read(conn, func(now time.Time, from netip.AddrPort, raw []byte) { c.receive(now, from, raw) })
}

// newRequest returns a request with a new id for a route.
func (h *harness) newRequest(r Route, onDone func(bool)) *request {
	h.lastRequestID++
	return &request{id: h.lastRequestID, repeatable: r.Repeatable, onDone: onDone}
}

// openFlow opens a flow for a request; requestsLeft is the number of further requests that the flow may carry.
func (c *caller) openFlow(now time.Time, r Route, q *request, requestsLeft int) {
	c.port = c.freePort(now)
	f := &flow{
		c: c, route: r, startedAt: now, pending: q, requestsLeft: requestsLeft, initial: c.h.rand.Uint32(),
		key: packet.FlowKey{Caller: netip.AddrPortFrom(c.addr.Addr(), c.port), Service: r.Address},
	}
	f.nextSeq = f.initial + 1
	f.sentAt = now
	c.flows[c.port] = f
	f.send(Packet{Seq: f.initial, Flags: packet.SYN})
}

// freePort returns the next port after the last one used that has no flow and whose reuse delay has passed.
func (c *caller) freePort(now time.Time) uint16 {
	port := c.port
	for range portCount {
		port = firstPort + (port+1-firstPort)%portCount
		if c.flows[port] == nil && !now.Before(c.portReusableAt[port]) {
			break
		}
	}
	return port
}

// removeFlow removes a finished flow and starts the reuse delay of its port.
func (c *caller) removeFlow(now time.Time, f *flow) {
	delete(c.flows, f.key.Caller.Port())
	c.portReusableAt[f.key.Caller.Port()] = now.Add(portReuseDelay)
}

func (f *flow) send(p Packet) {
	p.Src, p.Dst = f.key.Caller, f.key.Service
	if e := f.c.h.route(f.c.zone, f.key); e != nil && !f.c.h.links.drops(f.c.h.rand, f.c.zone, e.zone, false) {
		raw := f.c.h.dialect.AppendPacket(nil, p)
		f.c.h.write(f.c.conn, e.addrPort(dataPort), raw)
		f.c.h.duplicateLater(f.c.conn, e.addrPort(dataPort), raw, p.Flags)
	}
}

func (f *flow) sendRequest() {
	id := history.AttemptID{Request: f.pending.id, Attempt: f.pending.attempt}
	f.send(Packet{Seq: f.nextSeq, Ack: f.expectedSeq, Flags: packet.ACK, Tag: f.tag, Data: appendRequest(id)})
}

func (c *caller) tick(now time.Time) {
	if c.h.trafficOn && !now.Before(c.nextFlowAt) {
		c.nextFlowAt = now.Add(c.h.randomWait(c.h.shape.meanFlowGap))
		r := c.h.randomRoute()
		c.openFlow(now, r, c.h.newRequest(r, nil), c.h.rand.IntN(maxRequestsPerFlow))
	}
	for _, f := range c.flows {
		f.tick(now)
	}
}

func (f *flow) tick(now time.Time) {
	switch {
	case !f.open:
		f.tickHandshake(now)
	case f.pending == nil:
		if !now.Before(f.nextRequestAt) {
			f.requestsLeft--
			f.startRequest(now, f.c.h.newRequest(f.route, nil))
		}
	case now.Sub(f.sentAt) >= requestTimeout:
		f.end(now, history.AttemptUnknown, history.CauseTimedOut)
	case !now.Before(f.retransmitAt):
		f.retransmitTimeout = min(2*f.retransmitTimeout, maxRetransmitTimeout)
		f.retransmitAt = now.Add(f.retransmitTimeout)
		f.sendRequest()
	}
}

func (f *flow) tickHandshake(now time.Time) {
	waited := now.Sub(f.startedAt)
	if waited >= handshakeTimeout {
		f.end(now, history.AttemptNotRun, history.CauseUnresponsive)
		return
	}
	if f.duplicateSYNs < len(duplicateSYNTimes) && waited >= duplicateSYNTimes[f.duplicateSYNs] {
		f.duplicateSYNs++
		f.send(Packet{Seq: f.initial, Ack: uint32(f.duplicateSYNs), Flags: packet.SYN})
	}
}

// startRequest sends a new request on an open flow.
func (f *flow) startRequest(now time.Time, q *request) {
	f.pending, f.sentAt = q, now
	f.retransmitTimeout = initialRetransmitTimeout
	f.retransmitAt = now.Add(f.retransmitTimeout)
	f.sendRequest()
}

// receive handles a datagram from a target or a daemon.
func (c *caller) receive(now time.Time, from netip.AddrPort, raw []byte) {
	p, ok := c.h.dialect.ReadPacket(raw)
	if !ok {
		return
	}
	c.h.checkOwnPacket(from, p)
	f := c.flows[p.Dst.Port()]
	if f == nil || p.Src != f.key.Service {
		return
	}
	switch {
	case p.Flags.Has(packet.RST):
		f.resetDistance = int32(p.Seq - f.expectedSeq)
		f.handleReset(now, from, p.Ack)
	case !f.open && p.Flags.Has(packet.SYN|packet.ACK) && p.Ack == f.nextSeq:
		f.open, f.expectedSeq, f.tag = true, p.Seq+1, p.Tag
		f.servedBy = c.h.targetAt(from)
		f.startRequest(now, f.pending)
	case f.open && f.ownsSeq(p.Ack) && p.Flags.Has(packet.SYN):
		f.tag = p.Tag // also of a second target, as the protocol specification has it
	case f.open && f.ownsSeq(p.Ack):
		f.handlePacket(now, p)
	}
}

// ownsSeq reports whether a sequence number of the caller belongs to this flow and not to an earlier one from the
// same port.
func (f *flow) ownsSeq(seq uint32) bool {
	return seq-f.initial <= f.nextSeq+requestBytes-f.initial
}

func (f *flow) handlePacket(now time.Time, p Packet) {
	f.tag = p.Tag
	if p.Ack == f.nextSeq+requestBytes {
		f.nextSeq = p.Ack
		f.retransmitAt = now.Add(requestTimeout) // the target has received the request; its response follows
	}
	if len(p.Data) != requestBytes || p.Seq != f.expectedSeq {
		return
	}
	f.expectedSeq += requestBytes
	f.send(Packet{Seq: f.nextSeq, Ack: f.expectedSeq, Flags: packet.ACK, Tag: f.tag})
	if f.pending == nil {
		return
	}
	f.c.h.recordOutcome(now, f, history.AttemptAnswered, history.CauseNone, readRequest(p.Data))
	if f.pending.onDone != nil {
		f.pending.onDone(true)
	}
	f.pending = nil
	f.nextRequestAt = now.Add(f.c.h.randomWait(meanRequestGap))
	if f.requestsLeft <= 0 || !f.c.h.trafficOn {
		f.send(Packet{Seq: f.nextSeq, Ack: f.expectedSeq, Flags: packet.ACK | packet.FIN, Tag: f.tag})
		f.c.removeFlow(now, f)
	}
}

// handleReset ends the flow, and checks whether a reset of an open flow was allowed. refusedSeq, the acknowledgement
// number of a target's reset, names the packet that it refuses. The reset is ignored if that packet was a late one of
// an earlier flow rather than a packet or SYN of this flow.
func (f *flow) handleReset(now time.Time, from netip.AddrPort, refusedSeq uint32) {
	if f.c.h.entryAt(from) == nil && !f.ownsSeq(refusedSeq) {
		return
	}
	if !f.open {
		f.end(now, history.AttemptNotRun, history.CauseReset)
		return
	}
	f.c.h.checkReset(now, f, from)
	f.end(now, history.AttemptUnknown, history.CauseReset)
}

// end ends the flow, records the outcome of the pending request, and retries the request on a new flow where that is
// safe.
func (f *flow) end(now time.Time, result history.AttemptResult, cause history.Cause) {
	f.c.removeFlow(now, f)
	q := f.pending
	if q == nil {
		return
	}
	f.c.h.recordOutcome(now, f, result, cause, history.AttemptID{})
	if q.attempt < maxRetries && (result == history.AttemptNotRun || q.repeatable) {
		q.attempt++
		f.c.openFlow(now, f.route, q, f.requestsLeft)
		return
	}
	if q.onDone != nil {
		q.onDone(false)
	}
}
