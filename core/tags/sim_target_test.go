package tags

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// simTarget is a simulated target. As the flow tag protocol requires, a packet to the caller carries the tag of the
// latest packet that the target received in the flow.
type simTarget struct {
	w            *sim
	name, zone   string
	id           model.TargetID
	registration directory.Registration
	// up is true while the target serves. A target that is not up refuses connections, an unreachable one answers
	// nothing.
	up, unreachable bool
	draining        bool
	instance        int
	// faultEndedAt is when the last fault of the target or its link ended.
	faultEndedAt time.Duration
	conns        map[simAddrs]*simConn
}

// simAddrs holds the addresses of a flow.
type simAddrs struct{ src, dst netip.AddrPort }

// simConn is the target's side of a flow.
type simConn struct {
	t        *simTarget
	flow     *simFlow
	instance int
	// callerISN is the initial sequence number of the caller, targetISN that of the target.
	callerISN, targetISN uint32
	tag                  uint32
	finReceived          bool
	// ended is true once both sides have sent a FIN.
	ended, finSent bool
	out            simSender
	in             simReceiver
}

func (w *sim) addTarget(zone string) *simTarget {
	r := w.site.registration("booking", len(w.order))
	r.Zone = zone
	t := &simTarget{
		w: w, name: r.Name, zone: zone, registration: r,
		up: true, instance: 1, conns: make(map[simAddrs]*simConn),
	}
	w.site.directory.Register(w.now(), r)
	t.id = w.site.directory.ID(r.Name)
	w.targets[t.id] = t
	w.order = append(w.order, t)
	return t
}

// receive handles a caller's packet that a daemon sent to the target with a tag.
func (t *simTarget) receive(p simPacket, tag uint32) {
	if t.unreachable {
		return
	}
	addrs := simAddrs{p.meta.Src, p.meta.Dst}
	c := t.conns[addrs]
	switch {
	case !t.up:
		t.refuse(p, tag)
	case p.meta.Flags.Has(packet.SYN):
		t.receiveSYN(c, addrs, p, tag)
	case c == nil || !c.hasSent(p.meta.Ack):
		t.refuse(p, tag)
	default:
		c.receive(p, tag)
	}
}

// refuse answers with a reset.
func (t *simTarget) refuse(p simPacket, tag uint32) {
	p.flow.note("refused by target "+t.name, &p.meta, tag)
	t.send(simAnswer{instance: t.instance, tag: tag, meta: packet.Meta{
		Src: p.meta.Dst, Dst: p.meta.Src, Flags: packet.RST, Seq: p.meta.Ack,
	}})
}

func (t *simTarget) send(a simAnswer) {
	a.from = t
	if !t.unreachable {
		t.w.toCaller(t.zone, a)
	}
}

func (t *simTarget) receiveSYN(c *simConn, addrs simAddrs, p simPacket, tag uint32) {
	if c != nil && c.callerISN == p.meta.Seq {
		c.tag = tag
		if !c.ended {
			c.sendSegment(simSegment{seq: c.targetISN, flags: packet.SYN})
		}
		return
	}
	if c != nil {
		c.out.done = true
	}
	c = &simConn{t: t, flow: p.flow, instance: t.instance, callerISN: p.meta.Seq, targetISN: t.w.rand.Uint32(), tag: tag}
	c.in.next = p.meta.Seq + 1
	c.out = simSender{w: t.w, next: c.targetISN, send: c.sendSegment, giveUp: c.drop}
	t.conns[addrs] = c
	c.out.push(0, packet.SYN|packet.ACK)
}

// drop removes the flow from the target.
func (c *simConn) drop() {
	c.out.done = true
	if addrs := (simAddrs{c.flow.src, c.flow.dst}); c.t.conns[addrs] == c {
		delete(c.t.conns, addrs)
	}
}

// hasSent reports whether an acknowledgement number lies within what this side has sent.
func (c *simConn) hasSent(ack uint32) bool {
	return serialAfter(ack, c.targetISN) && !serialAfter(ack, c.out.next)
}

func (c *simConn) sendSegment(g simSegment) {
	if c.instance != c.t.instance || !c.t.up {
		c.out.done = true
		return
	}
	c.in.pending = 0
	c.t.send(simAnswer{instance: c.instance, tag: c.tag, meta: packet.Meta{
		Src: c.flow.dst, Dst: c.flow.src, Flags: g.flags | packet.ACK, Seq: g.seq, Ack: c.in.next, PayloadLen: g.n,
	}})
}

func (c *simConn) sendACK() { c.sendSegment(simSegment{seq: c.out.next, flags: packet.ACK}) }

func (c *simConn) receive(p simPacket, tag uint32) {
	c.tag = tag
	c.out.handleAck(p.meta.Ack)
	c.t.w.recordOpen(c, p.flow)
	if p.meta.SegmentLen() == 0 {
		return
	}
	if c.ended {
		c.receiveAfterEnd(p, tag)
		return
	}
	done, duplicate := c.in.receive(simSegment{seq: p.meta.Seq, n: p.meta.PayloadLen, flags: p.meta.Flags})
	requested := false
	for _, g := range done {
		requested = requested || g.flags.Has(packet.PSH)
		c.finReceived = c.finReceived || g.flags.Has(packet.FIN)
	}
	if requested {
		c.t.w.after(c.workTime(), c.answer)
	}
	if duplicate || c.in.pending >= 2 || c.finReceived && c.finSent {
		c.sendACK()
	}
	if c.finReceived {
		c.close()
	}
}

func (c *simConn) receiveAfterEnd(p simPacket, tag uint32) {
	if p.meta.PayloadLen > 0 && !serialAfter(c.in.next, p.meta.Seq) {
		c.t.refuse(p, tag)
		return
	}
	c.sendACK()
}

// simBulkPackets is how many packets a large answer has at least: as many as may be in flight.
const simBulkPackets = 16

// workTime returns how long the next request takes.
func (c *simConn) workTime() time.Duration {
	if c.t.w.chance(0.15) {
		return c.t.w.between(200*time.Millisecond, 700*time.Millisecond)
	}
	return c.t.w.between(20*time.Millisecond, 100*time.Millisecond)
}

func (c *simConn) answer() {
	if c.out.done || c.instance != c.t.instance || !c.t.up || c.finSent {
		return
	}
	packets := 1 + c.t.w.rand.IntN(4)
	if c.t.w.cfg.bulk {
		packets += simBulkPackets
	}
	c.out.pushAll(packets, 1200)
	if c.t.draining {
		c.close()
	}
}

// close sends this side's FIN.
func (c *simConn) close() {
	if !c.finSent {
		c.finSent = true
		c.out.push(0, packet.FIN|packet.ACK)
	}
	if c.finReceived {
		c.ended = true
		c.flow.closed = c.flow.closed || c.flow.chosen == c.t
	}
}
