package packet

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/errkind"
)

// checkChecksums verifies the checksums of a complete packet with gopacket.
func checkChecksums(b []byte) {
	first := gopacket.LayerType(layers.LayerTypeIPv4)
	if b[0]>>4 == 6 {
		first = layers.LayerTypeIPv6
	}
	p := gopacket.NewPacket(b, first, gopacket.Default)
	So(p.TransportLayer().(*layers.TCP).SetNetworkLayerForChecksum(p.NetworkLayer()), ShouldBeNil)
	err, mismatches := p.VerifyChecksums()
	So(err, ShouldBeNil)
	So(mismatches, ShouldBeEmpty)
}

func TestAppendReset(t *testing.T) {
	const text = "service_full not run retry after 1000 ms"
	cases := []struct {
		name     string
		flags    Flags
		seq, ack uint32
		payload  int
		want     Flags
		wantSeq  uint32
		wantAck  uint32
	}{
		{name: "SYN", flags: SYN, seq: 100, want: RST | ACK, wantAck: 101},
		{name: "SYN with data", flags: SYN, seq: 100, payload: 7, want: RST | ACK, wantAck: 108},
		{name: "SYN at the end of the sequence space", flags: SYN, seq: 1<<32 - 1, want: RST | ACK, wantAck: 0},
		{name: "FIN without ACK", flags: FIN, seq: 100, payload: 7, want: RST | ACK, wantAck: 108},
		{name: "data", flags: PSH | ACK, seq: 100, ack: 900, payload: 7, want: RST, wantSeq: 900},
		{name: "SYN and ACK", flags: SYN | ACK, seq: 100, ack: 900, want: RST, wantSeq: 900},
	}
	addrPairs := []struct{ caller, service netip.AddrPort }{{caller4, service4}, {caller6, service6}}
	Convey("A reset follows RFC 9293 and carries the text", t, func() {
		d := NewDecoder(DecoderConfig{})
		for _, c := range cases {
			for _, e := range addrPairs {
				Convey(c.name+" "+e.caller.String(), func() {
					in := &Meta{Src: e.caller, Dst: e.service, Flags: c.flags, Seq: c.seq, Ack: c.ack, PayloadLen: c.payload}
					b := AppendReset(nil, in, text)
					checkChecksums(b)
					var m Meta
					So(d.Decode(b, &m), ShouldEqual, errkind.None)
					So(m, ShouldResemble, Meta{e.service, e.caller, c.want, c.wantSeq, c.wantAck, len(text), generatedHopLimit, len(b), false, 0})
					So(string(b[len(b)-len(text):]), ShouldEqual, text)
				})
			}
		}
	})
	Convey("A reset gets no reset in response", t, func() {
		So(AppendReset([]byte("x"), &Meta{Src: caller4, Dst: service4, Flags: RST | ACK}, text), ShouldResemble, []byte("x"))
	})
	Convey("A long text is truncated", t, func() {
		var m Meta
		b := AppendReset(nil, &Meta{Src: caller4, Dst: service4, Flags: SYN}, strings.Repeat("x", 9000))
		So(NewDecoder(DecoderConfig{}).Decode(b, &m), ShouldEqual, errkind.None)
		So(m.PayloadLen, ShouldEqual, MaxResetText)
	})
	Convey("A reset into a buffer with enough capacity allocates nothing", t, func() {
		buf := make([]byte, 0, DefaultMTU)
		in := &Meta{Src: caller6, Dst: service6, Flags: SYN}
		So(testing.AllocsPerRun(100, func() { AppendReset(buf, in, text) }), ShouldEqual, 0)
	})
}

func TestAppendTCP(t *testing.T) {
	Convey("Checksums are correct for even and odd payload lengths", t, func() {
		for n := range 5 {
			checkChecksums(AppendTCP(nil, caller4, service4, ACK, 1, 2, payload[:n]))
			checkChecksums(AppendTCP(nil, caller6, service6, ACK, 1, 2, payload[:n]))
		}
	})
	Convey("The packet is appended to the buffer", t, func() {
		b := AppendTCP([]byte("head"), caller4, service4, ACK, 1, 2, payload)
		So(string(b[:4]), ShouldEqual, "head")
		So(b[4:], ShouldResemble, AppendTCP(nil, caller4, service4, ACK, 1, 2, payload))
	})
	Convey("Addresses of different families yield no packet", t, func() {
		So(AppendTCP(nil, caller4, service6, ACK, 1, 2, nil), ShouldBeNil)
	})
}

func TestFlowKey(t *testing.T) {
	mapped := func(a netip.AddrPort) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr().As16()), a.Port())
	}
	key := FlowKey{caller4, service4}
	Convey("The hash of a flow is fixed, since all daemons must compute the same one", t, func() {
		So(uint64(key.Hash()), ShouldEqual, uint64(0x107ca2891bb86c14))
	})
	Convey("IPv4-mapped IPv6 addresses give the same hash", t, func() {
		So(FlowKey{mapped(caller4), mapped(service4)}.Hash(), ShouldEqual, key.Hash())
	})
	Convey("Both directions of a flow give the same key", t, func() {
		out := &Meta{Src: caller4, Dst: service4}
		back := &Meta{Src: service4, Dst: caller4}
		So(out.Key(), ShouldResemble, key)
		So(back.ReturnKey(), ShouldResemble, key)
	})
	Convey("Each part of the key changes the hash", t, func() {
		others := []FlowKey{
			{service4, caller4},
			{netip.AddrPortFrom(caller4.Addr(), 40001), service4},
			{caller4, netip.AddrPortFrom(service4.Addr(), 444)},
			{netip.AddrPortFrom(caller4.Addr().Next(), 40000), service4},
			{caller6, service6},
		}
		for _, o := range others {
			So(o.Hash(), ShouldNotEqual, key.Hash())
		}
	})
	Convey("Hashing allocates nothing", t, func() {
		So(testing.AllocsPerRun(100, func() { key.Hash() }), ShouldEqual, 0)
	})
}
