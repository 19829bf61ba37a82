package soak

import (
	"net"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	// openTime is how long a caller waits for the answer to its SYN.
	openTime = 1400 * time.Millisecond
	// requestTime is how long a caller waits for an answer, retries how often it asks again.
	requestTime = 3 * time.Second
	retries     = 2
	// maxRequests bounds the requests of a flow, pauseTime is the mean time between two of them.
	maxRequests = 12
	pauseTime   = 400 * time.Millisecond
	// lastTagShare is the share of flows whose callers return the tag of the last packet that they received on the flow,
	// also of a second target's answer to the SYN: the protocol's words, read strictly. The others keep the tag of the
	// target that the flow is open at, as the callers of the users' bench were seen to (98 flows). Daemons must be right
	// with both.
	lastTagShare = 0.5
	// firstPort and portCount are the ports of a caller: so few that one is used again some 12 s later, while daemons
	// may still have a record of the flow before (15 s). portRest is how long a port rests at least after a flow.
	firstPort = 1024
	portCount = 200
	portRest  = 2 * time.Second
	// resetWindow is how far a daemon's reset of an open flow may be from the caller's last acknowledgement, in bytes
	// (protocol). One that is further off is held against the daemon too, and told as such.
	resetWindow = 76_800
)

// synCopies are the times of the copies of a SYN.
var synCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// caller is one client address.
type caller struct {
	w     *world
	zone  string
	addr  netip.AddrPort
	conn  *net.UDPConn
	flows map[uint16]*flow
	// port is the one that was used last, rested are the times from which used ones may be used again.
	port   uint16
	rested map[uint16]time.Time
	next   time.Time
}

// request is what a caller wants; it goes on over several attempts.
type request struct {
	id         uint64
	attempt    uint32
	repeatable bool
	// done hears whether it was answered in the end; nil for ordinary traffic.
	done func(answered bool)
}

// flow is a flow at its caller.
type flow struct {
	c     *caller
	key   packet.FlowKey
	route Route
	began time.Time
	// first is the caller's opening number, next the one that it sends next, expected the target's next.
	first, next, expected uint32
	tag                   uint32
	open                  bool
	// lastTag is true for a caller that returns the last tag that it received, whichever target it is of.
	lastTag bool
	// holder is the target that the flow opened at.
	holder *target
	// strays counts the flow's packets that reached other targets, from strayedAt on, since the last one at its own.
	strays    int
	strayedAt time.Time
	// resetAhead is how far the number of a reset was from the caller's last acknowledgement.
	resetAhead int32
	copies     int
	left       int
	// wanted is under way, sent at sent and again at repeatAt; nil between two.
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

// newRequest returns a request to a route.
func (w *world) newRequest(r Route, done func(bool)) *request {
	w.requestsMade++
	return &request{id: w.requestsMade, repeatable: r.Repeatable, done: done}
}

// ask opens a flow for a request and, where left allows, further ones.
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

// freePort returns the next port after the last one that no flow uses and that has rested.
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

// forget drops a flow that is over.
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

// begin sends a request on an open flow.
func (f *flow) begin(now time.Time, q *request) {
	f.wanted, f.sent = q, now
	f.repeat = firstRepeat
	f.repeatAt = now.Add(f.repeat)
	f.sendRequest()
}

// receive takes a packet of a target or of a daemon.
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

// owns reports whether a caller's number is of this flow, not of an earlier one from the port.
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

// wasReset ends the flow, and checks a reset of an open one. A target's reset says what it answers: a packet of this flow,
// its SYN too, or one of an earlier flow that was late.
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

// end ends the flow with its request's fate, and asks again where that is safe.
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
