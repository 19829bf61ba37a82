package soak

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	// firstRepeat is the initial retransmission timeout of callers and targets; it doubles up to maxRepeat.
	firstRepeat = 200 * time.Millisecond
	maxRepeat   = 1600 * time.Millisecond
	// maxRepeats is the number of retransmissions after which a target drops the flow.
	maxRepeats = 8
	// requestBytes is the size of a request and of its response.
	requestBytes = 12
	// Requests run for quickLeast to quickMost; a share slowShare of them (0 to 1) runs for slowLeast to slowMost. These
	// are the times of the users' bench. A slow request makes its caller retransmit data to a healthy target.
	quickLeast = 20 * time.Millisecond
	quickMost  = 100 * time.Millisecond
	slowLeast  = 200 * time.Millisecond
	slowMost   = 700 * time.Millisecond
	slowShare  = 0.15
	// ackEvery is the number of data packets after which a target acknowledges without a response (protocol).
	ackEvery = 2
	// registerEvery is the interval at which a target renews its registration; a registration that is not renewed is
	// removed after expireAfter.
	registerEvery = 1200 * time.Millisecond
	expireAfter   = 3 * registerEvery
)

// targetState is the state of a target.
type targetState uint8

const (
	targetServes targetState = iota
	// targetRefuses: the target has crashed and its machine resets every packet. targetDark: the target has crashed and
	// nothing responds.
	targetRefuses
	targetDark
	// targetGone: the target has stopped and its address may be reused.
	targetGone
)

// target simulates one target process.
type target struct {
	w     *world
	entry TargetEntry
	guard uint64
	state targetState
	conn  *net.UDPConn
	// health serves health checks.
	health  *http.Server
	flows   map[packet.FlowKey]*targetFlow
	writeAt time.Time
	// lapsed is true while the target serves with an expired registration.
	lapsed bool
}

// targetFlow is the target's state of a flow.
type targetFlow struct {
	// first is the target's initial sequence number, next its next one, expected the next one from the caller.
	first, next, expected uint32
	tag                   uint32
	open                  bool
	// opening is the sequence number of the caller's SYN; taken counts the data packets received.
	opening uint32
	taken   int
	// answer is the response, retransmitted until it is acknowledged.
	answer   []byte
	sentAt   time.Time
	repeat   time.Duration
	repeats  int
	workDone time.Time
	request  []byte
}

// newTarget starts a target and registers it.
func (w *world) newTarget(service, zone string, addr netip.AddrPort) *target {
	w.targetsMade++
	t := &target{
		w:     w,
		guard: w.rand.Uint64()>>16<<16 | uint64(w.targetsMade),
		flows: make(map[packet.FlowKey]*targetFlow),
	}
	t.entry = TargetEntry{
		Name: fmt.Sprintf("i-%x", t.guard), Service: service, Zone: zone, Address: addr, Slots: 3, Born: time.Now(),
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		w.fail(fmt.Errorf("open a target's socket: %w", err))
		return t
	}
	t.conn = conn
	w.targets = append(w.targets, t)
	go w.read(conn, func(now time.Time, from netip.AddrPort, raw []byte) { t.receive(now, from, raw) })
	t.listen()
	t.register(time.Now())
	return t
}

// listen starts the server for health checks.
func (t *target) listen() {
	l, err := net.Listen("tcp", t.entry.Address.String())
	if err != nil {
		t.w.fail(fmt.Errorf("listen for health checks: %w", err))
		return
	}
	header, name := t.w.dialect.IdentityHeader(), t.entry.Name
	t.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header, name)
	})}
	go t.health.Serve(l) // returns when the target closes the server
}

// register writes the target's registration to the store.
func (t *target) register(now time.Time) {
	t.lapsed = false
	t.entry.Sequence++
	t.writeAt = now.Add(registerEvery)
	t.w.store.put(t.w.dialect.TargetItem(t.entry))
}

// crash stops the target without notice; its registration expires after expireAfter.
func (t *target) crash(state targetState) {
	t.state = state
	t.flows = make(map[packet.FlowKey]*targetFlow)
	_ = t.health.Close()
	t.w.after(expireAfter, t.expire)
}

// lapse removes the registration of a target that goes on serving.
func (t *target) lapse() {
	t.lapsed = true
	t.expire()
}

func (t *target) expire() {
	key, _ := t.w.dialect.TargetItem(t.entry)
	t.w.store.put(key, nil)
}

// leave stops the target and frees its address.
func (t *target) leave() {
	if t.state == targetServes {
		_ = t.health.Close()
		t.expire()
	}
	t.state = targetGone
	_ = t.conn.Close()
}

func (t *target) tick(now time.Time) {
	if t.state != targetServes {
		return
	}
	if !t.lapsed && !now.Before(t.writeAt) {
		t.register(now)
	}
	for key, f := range t.flows {
		t.tickFlow(now, key, f)
	}
}

func (t *target) tickFlow(now time.Time, key packet.FlowKey, f *targetFlow) {
	if f.request != nil && !now.Before(f.workDone) {
		f.answer, f.request = f.request, nil
		f.repeat, f.repeats = firstRepeat, 0
		t.sendAnswer(now, key, f)
	}
	if (f.answer != nil || !f.open) && now.Sub(f.sentAt) >= f.repeat {
		f.repeats++
		f.repeat = min(2*f.repeat, maxRepeat)
		if f.repeats > maxRepeats {
			delete(t.flows, key)
			return
		}
		if !f.open {
			t.sendOpening(now, key, f)
			return
		}
		t.sendAnswer(now, key, f)
	}
}

// sendOpening sends a SYN+ACK, which is retransmitted until the caller acknowledges it.
func (t *target) sendOpening(now time.Time, key packet.FlowKey, f *targetFlow) {
	f.sentAt = now
	if !t.w.links.dropsSYN(t.w.rand) {
		t.send(key, Packet{Seq: f.first, Ack: f.opening + 1, Flags: packet.SYN | packet.ACK, Tag: f.tag})
	}
}

func (t *target) sendAnswer(now time.Time, key packet.FlowKey, f *targetFlow) {
	f.sentAt = now
	t.send(key, Packet{Seq: f.next, Ack: f.expected, Flags: packet.ACK, Tag: f.tag, Data: f.answer})
}

// send sends a packet to the caller of a flow, unless the links drop it.
func (t *target) send(key packet.FlowKey, p Packet) {
	c := t.w.callerAt(key.Caller.Addr())
	if c == nil || t.w.links.drops(t.w.rand, t.entry.Zone, c.zone, false) {
		return
	}
	p.Src, p.Dst = key.Service, key.Caller
	t.w.write(t.conn, c.addr, t.w.dialect.AppendPacket(nil, p))
}

// receive handles a datagram from a daemon.
func (t *target) receive(now time.Time, from netip.AddrPort, raw []byte) {
	e := t.w.entryAt(from)
	guard, p, ok := t.w.dialect.ReadFrame(raw)
	if !ok || e == nil || t.w.links.drops(t.w.rand, e.zone, t.entry.Zone, true) {
		return
	}
	key := packet.FlowKey{Caller: p.Src, Service: p.Dst}
	t.w.checkWay(now, e, t, key, p)
	switch {
	case t.state == targetDark || t.state == targetGone:
	case t.state == targetRefuses:
		t.reset(e, key, p)
	case guard != 0 && guard != t.guard:
	default:
		t.handle(now, e, key, p)
	}
}

// reset refuses a packet with a RST to the caller and records the daemon that sent the packet.
func (t *target) reset(e *entry, key packet.FlowKey, p Packet) {
	if !p.Flags.Has(packet.RST) {
		t.w.refusedFrom[key] = e
		t.send(key, Packet{Seq: p.Ack, Ack: p.Seq + uint32(len(p.Data)), Flags: packet.RST | packet.ACK})
	}
}

func (t *target) handle(now time.Time, e *entry, key packet.FlowKey, p Packet) {
	f := t.flows[key]
	switch {
	case p.Flags.Has(packet.SYN):
		t.takeSYN(now, e, key, f, p)
	case f == nil || !f.open && p.Ack != f.first+1:
		t.reset(e, key, p)
	case p.Flags.Has(packet.RST):
		delete(t.flows, key)
	default:
		t.advance(now, key, f, p)
	}
}

// takeSYN handles a SYN. A sequence number different from the known flow's means a new flow between the same addresses.
func (t *target) takeSYN(now time.Time, e *entry, key packet.FlowKey, f *targetFlow, p Packet) {
	if t.w.links.dropsSYN(t.w.rand) {
		return
	}
	if f == nil || f.opening != p.Seq {
		t.w.checkRoute(now, e, t, key)
		f = &targetFlow{first: t.w.rand.Uint32(), opening: p.Seq, expected: p.Seq + 1, repeat: firstRepeat}
		f.next = f.first + 1
		t.flows[key] = f
	}
	f.tag = p.Tag
	t.sendOpening(now, key, f)
}

// workTime returns a random execution time for a request.
func (t *target) workTime() time.Duration {
	least, most := quickLeast, quickMost
	if t.w.rand.Float64() < slowShare {
		least, most = slowLeast, slowMost
	}
	return least + time.Duration(t.w.rand.Int64N(int64(most-least)))
}

func (t *target) advance(now time.Time, key packet.FlowKey, f *targetFlow, p Packet) {
	f.open, f.tag = true, p.Tag
	if f.answer != nil && p.Ack == f.next+uint32(len(f.answer)) {
		f.next, f.answer = p.Ack, nil
	}
	if p.Seq == f.expected && len(p.Data) == requestBytes {
		f.expected += requestBytes
		f.request, f.workDone = p.Data, now.Add(t.workTime())
		t.w.history.Runs = append(t.w.history.Runs, history.Run{ID: readRequest(p.Data), Target: t.entry.Name, Flow: key, Start: now})
	}
	if p.Flags.Has(packet.FIN) {
		t.send(key, Packet{Seq: f.next, Ack: f.expected + 1, Flags: packet.ACK | packet.FIN, Tag: f.tag})
		delete(t.flows, key)
		return
	}
	if len(p.Data) == 0 {
		return
	}
	if f.taken++; f.taken%ackEvery == 0 {
		t.send(key, Packet{Seq: f.next, Ack: f.expected, Flags: packet.ACK, Tag: f.tag})
	}
}

// appendRequest encodes a request; the response has the same bytes.
func appendRequest(id history.AttemptID) []byte {
	b := make([]byte, requestBytes)
	binary.BigEndian.PutUint64(b, id.Request)
	binary.BigEndian.PutUint32(b[8:], id.Attempt)
	return b
}

func readRequest(b []byte) history.AttemptID {
	return history.AttemptID{Request: binary.BigEndian.Uint64(b), Attempt: binary.BigEndian.Uint32(b[8:])}
}
