package packet

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/errkind"
)

var (
	caller4  = netip.MustParseAddrPort("198.51.100.7:40000")
	service4 = netip.MustParseAddrPort("192.0.2.10:443")
	caller6  = netip.MustParseAddrPort("[2001:db8:1::7]:40000")
	service6 = netip.MustParseAddrPort("[2001:db8:2::10]:443")
	payload  = []byte("reading 17")
)

func ipv4Packet() []byte {
	return AppendTCP(nil, caller4, service4, PSH|ACK, 1000, 2000, payload)
}

func ipv6Packet() []byte {
	return AppendTCP(nil, caller6, service6, SYN, 1000, 0, payload)
}

// editPacket applies a change to the packet, recomputes the IPv4 header's checksum, and returns the packet.
func editPacket(b []byte, change func(b []byte)) []byte {
	change(b)
	if b[0]>>4 == 4 {
		header := b[:ipv4HeaderSize]
		binary.BigEndian.PutUint16(header[10:], 0)
		binary.BigEndian.PutUint16(header[10:], gopacket.FoldChecksum(gopacket.ComputeChecksum(header, 0)))
	}
	return b
}

// withExtension inserts an IPv6 extension header of 8 bytes after the fixed header.
func withExtension(b []byte, kind layers.IPProtocol) []byte {
	next := b[6]
	b[6] = byte(kind)
	binary.BigEndian.PutUint16(b[4:], binary.BigEndian.Uint16(b[4:])+8)
	header := []byte{next, 0, 1, 4, 0, 0, 0, 0}
	return append(b[:ipv6HeaderSize:ipv6HeaderSize], append(header, b[ipv6HeaderSize:]...)...)
}

// withOptions inserts options into the IPv4 header.
func withOptions(b, options []byte) []byte {
	out := append(b[:ipv4HeaderSize:ipv4HeaderSize], append(options, b[ipv4HeaderSize:]...)...)
	out[0] += byte(len(options) / 4)
	binary.BigEndian.PutUint16(out[2:], uint16(len(out)))
	header := out[:ipv4HeaderSize+len(options)]
	binary.BigEndian.PutUint16(header[10:], 0)
	binary.BigEndian.PutUint16(header[10:], gopacket.FoldChecksum(gopacket.ComputeChecksum(header, 0)))
	return out
}

// withTCPOptions inserts options into the TCP header of an IPv6 packet.
func withTCPOptions(b, options []byte) []byte {
	at := ipv6HeaderSize + tcpHeaderSize
	out := append(b[:at:at], append(options, b[at:]...)...)
	out[ipv6HeaderSize+12] += byte(len(options)/4) << 4
	binary.BigEndian.PutUint16(out[4:], uint16(len(out)-ipv6HeaderSize))
	return out
}

func TestDecodeValidPackets(t *testing.T) {
	// An MPTCP MP_CAPABLE option, which gopacket would allocate for if it decoded the option.
	mptcp := []byte{30, 12, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8}
	cases := []struct {
		name string
		b    []byte
		want Meta
	}{
		{"IPv4", ipv4Packet(), Meta{caller4, service4, PSH | ACK, 1000, 2000, 10, 64, 50, false, 0}},
		{"IPv4 with options", withOptions(ipv4Packet(), []byte{1, 1, 1, 0}), Meta{caller4, service4, PSH | ACK, 1000, 2000, 10, 64, 54, false, 0}},
		{"IPv4 with don't fragment cleared", editPacket(ipv4Packet(), func(b []byte) { b[6] = 0 }), Meta{caller4, service4, PSH | ACK, 1000, 2000, 10, 64, 50, false, 0}},
		{"IPv4 with ECN bits", editPacket(ipv4Packet(), func(b []byte) { b[33] |= 0xe0 }), Meta{caller4, service4, PSH | ACK, 1000, 2000, 10, 64, 50, false, 0}},
		{"IPv4 with the lowest hop limit", editPacket(ipv4Packet(), func(b []byte) { b[8] = 2 }), Meta{caller4, service4, PSH | ACK, 1000, 2000, 10, 2, 50, false, 0}},
		{"IPv6", ipv6Packet(), Meta{caller6, service6, SYN, 1000, 0, 10, 64, 70, false, 0}},
		{"IPv6 hop-by-hop", withExtension(ipv6Packet(), layers.IPProtocolIPv6HopByHop), Meta{caller6, service6, SYN, 1000, 0, 10, 64, 78, false, 0}},
		{"IPv6 destination options", withExtension(ipv6Packet(), layers.IPProtocolIPv6Destination), Meta{caller6, service6, SYN, 1000, 0, 10, 64, 78, false, 0}},
		{"IPv6 hop-by-hop and destination options", withExtension(withExtension(ipv6Packet(), layers.IPProtocolIPv6Destination), layers.IPProtocolIPv6HopByHop), Meta{caller6, service6, SYN, 1000, 0, 10, 64, 86, false, 0}},
		{"TCP with options", withTCPOptions(ipv6Packet(), mptcp), Meta{caller6, service6, SYN, 1000, 0, 10, 64, 82, false, 0}},
	}
	Convey("Valid packets are decoded without an allocation", t, func() {
		d := NewDecoder(DecoderConfig{})
		for _, c := range cases {
			Convey(c.name, func() {
				var m Meta
				So(d.Decode(c.b, &m), ShouldEqual, errkind.None)
				So(m, ShouldResemble, c.want)
				So(testing.AllocsPerRun(100, func() { d.Decode(c.b, &m) }), ShouldEqual, 0)
			})
		}
	})
}

func TestDecodeInvalidPackets(t *testing.T) {
	const tcp4, tcp6 = ipv4HeaderSize, ipv6HeaderSize
	set4 := func(at int, v ...byte) []byte { return editPacket(ipv4Packet(), func(b []byte) { copy(b[at:], v) }) }
	set6 := func(at int, v ...byte) []byte { return editPacket(ipv6Packet(), func(b []byte) { copy(b[at:], v) }) }
	truncatedTCP4 := editPacket(ipv4Packet()[:30], func(b []byte) { b[3] = 30 })
	truncatedTCP6 := editPacket(ipv6Packet()[:50], func(b []byte) { b[5] = 10 })
	mapped := netip.MustParseAddr("::ffff:192.0.2.10").As16()

	cases := []struct {
		name string
		b    []byte
		want errkind.Kind
	}{
		{"empty", nil, errkind.PacketTruncated},
		{"version 5", set4(0, 0x55), errkind.PacketMalformed},
		{"IPv4 header truncated", ipv4Packet()[:19], errkind.PacketTruncated},
		{"IPv4 payload truncated", ipv4Packet()[:49], errkind.PacketTruncated},
		{"IPv4 longer than its length field", append(ipv4Packet(), 0), errkind.PacketMalformed},
		{"IPv4 length 0", set4(2, 0, 0), errkind.PacketMalformed},
		{"IPv4 length below the header", set4(2, 0, 19), errkind.PacketMalformed},
		{"IPv4 header length 4", set4(0, 0x44), errkind.PacketMalformed},
		{"IPv4 header longer than the packet", editPacket(ipv4Packet()[:40], func(b []byte) { b[0], b[3] = 0x4f, 40 }), errkind.PacketMalformed},
		{"IPv4 option length 0", withOptions(ipv4Packet(), []byte{7, 0, 0, 0}), errkind.PacketMalformed},
		{"IPv4 option too long", withOptions(ipv4Packet(), []byte{7, 9, 0, 0}), errkind.PacketMalformed},
		{"IPv4 wrong checksum", func() []byte { b := ipv4Packet(); b[10]++; return b }(), errkind.PacketMalformed},
		{"IPv4 first fragment", set4(6, 0x20, 0), errkind.PacketFragment},
		{"IPv4 last fragment", set4(6, 0, 9), errkind.PacketFragment},
		{"IPv4 UDP", set4(9, 17), errkind.PacketNotTCP},
		{"IPv4 hop limit 1", set4(8, 1), errkind.PacketLooping},
		{"IPv4 hop limit 0", set4(8, 0), errkind.PacketLooping},
		{"IPv4 source unspecified", set4(12, 0, 0, 0, 0), errkind.PacketMalformed},
		{"IPv4 destination multicast", set4(16, 224, 0, 0, 1), errkind.PacketMalformed},
		{"IPv6 header truncated", ipv6Packet()[:39], errkind.PacketTruncated},
		{"IPv6 payload truncated", ipv6Packet()[:69], errkind.PacketTruncated},
		{"IPv6 longer than its length field", append(ipv6Packet(), 0), errkind.PacketMalformed},
		{"IPv6 payload length 0", set6(4, 0, 0), errkind.PacketMalformed},
		{"IPv6 fragment", withExtension(ipv6Packet(), layers.IPProtocolIPv6Fragment), errkind.PacketFragment},
		{"IPv6 fragment header after options", withExtension(withExtension(ipv6Packet(), layers.IPProtocolIPv6Fragment), layers.IPProtocolIPv6Destination), errkind.PacketFragment},
		{"IPv6 routing header", withExtension(ipv6Packet(), layers.IPProtocolIPv6Routing), errkind.PacketNotTCP},
		{"IPv6 hop-by-hop not first", withExtension(withExtension(ipv6Packet(), layers.IPProtocolIPv6HopByHop), layers.IPProtocolIPv6Destination), errkind.PacketMalformed},
		{"IPv6 extension truncated", editPacket(withExtension(ipv6Packet(), layers.IPProtocolIPv6Destination), func(b []byte) { b[41] = 200 }), errkind.PacketTruncated},
		{"IPv6 too many extensions", func() []byte {
			b := ipv6Packet()
			for range maxExtensionHeaders + 1 {
				b = withExtension(b, layers.IPProtocolIPv6Destination)
			}
			return b
		}(), errkind.PacketMalformed},
		{"IPv6 ICMP", set6(6, 58), errkind.PacketNotTCP},
		{"IPv6 hop limit 1", set6(7, 1), errkind.PacketLooping},
		{"IPv6 destination IPv4-mapped", set6(24, mapped[:]...), errkind.PacketMalformed},
		{"TCP header truncated, IPv4", truncatedTCP4, errkind.PacketTruncated},
		{"TCP header truncated, IPv6", truncatedTCP6, errkind.PacketTruncated},
		{"TCP data offset 4", set4(tcp4+12, 0x40), errkind.PacketMalformed},
		{"TCP data offset beyond the segment", set6(tcp6+12, 0xf0), errkind.PacketMalformed},
		{"TCP source port 0", set4(tcp4, 0, 0), errkind.PacketMalformed},
		{"TCP destination port 0", set4(tcp4+2, 0, 0), errkind.PacketMalformed},
		{"TCP SYN and FIN", set4(tcp4+13, byte(SYN|FIN)), errkind.PacketMalformed},
		{"TCP SYN and RST", set4(tcp4+13, byte(SYN|RST|ACK)), errkind.PacketMalformed},
		{"over the MTU", AppendTCP(nil, caller4, service4, ACK, 1, 1, make([]byte, DefaultMTU-39)), errkind.PacketOversize},
	}
	Convey("Each invalid packet is reported with its error kind", t, func() {
		d := NewDecoder(DecoderConfig{})
		for _, c := range cases {
			Convey(c.name, func() {
				var m Meta
				So(d.Decode(c.b, &m), ShouldEqual, c.want)
			})
		}
	})
	Convey("A packet of exactly the MTU is accepted", t, func() {
		var m Meta
		b := AppendTCP(nil, caller4, service4, ACK, 1, 1, make([]byte, DefaultMTU-40))
		So(NewDecoder(DecoderConfig{}).Decode(b, &m), ShouldEqual, errkind.None)
		So(NewDecoder(DecoderConfig{MTU: 1400}).Decode(b, &m), ShouldEqual, errkind.PacketOversize)
	})
}

func TestDecrementHopLimit(t *testing.T) {
	Convey("The hop limit decreases by one and the packet stays valid, down to the lowest forwardable hop limit", t, func() {
		d := NewDecoder(DecoderConfig{})
		for _, b := range [][]byte{ipv4Packet(), ipv6Packet()} {
			var m Meta
			for want := 64; want >= minForwardHopLimit; want-- {
				So(d.Decode(b, &m), ShouldEqual, errkind.None)
				So(m.HopLimit, ShouldEqual, want)
				DecrementHopLimit(b)
			}
			So(d.Decode(b, &m), ShouldEqual, errkind.PacketLooping)
		}
	})
	Convey("The updated IPv4 checksum is correct for every identification, including those that cause a carry", t, func() {
		d := NewDecoder(DecoderConfig{})
		var rejected int
		for id := range 1 << 16 {
			b := editPacket(ipv4Packet(), func(b []byte) { binary.BigEndian.PutUint16(b[4:], uint16(id)) })
			DecrementHopLimit(b)
			var m Meta
			if d.Decode(b, &m) != errkind.None {
				rejected++
			}
		}
		So(rejected, ShouldEqual, 0)
	})
}
