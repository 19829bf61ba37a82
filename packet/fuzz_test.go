package packet

import (
	"testing"

	"github.com/gopacket/gopacket/layers"

	"github.com/fireflypin/fireflypin/errkind"
)

// FuzzDecode checks that no input makes the decoder panic, and that every accepted packet can be built
// again from its Meta.
func FuzzDecode(f *testing.F) {
	seeds := [][]byte{
		ipv4Packet(),
		ipv6Packet(),
		withOptions(ipv4Packet(), []byte{1, 1, 1, 0}),
		withExtension(ipv6Packet(), layers.IPProtocolIPv6HopByHop),
		withExtension(ipv6Packet(), layers.IPProtocolIPv6Destination),
		withExtension(ipv6Packet(), layers.IPProtocolIPv6Fragment),
		withTCPOptions(ipv6Packet(), []byte{2, 4, 5, 180}),
		AppendReset(nil, &Meta{Src: caller4, Dst: service4, Flags: SYN}, "not run"),
	}
	for _, s := range seeds {
		f.Add(s)
	}
	d, second := NewDecoder(DecoderConfig{}), NewDecoder(DecoderConfig{})
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Meta
		if d.Decode(b, &m) != errkind.None {
			return
		}
		if m.Len != len(b) || m.PayloadLen < 0 || m.PayloadLen > m.Len-ipv4HeaderSize-tcpHeaderSize {
			t.Fatalf("packet of %d bytes decodes to inconsistent lengths: %+v", len(b), m)
		}
		rebuilt := AppendTCP(nil, m.Src, m.Dst, m.Flags, m.Seq, m.Ack, b[len(b)-m.PayloadLen:])
		var redecoded Meta
		if kind := second.Decode(rebuilt, &redecoded); kind != errkind.None {
			t.Fatalf("packet rebuilt from %+v is rejected as %v", m, kind)
		}
		want := m
		want.HopLimit, want.Len = generatedHopLimit, len(rebuilt)
		if redecoded != want {
			t.Fatalf("decoded %+v, decoded after rebuilding %+v", want, redecoded)
		}
		checkForwarded(t, d, b, m)
		checkReset(t, d, &m)
	})
}

// checkForwarded decrements the hop limit and expects the same packet, or PacketLooping below the limit.
func checkForwarded(t *testing.T, d *Decoder, b []byte, m Meta) {
	forwarded := append([]byte(nil), b...)
	DecrementHopLimit(forwarded)
	var next Meta
	kind := d.Decode(forwarded, &next)
	m.HopLimit--
	if m.HopLimit < minForwardHopLimit {
		if kind != errkind.PacketLooping {
			t.Fatalf("packet with hop limit %d is reported as %v", m.HopLimit, kind)
		}
		return
	}
	if kind != errkind.None || next != m {
		t.Fatalf("forwarded packet %+v decodes to %v %+v", m, kind, next)
	}
}

// checkReset expects that the reset for a packet is a valid packet to its source, and that a reset gets none.
func checkReset(t *testing.T, d *Decoder, m *Meta) {
	b := AppendReset(nil, m, "not run")
	if m.Flags.Has(RST) {
		if b != nil {
			t.Fatalf("a reset is built in response to a reset: %x", b)
		}
		return
	}
	var reset Meta
	if kind := d.Decode(b, &reset); kind != errkind.None || reset.Src != m.Dst || reset.Dst != m.Src || !reset.Flags.Has(RST) {
		t.Fatalf("reset for %+v decodes to %v %+v", m, kind, reset)
	}
}
