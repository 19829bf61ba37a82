package soak

import (
	"net"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	// openTime is how long a caller waits for a SYN+ACK.
	openTime = 1400 * time.Millisecond
	// requestTime is how long a caller waits for a response; retries is the number of further attempts at a request.
	requestTime = 3 * time.Second
	retries     = 2
	// maxRequests bounds the number of requests on a flow; pauseTime is the mean time between two of them.
	maxRequests = 12
	pauseTime   = 400 * time.Millisecond
	// lastTagShare is the share of flows (0 to 1) whose callers return the tag of the last packet received on the flow,
	// even if that packet is a SYN+ACK from a second target. This is the protocol specification read strictly. The other
	// callers keep the tag of the target that completed the handshake, as observed for the callers of the users' bench
	// (98 flows). Daemons must handle both.
	lastTagShare = 0.5
	// firstPort and portCount give a caller's source ports. The range is small, so that a port is reused after about
	// 12 s, while daemons may still hold a record of the previous flow (kept for 15 s). portRest is the minimum time
	// between the end of a flow and the reuse of its port.
	firstPort = 1024
	portCount = 200
	portRest  = 2 * time.Second
	// resetWindow is the greatest distance in bytes between the sequence number of a daemon's reset of an open flow and
	// the caller's last acknowledgement (protocol). A reset outside the window also counts as a violation and is
	// reported with a note.
	resetWindow = 76_800
)

// synCopies are the times, after the first SYN, at which a caller sends duplicate SYNs.
var synCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// caller simulates a client that sends from one IP address.
type caller struct {
	w     *world
	zone  string
	addr  netip.AddrPort
	conn  *net.UDPConn
	flows map[uint16]*flow
	// port is the last port used; rested holds, for each used port, the time from which it may be reused.
	port   uint16
	rested map[uint16]time.Time
	next   time.Time
}

// request is one request of a caller. It may take several attempts, each on its own flow.
type request struct {
	id         uint64
	attempt    uint32
	repeatable bool
	// done is called with the final result of the request; nil for background traffic.
	done func(answered bool)
}

// flow is the caller's state of a flow.
type flow struct {
	c     *caller
	key   packet.FlowKey
	route Route
	began time.Time
	// first is the caller's initial sequence number, next its next one, expected the next one from the target.
	first, next, expected uint32
	tag                   uint32
	open                  bool
	// lastTag is true for a caller that returns the last tag received, whichever target sent it; see lastTagShare.
	lastTag bool
	// holder is the target that completed the handshake.
	holder *target
	// strays counts the packets that reached other targets since the last one that reached holder; strayedAt is the
	// time of the first of them.
	strays    int
	strayedAt time.Time
	// resetAhead is the distance in bytes from the caller's last acknowledgement to the sequence number of a reset.
	resetAhead int32
	// copies is the number of duplicate SYNs sent, left the number of further requests to send on the flow.
	copies int
	left   int
	// wanted is the pending request, nil between two requests. It was sent at sent and is retransmitted at repeatAt.
	wanted   *request
	sent     time.Time
	repeatAt time.Time
	repeat   time.Duration
	askAt    time.Time
}

func (w *world) newCaller(zone string, addr netip.AddrPort) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		w.fail(err)
		return
	}
	c := &caller{w: w, zone: zone, addr: addr, conn: conn, flows: make(map[uint16]*flow), rested: make(map[uint16]time.Time), next: time.Now()}
	w.callers = append(w.callers, c)
	go w.read(conn, func(now time.Time, from netip.AddrPort, raw []byte) { c.receive(now, from, raw) })
}

// newRequest returns a request with a new id for a route.
func (w *world) newRequest(r Route, done func(bool)) *request {
	w.requestsMade++
	return &request{id: w.requestsMade, repeatable: r.Repeatable, done: done}
}

// ask opens a flow for a request; left is the number of further requests that the flow may carry.
func (c *caller) ask(now time.Time, r Route, q *request, left int) {
	c.port = c.freePort(now)
	f := &flow{
		c: c, route: r, began: now, wanted: q, left: left, first: c.w.rand.Uint32(), lastTag: c.w.rand.Float64() < lastTagShare,
		key: packet.FlowKey{Caller: netip.AddrPortFrom(c.addr.Addr(), c.port), Service: r.Address},
	}
	f.next = f.first + 1
	f.sent = now
	c.flows[c.port] = f
	f.send(Packet{Seq: f.first, Flags: packet.SYN})
}

// freePort returns the next port that no flow uses and whose reuse delay has passed.
func (c *caller) freePort(now time.Time) uint16 {
	port := c.port
	for range portCount {
		port = firstPort + (port+1-firstPort)%portCount
		if c.flows[port] == nil && !now.Before(c.rested[port]) {
			break
		}
	}
	return port
}

// forget removes a finished flow and starts the reuse delay of its port.
func (c *caller) forget(now time.Time, f *flow) {
	delete(c.flows, f.key.Caller.Port())
	c.rested[f.key.Caller.Port()] = now.Add(portRest)
}

func (f *flow) send(p Packet) {
	p.Src, p.Dst = f.key.Caller, f.key.Service
	if e := f.c.w.route(f.c.zone, f.key); e != nil && !f.c.w.links.drops(f.c.w.rand, f.c.zone, e.zone, false) {
		raw := f.c.w.dialect.AppendPacket(nil, p)
		f.c.w.write(f.c.conn, e.at(dataPort), raw)
		f.c.w.copyLater(f.c.conn, e.at(dataPort), raw, p.Flags)
	}
}

func (f *flow) sendRequest() {
	id := history.AttemptID{Request: f.wanted.id, Attempt: f.wanted.attempt}
	f.send(Packet{Seq: f.next, Ack: f.expected, Flags: packet.ACK, Tag: f.tag, Data: appendRequest(id)})
}

func (c *caller) tick(now time.Time) {
	if c.w.traffic && !now.Before(c.next) {
		c.next = now.Add(c.w.wait(c.w.shape.every))
		r := c.w.wanted()
		c.ask(now, r, c.w.newRequest(r, nil), c.w.rand.IntN(maxRequests))
	}
	for _, f := range c.flows {
		f.tick(now)
	}
}

func (f *flow) tick(now time.Time) {
	switch {
	case !f.open:
		f.tickOpening(now)
	case f.wanted == nil:
		if !now.Before(f.askAt) {
			f.left--
			f.begin(now, f.c.w.newRequest(f.route, nil))
		}
	case now.Sub(f.sent) >= requestTime:
		f.end(now, history.FateUnknown, history.CauseTimedOut)
	case !now.Before(f.repeatAt):
		f.repeat = min(2*f.repeat, maxRepeat)
		f.repeatAt = now.Add(f.repeat)
		f.sendRequest()
	}
}

func (f *flow) tickOpening(now time.Time) {
	waited := now.Sub(f.began)
	if waited >= openTime {
		f.end(now, history.FateNotRun, history.CauseSilent)
		return
	}
	if f.copies < len(synCopies) && waited >= synCopies[f.copies] {
		f.copies++
		f.send(Packet{Seq: f.first, Ack: uint32(f.copies), Flags: packet.SYN})
	}
}

// begin sends a new request on an open flow.
func (f *flow) begin(now time.Time, q *request) {
	f.wanted, f.sent = q, now
	f.repeat = firstRepeat
	f.repeatAt = now.Add(f.repeat)
	f.sendRequest()
}

// receive handles a datagram from a target or a daemon.
func (c *caller) receive(now time.Time, from netip.AddrPort, raw []byte) {
	p, ok := c.w.dialect.ReadPacket(raw)
	if !ok {
		return
	}
	c.w.checkOwnPacket(from, p)
	f := c.flows[p.Dst.Port()]
	if f == nil || p.Src != f.key.Service {
		return
	}
	switch {
	case p.Flags.Has(packet.RST):
		f.resetAhead = int32(p.Seq - f.expected)
		f.wasReset(now, from, p.Ack)
	case !f.open && p.Flags.Has(packet.SYN|packet.ACK) && p.Ack == f.next:
		f.open, f.expected, f.tag = true, p.Seq+1, p.Tag
		f.holder = c.w.targetAt(from)
		f.begin(now, f.wanted)
	case f.open && f.owns(p.Ack) && p.Flags.Has(packet.SYN):
		if f.lastTag {
			f.tag = p.Tag
		}
	case f.open && f.owns(p.Ack):
		f.advance(now, p)
	}
}

// owns reports whether a sequence number of the caller belongs to this flow and not to an earlier one from the same
// port.
func (f *flow) owns(number uint32) bool {
	return number-f.first <= f.next+requestBytes-f.first
}

func (f *flow) advance(now time.Time, p Packet) {
	f.tag = p.Tag
	if p.Ack == f.next+requestBytes {
		f.next = p.Ack
		f.repeatAt = now.Add(requestTime) // it was taken; the answer follows
	}
	if len(p.Data) != requestBytes || p.Seq != f.expected {
		return
	}
	f.expected += requestBytes
	f.send(Packet{Seq: f.next, Ack: f.expected, Flags: packet.ACK, Tag: f.tag})
	if f.wanted == nil {
		return
	}
	f.c.w.outcome(now, f, history.FateAnswered, history.CauseNone, readRequest(p.Data))
	if f.wanted.done != nil {
		f.wanted.done(true)
	}
	f.wanted = nil
	f.askAt = now.Add(f.c.w.wait(pauseTime))
	if f.left <= 0 || !f.c.w.traffic {
		f.send(Packet{Seq: f.next, Ack: f.expected, Flags: packet.ACK | packet.FIN, Tag: f.tag})
		f.c.forget(now, f)
	}
}

// wasReset ends the flow, and checks whether a reset of an open flow was allowed. The acknowledgement number of a
// target's reset names the packet that it refuses. The reset is ignored if that packet was a late one of an earlier
// flow rather than a packet or SYN of this flow.
func (f *flow) wasReset(now time.Time, from netip.AddrPort, answers uint32) {
	if f.c.w.entryAt(from) == nil && !f.owns(answers) {
		return
	}
	if !f.open {
		f.end(now, history.FateNotRun, history.CauseReset)
		return
	}
	f.c.w.checkReset(now, f, from)
	f.end(now, history.FateUnknown, history.CauseReset)
}

// end ends the flow, records the outcome of the pending request, and retries the request on a new flow where that is
// safe.
func (f *flow) end(now time.Time, fate history.Fate, cause history.Cause) {
	f.c.forget(now, f)
	q := f.wanted
	if q == nil {
		return
	}
	f.c.w.outcome(now, f, fate, cause, history.AttemptID{})
	if q.attempt < retries && (fate == history.FateNotRun || q.repeatable) {
		q.attempt++
		f.c.ask(now, f.route, q, f.left)
		return
	}
	if q.done != nil {
		q.done(false)
	}
}
