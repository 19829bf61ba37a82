package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

// jsonDialect is a Dialect that encodes packets as JSON; of the store methods it has only TargetItem.
type jsonDialect struct{ Dialect }

func (jsonDialect) AppendPacket(_ []byte, p Packet) []byte {
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return raw
}

func (jsonDialect) ReadPacket(raw []byte) (p Packet, ok bool) {
	return p, json.Unmarshal(raw, &p) == nil
}

func (jsonDialect) TargetItem(t TargetEntry) (key string, value []byte) {
	return t.Name, []byte("here")
}

// packetFixture holds a caller and targets that share one UDP socket, from which the test reads their packets.
type packetFixture struct {
	h      *harness
	f      *flow
	socket *net.UDPConn
}

func newPacketFixture(t *testing.T) *packetFixture {
	h, f := newTestHarness()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	socketAddr := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	h.dialect, h.rand, h.port, h.entries[0].ip = jsonDialect{}, rand.New(rand.NewPCG(1, 1)), int(socketAddr.Port()), socketAddr.Addr()
	h.entries[0].ready = true
	c := f.c
	c.conn, c.addr, c.flows, c.portReusableAt = socket, socketAddr, map[uint16]*flow{}, map[uint16]time.Time{}
	f.key.Caller = netip.AddrPortFrom(socketAddr.Addr(), 1025)
	c.flows[1025] = f
	h.callerByIP = map[netip.Addr]*caller{socketAddr.Addr(): c}
	for _, target := range h.targets {
		target.conn, target.flows, target.nextRegisterAt = socket, map[packet.FlowKey]*targetFlow{}, time.Now().Add(time.Hour)
	}
	return &packetFixture{h: h, f: f, socket: socket}
}

// sent returns the packets written since the last call. It writes a marker datagram and reads up to it.
func (fx *packetFixture) sent() []Packet {
	const marker = "marker"
	fx.h.write(fx.socket, fx.f.c.addr, []byte(marker))
	var out []Packet
	buf := make([]byte, 2048)
	_ = fx.socket.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		n, err := fx.socket.Read(buf)
		if err != nil || string(buf[:n]) == marker {
			return out
		}
		p, _ := fx.h.dialect.ReadPacket(buf[:n])
		out = append(out, p)
	}
}

func TestTargetRetransmissions(t *testing.T) {
	Convey("A target retransmits a SYN-ACK eight times, first after 0.2 s and with intervals doubling up to 1.6 s, then drops the flow", t, func() {
		fx := newPacketFixture(t)
		target, now := fx.h.targets[0], time.Now()
		target.handle(now, fx.h.entries[0], fx.f.key, Packet{Src: fx.f.key.Caller, Dst: fx.f.key.Service, Seq: 7, Flags: packet.SYN, Tag: 3})
		So(fx.sent(), ShouldHaveLength, 1)
		var at []time.Duration
		for ms := time.Duration(0); ms < 20_000; ms += 100 {
			target.tick(now.Add(ms * time.Millisecond))
			for _, p := range fx.sent() {
				So(p.Flags, ShouldEqual, packet.SYN|packet.ACK)
				So(p.Ack, ShouldEqual, 8)
				So(p.Tag, ShouldEqual, 3)
				at = append(at, ms*time.Millisecond)
			}
		}
		So(at, ShouldResemble, []time.Duration{
			200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second,
			4600 * time.Millisecond, 6200 * time.Millisecond, 7800 * time.Millisecond, 9400 * time.Millisecond,
		})
		So(target.flows, ShouldBeEmpty)
	})
	Convey("A SYN with a new sequence number starts a new flow at the target, and a duplicate SYN gets the same SYN-ACK", t, func() {
		fx := newPacketFixture(t)
		target, now := fx.h.targets[0], time.Now()
		for _, seq := range []uint32{7, 7, 900} {
			target.handle(now, fx.h.entries[0], fx.f.key, Packet{Seq: seq, Flags: packet.SYN})
		}
		sent := fx.sent()
		So(sent[1], ShouldResemble, sent[0])
		So(sent[2].Seq, ShouldNotEqual, sent[0].Seq)
		So(sent[2].Ack, ShouldEqual, 901)
	})
	Convey("A busy target acknowledges only the retransmission of a request and executes the request once", t, func() {
		fx := newPacketFixture(t)
		target, now := fx.h.targets[0], time.Now()
		target.flows[fx.f.key] = &targetFlow{initial: 50, nextSeq: 51, callerInitial: 7, expectedSeq: 8, open: true}
		request := Packet{Seq: 8, Ack: 51, Flags: packet.ACK, Data: appendRequest(history.AttemptID{Request: 1})}
		target.handle(now, fx.h.entries[0], fx.f.key, request)
		So(fx.sent(), ShouldBeEmpty)
		target.handle(now, fx.h.entries[0], fx.f.key, request)
		So(fx.sent(), ShouldHaveLength, 1)
		So(fx.h.history.Runs, ShouldHaveLength, 1)
		target.tick(now.Add(maxSlowTime))
		So(fx.sent()[0].Data, ShouldHaveLength, requestBytes)
	})
}

func TestExpiredRegistrations(t *testing.T) {
	Convey("A target whose registration has expired goes on serving and registers again after the step", t, func() {
		fx := newPacketFixture(t)
		target, now := fx.h.targets[0], time.Now()
		listed := func() int {
			items, _ := fx.h.store.ItemsAfter("")
			return len(items)
		}
		target.register(now)
		So(listed(), ShouldEqual, 1)
		fx.h.execute(Step{Kind: Expire, For: 50 * time.Millisecond})
		target.tick(now.Add(2 * registerInterval))
		So(listed(), ShouldEqual, 0)
		target.handle(now, fx.h.entries[0], fx.f.key, Packet{Seq: 7, Flags: packet.SYN})
		So(fx.sent(), ShouldHaveLength, 1)
		time.Sleep(60 * time.Millisecond)
		fx.h.tick(time.Now())
		So(listed(), ShouldEqual, len(fx.h.targets))
	})
}

func TestCallersReturnTags(t *testing.T) {
	Convey("A caller returns the tag of the last packet, even if it is a second target's SYN-ACK", t, func() {
		fx := newPacketFixture(t)
		f, now := fx.f, time.Now()
		f.open, f.initial, f.nextSeq, f.pending = false, 7, 8, &request{id: 1}
		answer := func(seq, tag uint32) {
			raw := fx.h.dialect.AppendPacket(nil, Packet{
				Src: f.key.Service, Dst: f.key.Caller, Seq: seq, Ack: 8, Flags: packet.SYN | packet.ACK, Tag: tag,
			})
			f.c.receive(now, fx.h.targets[0].entry.Address, raw)
		}
		answer(50, 3)
		answer(70, 9)
		So(f.expectedSeq, ShouldEqual, 51)
		So(f.tag, ShouldEqual, 9)
		So(fx.sent(), ShouldHaveLength, 1)
	})
}

func TestResetsOfEarlierFlows(t *testing.T) {
	for _, c := range []struct {
		name           string
		seq            uint32
		flags          packet.Flags
		wantViolations int
	}{
		{"a packet of the flow", 200, packet.ACK, 1},
		{"a late duplicate of its SYN", 100, packet.SYN, 1},
		{"a late packet of an earlier flow between the same addresses", 7_000_000, packet.ACK, 0},
	} {
		Convey("A reset by another target counts as the daemon's fault only when it refuses a packet of the open flow: "+c.name, t, func() {
			fx := newPacketFixture(t)
			f, now := fx.f, time.Now()
			f.initial, f.nextSeq, f.expectedSeq = 100, 200, 500
			f.servedBy.flows[f.key] = &targetFlow{open: true}
			p := Packet{Src: f.key.Caller, Dst: f.key.Service, Seq: c.seq, Ack: 1, Flags: c.flags}
			fx.h.targets[1].reset(fx.h.entries[0], f.key, p)
			f.c.receive(now, fx.h.targets[1].entry.Address, fx.h.dialect.AppendPacket(nil, fx.sent()[0]))
			So(fx.h.violations, ShouldHaveLength, c.wantViolations)
			So(f.c.flows, ShouldHaveLength, 1-c.wantViolations)
		})
	}
}

func TestPortReuse(t *testing.T) {
	Convey("A caller reuses a port only after its flow has ended and the reuse delay has passed", t, func() {
		c := &caller{flows: make(map[uint16]*flow), portReusableAt: make(map[uint16]time.Time)}
		now := time.Now()
		c.port = c.freePort(now)
		first := c.port
		c.flows[first+1] = &flow{}
		for range portCount - 2 {
			c.port = c.freePort(now)
			So(c.port, ShouldNotEqual, first)
			So(c.port, ShouldNotEqual, first+1)
		}
		c.portReusableAt[first] = now.Add(portReuseDelay)
		So(c.freePort(now), ShouldNotEqual, first)
		So(c.freePort(now.Add(portReuseDelay)), ShouldEqual, first)
	})
}
