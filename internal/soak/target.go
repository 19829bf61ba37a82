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
	// initialRetransmitTimeout is the initial retransmission timeout of callers and targets; it doubles up to
	// maxRetransmitTimeout.
	initialRetransmitTimeout = 200 * time.Millisecond
	maxRetransmitTimeout     = 1600 * time.Millisecond
	// maxRetransmits is the number of retransmissions after which a target drops the flow.
	maxRetransmits = 8
	// requestBytes is the size of a request and of its response.
	requestBytes = 12
	// Requests run for minQuickTime to maxQuickTime; a share slowShare of them (0 to 1) runs for minSlowTime to
	// maxSlowTime. These are the times of the users' test bench. A slow request makes its caller retransmit data to a
	// healthy target.
	minQuickTime = 20 * time.Millisecond
	maxQuickTime = 100 * time.Millisecond
	minSlowTime  = 200 * time.Millisecond
	maxSlowTime  = 700 * time.Millisecond
	slowShare    = 0.15
	// ackEvery is the number of data packets after which the protocol makes a target acknowledge them without waiting for
	// the response.
	ackEvery = 2
	// registerInterval is the interval at which a target renews its registration; a registration that is not renewed is
	// removed after registrationTTL.
	registerInterval = 1200 * time.Millisecond
	registrationTTL  = 3 * registerInterval
)

// targetState is the state of a target.
type targetState uint8

const (
	targetServing targetState = iota
	// targetRefusing: the target has crashed and its machine resets every packet. targetUnresponsive: the target has
	// crashed and its machine does not respond either.
	targetRefusing
	targetUnresponsive
	// targetStopped: the target has stopped and its address may be reused.
	targetStopped
)

// target simulates one target process.
type target struct {
	h     *harness
	entry TargetEntry
	guard uint64
	state targetState
	conn  *net.UDPConn
	// health serves health checks.
	health         *http.Server
	flows          map[packet.FlowKey]*targetFlow
	nextRegisterAt time.Time
	// registrationExpired is true while the target serves with an expired registration.
	registrationExpired bool
	warming             warming
}

// targetFlow is a target's state for one flow.
type targetFlow struct {
	// initial is the target's initial sequence number, nextSeq its next one, expectedSeq the caller's next one.
	initial, nextSeq, expectedSeq uint32
	tag                           uint32
	open                          bool
	// callerInitial is the sequence number of the caller's SYN; dataPackets counts the data packets received.
	callerInitial uint32
	dataPackets   int
	// response is retransmitted until it is acknowledged.
	response          []byte
	sentAt            time.Time
	retransmitTimeout time.Duration
	retransmits       int
	// request is the request being executed, responseAt the time at which its execution ends.
	responseAt time.Time
	request    []byte
}

// newTarget starts a target and registers it.
func (h *harness) newTarget(service, zone string, addr netip.AddrPort) *target {
	h.targetsStarted++
	t := &target{
		h:     h,
		guard: h.rand.Uint64()>>16<<16 | uint64(h.targetsStarted),
		flows: make(map[packet.FlowKey]*targetFlow),
	}
	t.entry = TargetEntry{
		Name: fmt.Sprintf("i-%x", t.guard), Service: service, Zone: zone, Address: addr, Slots: 3, StartedAt: time.Now(),
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		h.fail(fmt.Errorf("open target socket: %w", err))
		return t
	}
	t.conn = conn
	h.targets = append(h.targets, t)
	go h.read(conn, func(now time.Time, from netip.AddrPort, raw []byte) { t.receive(now, from, raw) })
	t.listen()
	if h.trafficOn && h.config.WarmupRate > 0 {
		t.warming.until = t.entry.StartedAt.Add(warmupTime)
	}
	t.register(time.Now())
	return t
}

// listen starts the server for health checks.
func (t *target) listen() {
	l, err := net.Listen("tcp", t.entry.Address.String())
	if err != nil {
		t.h.fail(fmt.Errorf("listen for health checks: %w", err))
		return
	}
	header, name := t.h.dialect.IdentityHeader(), t.entry.Name
	t.health = &http.Server{Handler: http.HandlerFunc(func(h http.ResponseWriter, _ *http.Request) {
		h.Header().Set(header, name)
	})}
	go t.health.Serve(l) // returns when the target closes the server
}

// register writes the target's registration to the store.
func (t *target) register(now time.Time) {
	t.registrationExpired = false
	t.entry.Sequence++
	t.entry.Warmup = max(t.warming.until.Sub(now), 0)
	t.nextRegisterAt = now.Add(registerInterval)
	t.h.store.put(t.h.dialect.TargetItem(t.entry))
}

// crash stops the target without notice; its registration expires after registrationTTL.
func (t *target) crash(state targetState) {
	t.state = state
	t.flows = make(map[packet.FlowKey]*targetFlow)
	_ = t.health.Close()
	t.h.after(registrationTTL, t.removeRegistration)
}

// expireRegistration removes the registration of a target that goes on serving.
func (t *target) expireRegistration() {
	t.registrationExpired = true
	t.removeRegistration()
}

func (t *target) removeRegistration() {
	key, _ := t.h.dialect.TargetItem(t.entry)
	t.h.store.put(key, nil)
}

// stop stops the target and frees its address.
func (t *target) stop() {
	if t.state == targetServing {
		_ = t.health.Close()
		t.removeRegistration()
	}
	t.state = targetStopped
	_ = t.conn.Close()
}

func (t *target) tick(now time.Time) {
	if t.state != targetServing {
		return
	}
	if !t.registrationExpired && !now.Before(t.nextRegisterAt) {
		t.register(now)
	}
	for key, f := range t.flows {
		t.tickFlow(now, key, f)
	}
}

func (t *target) tickFlow(now time.Time, key packet.FlowKey, f *targetFlow) {
	if f.request != nil && !now.Before(f.responseAt) {
		f.response, f.request = f.request, nil
		f.retransmitTimeout, f.retransmits = initialRetransmitTimeout, 0
		t.sendResponse(now, key, f)
	}
	if (f.response != nil || !f.open) && now.Sub(f.sentAt) >= f.retransmitTimeout {
		f.retransmits++
		f.retransmitTimeout = min(2*f.retransmitTimeout, maxRetransmitTimeout)
		if f.retransmits > maxRetransmits {
			delete(t.flows, key)
			return
		}
		if !f.open {
			t.sendSYNACK(now, key, f)
			return
		}
		t.sendResponse(now, key, f)
	}
}

// sendSYNACK sends a SYN-ACK, which is retransmitted until the caller acknowledges it.
func (t *target) sendSYNACK(now time.Time, key packet.FlowKey, f *targetFlow) {
	f.sentAt = now
	if !t.h.links.dropsSYN(t.h.rand) {
		t.send(key, Packet{Seq: f.initial, Ack: f.callerInitial + 1, Flags: packet.SYN | packet.ACK, Tag: f.tag})
	}
}

func (t *target) sendResponse(now time.Time, key packet.FlowKey, f *targetFlow) {
	f.sentAt = now
	t.send(key, Packet{Seq: f.nextSeq, Ack: f.expectedSeq, Flags: packet.ACK, Tag: f.tag, Data: f.response})
}

// send sends a packet to the caller of a flow, unless the links drop it.
func (t *target) send(key packet.FlowKey, p Packet) {
	c := t.h.callerAt(key.Caller.Addr())
	if c == nil || t.h.links.drops(t.h.rand, t.entry.Zone, c.zone, false) {
		return
	}
	p.Src, p.Dst = key.Service, key.Caller
	t.h.write(t.conn, c.addr, t.h.dialect.AppendPacket(nil, p))
}

// receive handles a datagram from a daemon.
func (t *target) receive(now time.Time, from netip.AddrPort, raw []byte) {
	e := t.h.entryAt(from)
	guard, p, ok := t.h.dialect.ReadFrame(raw)
	if !ok || e == nil || t.h.links.drops(t.h.rand, e.zone, t.entry.Zone, true) {
		return
	}
	key := packet.FlowKey{Caller: p.Src, Service: p.Dst}
	t.h.checkMisrouted(now, e, t, key, p)
	if p.Flags.Has(packet.SYN) {
		t.h.checkOffer(e, t, key, p)
	}
	switch {
	case t.state == targetUnresponsive || t.state == targetStopped:
	case t.state == targetRefusing:
		t.reset(e, key, p)
	case guard != 0 && guard != t.guard:
	default:
		t.handle(now, e, key, p)
	}
}

// reset refuses a packet with a RST to the caller and records the daemon that sent the packet.
func (t *target) reset(e *entry, key packet.FlowKey, p Packet) {
	if !p.Flags.Has(packet.RST) {
		t.h.refusedFrom[key] = e
		t.send(key, Packet{Seq: p.Ack, Ack: p.Seq + uint32(len(p.Data)), Flags: packet.RST | packet.ACK})
	}
}

func (t *target) handle(now time.Time, e *entry, key packet.FlowKey, p Packet) {
	f := t.flows[key]
	switch {
	case p.Flags.Has(packet.SYN):
		t.handleSYN(now, e, key, f, p)
	case f == nil || !f.open && p.Ack != f.initial+1:
		t.reset(e, key, p)
	case p.Flags.Has(packet.RST):
		delete(t.flows, key)
	default:
		t.handlePacket(now, key, f, p)
	}
}

// handleSYN handles a SYN. A sequence number different from the known flow's means a new flow between the same
// addresses.
func (t *target) handleSYN(now time.Time, e *entry, key packet.FlowKey, f *targetFlow, p Packet) {
	if t.h.links.dropsSYN(t.h.rand) {
		return
	}
	t.checkWarmup(now)
	if f == nil || f.callerInitial != p.Seq {
		t.h.checkRoute(now, e, t, key)
		t.h.checkZoneDrain(now, e, t, key)
		f = &targetFlow{initial: t.h.rand.Uint32(), callerInitial: p.Seq, expectedSeq: p.Seq + 1, retransmitTimeout: initialRetransmitTimeout}
		f.nextSeq = f.initial + 1
		t.flows[key] = f
	}
	f.tag = p.Tag
	t.sendSYNACK(now, key, f)
}

// randomServiceTime returns a random execution time for a request.
func (t *target) randomServiceTime() time.Duration {
	shortest, longest := minQuickTime, maxQuickTime
	if t.h.rand.Float64() < slowShare {
		shortest, longest = minSlowTime, maxSlowTime
	}
	return shortest + time.Duration(t.h.rand.Int64N(int64(longest-shortest)))
}

func (t *target) handlePacket(now time.Time, key packet.FlowKey, f *targetFlow, p Packet) {
	f.open, f.tag = true, p.Tag
	if f.response != nil && p.Ack == f.nextSeq+uint32(len(f.response)) {
		f.nextSeq, f.response = p.Ack, nil
	}
	if p.Seq == f.expectedSeq && len(p.Data) == requestBytes {
		f.expectedSeq += requestBytes
		f.request, f.responseAt = p.Data, now.Add(t.randomServiceTime())
		t.h.history.Runs = append(t.h.history.Runs, history.Run{ID: readRequest(p.Data), Target: t.entry.Name, Flow: key, Start: now})
	}
	if p.Flags.Has(packet.FIN) {
		t.send(key, Packet{Seq: f.nextSeq, Ack: f.expectedSeq + 1, Flags: packet.ACK | packet.FIN, Tag: f.tag})
		delete(t.flows, key)
		return
	}
	if len(p.Data) == 0 {
		return
	}
	if f.dataPackets++; f.dataPackets%ackEvery == 0 {
		t.send(key, Packet{Seq: f.nextSeq, Ack: f.expectedSeq, Flags: packet.ACK, Tag: f.tag})
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
