package tags

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/packet"
)

// simFlow is a flow, as its caller sees it.
type simFlow struct {
	w        *sim
	src, dst netip.AddrPort
	zone     string
	isn      uint32
	tag      uint32
	// offeredTo is the first target that got a SYN of the flow, nil before.
	offeredTo *simTarget
	// chosen is the target whose answer to the SYN the caller received first, nil before; instance is that target's
	// instance number.
	chosen   *simTarget
	instance int
	// open is true once the chosen target has received the end of the handshake, closed once both sides have sent
	// a FIN, done once the caller has abandoned the flow or seen its end.
	open, closed, done   bool
	finSent, finReceived bool
	requests             int
	requestCount         int
	out                  simSender
	in                   simReceiver
	notes                []simNote
}

// keepOpeningFlows makes callers of a zone open flows throughout the run.
func (w *sim) keepOpeningFlows(zone string) {
	w.after(w.between(0, 2*simFlowInterval), func() {
		w.openFlow(zone)
		w.keepOpeningFlows(zone)
	})
}

// callerAddr returns a new caller address or, if addresses are reused, one whose flow has ended.
func (w *sim) callerAddr(zone string) netip.AddrPort {
	if free := w.free[zone]; w.cfg.reuse && len(free) > 0 {
		i := w.rand.IntN(len(free))
		src := free[i]
		w.free[zone] = append(free[:i:i], free[i+1:]...)
		return src
	}
	w.site.port++
	host := netip.AddrFrom4([4]byte{100, 64, 0, zone[0]})
	return netip.AddrPortFrom(host, w.site.port)
}

func (w *sim) openFlow(zone string) {
	f := &simFlow{w: w, zone: zone, src: w.callerAddr(zone), dst: safeAddr, isn: w.rand.Uint32()}
	if w.chance(0.3) {
		f.dst = unsafeAddr
	}
	f.requests = 1 + w.rand.IntN(4)
	if w.chance(0.15) {
		f.requests += 8
	}
	if w.cfg.bulk {
		f.requests += 40
	}
	f.out = simSender{w: w, next: f.isn + 1, send: f.sendSegment}
	w.ports[f.src] = f
	w.counts.flows++
	for duplicates, at := range []time.Duration{0, 200, 600} {
		w.after(at*time.Millisecond, func() { f.sendSYN(uint32(duplicates), at*time.Millisecond) })
	}
	w.after(1400*time.Millisecond, func() {
		if f.chosen == nil {
			f.end("is abandoned during the handshake")
		}
	})
}

func (f *simFlow) sendSYN(duplicates uint32, age time.Duration) {
	if f.chosen == nil && !f.done {
		f.transmit(packet.Meta{Flags: packet.SYN, Seq: f.isn, Ack: duplicates, DuplicateSYN: duplicates > 0, FirstSYNAge: age})
	}
}

func (f *simFlow) sendSegment(g simSegment) {
	f.in.pending = 0
	f.transmit(packet.Meta{Flags: g.flags | packet.ACK, Seq: g.seq, Ack: f.in.next, PayloadLen: g.n})
}

func (f *simFlow) sendACK() {
	f.in.pending = 0
	f.transmit(packet.Meta{Flags: packet.ACK, Seq: f.out.next, Ack: f.in.next})
}

// transmit sends a packet to the daemon that the routers choose at this moment.
func (f *simFlow) transmit(m packet.Meta) {
	m.Src, m.Dst = f.src, f.dst
	p := simPacket{flow: f, meta: m, tag: f.tag}
	if m.Flags.Has(packet.SYN) {
		p.tag = 0
	}
	arrive := func() {
		f.w.deliver(f.zone, f.zone, func() {
			if d := f.w.route(f); d != nil {
				d.receive(p)
			}
		})
	}
	if f.w.cfg.lateSYNs && m.Flags.Has(packet.SYN) && f.w.chance(0.2) {
		f.w.after(f.w.between(0, simLateSYN), arrive)
		return
	}
	arrive()
}

// simLateSYN is for how long a SYN is under way at most: longer than its caller waits for an answer.
const simLateSYN = 1500 * time.Millisecond

// toCaller delivers a packet to the flow that uses the destination port at this moment, if it is one to the packet's source.
func (w *sim) toCaller(from string, a simAnswer) {
	src := a.meta.Dst
	zone := string(rune(src.Addr().As4()[3]))
	w.deliver(from, zone, func() {
		if f := w.ports[src]; f != nil && f.dst == a.meta.Src {
			f.receive(a)
		}
	})
}

func (f *simFlow) receive(a simAnswer) {
	if f.done {
		f.receiveAfterEnd(a)
		return
	}
	own := f.chosen != nil && a.from == f.chosen && a.instance == f.instance
	switch {
	case a.meta.Flags.Has(packet.RST):
		f.receiveReset(&a)
	case a.meta.Flags.Has(packet.SYN):
		f.receiveSYNACK(a, own)
	case own:
		f.tag = a.tag
		f.receiveSegment(&a.meta)
	}
}

// simResetWindow is the maximum distance between the sequence number of a daemon's reset and the caller's next
// expected one at which an open flow accepts the reset.
const simResetWindow = 76_800

func (f *simFlow) receiveReset(a *simAnswer) {
	f.note("caller receives a reset from "+a.sender(), &a.meta, a.tag)
	ahead := int32(a.meta.Seq - f.in.next)
	stray := a.from == nil && f.chosen != nil && max(ahead, -ahead) > simResetWindow
	f.w.checkReset(f, a, stray)
	if !stray {
		f.end("is reset")
	}
}

// receiveAfterEnd acknowledges a repeated FIN, whose sender did not receive the first acknowledgement.
func (f *simFlow) receiveAfterEnd(a simAnswer) {
	if f.finReceived && a.from == f.chosen && a.meta.Flags.Has(packet.FIN) {
		f.sendACK()
	}
}

func (f *simFlow) receiveSYNACK(a simAnswer, own bool) {
	if a.meta.Ack != f.isn+1 {
		return // answers the SYN of an earlier flow
	}
	switch {
	case f.chosen == nil:
		f.chosen, f.instance, f.tag = a.from, a.instance, a.tag
		f.in.next = a.meta.Seq + 1
		f.note("caller accepts the answer of "+a.sender(), &a.meta, a.tag)
		f.sendACK()
		f.request()
	case own:
		f.tag = a.tag
		f.sendACK()
	default:
		f.note("caller receives an answer from "+a.sender()+" too", &a.meta, a.tag)
		if f.w.cfg.strict {
			f.tag = a.tag
		}
	}
}

func (f *simFlow) receiveSegment(m *packet.Meta) {
	f.out.handleAck(m.Ack)
	if m.SegmentLen() == 0 {
		return
	}
	done, duplicate := f.in.receive(simSegment{seq: m.Seq, n: m.PayloadLen, flags: m.Flags})
	answered := false
	for _, g := range done {
		answered = answered || g.flags.Has(packet.PSH)
		f.finReceived = f.finReceived || g.flags.Has(packet.FIN)
	}
	if duplicate || answered || f.finReceived || f.in.pending >= 2 {
		f.sendACK()
	}
	if answered {
		f.w.counts.answered++
	}
	switch {
	case f.finReceived:
		f.close()
		f.end("has ended")
	case answered:
		f.w.after(f.pause(), f.request)
	}
}

// pause returns the time until the caller's next request.
func (f *simFlow) pause() time.Duration {
	if f.w.chance(0.5) {
		return f.w.between(time.Millisecond, 100*time.Millisecond)
	}
	return f.w.between(100*time.Millisecond, 2500*time.Millisecond)
}

// request sends the next request, or closes the flow after the last one.
func (f *simFlow) request() {
	if f.done || f.finReceived {
		return
	}
	if f.requests == 0 {
		f.close()
		return
	}
	f.requests--
	f.requestCount++
	f.w.counts.requests++
	f.out.pushAll(1+f.w.rand.IntN(3), 200)
	requestCount := f.requestCount
	f.w.after(f.w.between(2*time.Second, 5*time.Second), func() {
		if f.requestCount == requestCount && len(f.out.unacked) > 0 {
			f.end("is abandoned")
		}
	})
}

func (f *simFlow) close() {
	if !f.finSent {
		f.finSent = true
		f.out.push(0, packet.FIN|packet.ACK)
	}
}

// end ends the flow at its caller. If addresses are reused, this one becomes available after a random delay.
func (f *simFlow) end(how string) {
	if f.done {
		return
	}
	f.done, f.out.done = true, true
	f.note("flow "+how, nil, 0)
	if f.w.cfg.reuse {
		f.w.after(f.w.between(20*time.Millisecond, time.Second), func() {
			f.w.free[f.zone] = append(f.w.free[f.zone], f.src)
		})
	}
}
