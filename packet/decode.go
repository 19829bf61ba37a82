package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/fireflypin/fireflypin/errkind"
)

const (
	// DefaultMTU is the size of the largest inner packet that a Decoder accepts by default, in bytes.
	DefaultMTU = 1500

	ipv4HeaderSize = 20
	ipv6HeaderSize = 40
	tcpHeaderSize  = 20

	// minForwardHopLimit is the lowest hop limit with which a packet may be forwarded.
	minForwardHopLimit = 2

	// maxExtensionHeaders is the largest number of IPv6 extension headers that are skipped in one packet.
	maxExtensionHeaders = 4
)

// DecoderConfig holds the settings of a Decoder.
type DecoderConfig struct {
	// MTU is the size of the largest inner packet in bytes; longer ones are PacketOversize. 0 means
	// DefaultMTU. Read buffers must hold MTU+1 bytes, so that a longer packet is not reported as truncated.
	MTU int
}

// Decoder decodes inner packets. It holds scratch buffers and is not safe for concurrent use.
type Decoder struct {
	mtu       int
	ip4       layers.IPv4
	ip6       layers.IPv6
	extension layers.IPv6ExtensionSkipper
	tcp       layers.TCP
	ip6Header [ipv6HeaderSize]byte
	tcpHeader [tcpHeaderSize]byte
}

// NewDecoder returns a Decoder.
func NewDecoder(cfg DecoderConfig) *Decoder {
	mtu := cfg.MTU
	if mtu == 0 {
		mtu = DefaultMTU
	}
	return &Decoder{mtu: mtu}
}

// Decode validates the packet b and fills m. It returns errkind.None for a packet that may be forwarded,
// or the reason to drop it; the content of m is then undefined. The decoder may refer to b until the next
// call.
func (d *Decoder) Decode(b []byte, m *Meta) errkind.Kind {
	if len(b) == 0 {
		return errkind.PacketTruncated
	}
	if len(b) > d.mtu {
		return errkind.PacketOversize
	}
	switch b[0] >> 4 {
	case 4:
		return d.decodeIPv4(b, m)
	case 6:
		return d.decodeIPv6(b, m)
	default:
		return errkind.PacketMalformed
	}
}

func (d *Decoder) decodeIPv4(b []byte, m *Meta) errkind.Kind {
	if kind := checkIPv4Lengths(b); kind != errkind.None {
		return kind
	}
	if err := d.ip4.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return errkind.PacketMalformed
	}
	if gopacket.FoldChecksum(gopacket.ComputeChecksum(d.ip4.Contents, 0)) != 0 {
		return errkind.PacketMalformed
	}
	if d.ip4.Flags&layers.IPv4MoreFragments != 0 || d.ip4.FragOffset != 0 {
		return errkind.PacketFragment
	}
	if d.ip4.Protocol != layers.IPProtocolTCP {
		return errkind.PacketNotTCP
	}
	m.HopLimit = d.ip4.TTL
	m.Len = len(b)
	return d.decodeTCP(d.ip4.Payload, d.ip4.SrcIP, d.ip4.DstIP, m)
}

// checkIPv4Lengths checks the header's length fields against the datagram's length.
func checkIPv4Lengths(b []byte) errkind.Kind {
	if len(b) < ipv4HeaderSize {
		return errkind.PacketTruncated
	}
	header := int(b[0]&0x0f) * 4
	total := int(binary.BigEndian.Uint16(b[2:4]))
	switch {
	case header < ipv4HeaderSize || total < header:
		return errkind.PacketMalformed
	case total > len(b):
		return errkind.PacketTruncated
	case total < len(b):
		return errkind.PacketMalformed
	}
	return errkind.None
}

// decodeIPv6 decodes a copy of the fixed header with its next header set to none, since gopacket
// allocates when it decodes hop-by-hop options.
func (d *Decoder) decodeIPv6(b []byte, m *Meta) errkind.Kind {
	if kind := checkIPv6Lengths(b); kind != errkind.None {
		return kind
	}
	copy(d.ip6Header[:], b)
	d.ip6Header[6] = byte(layers.IPProtocolNoNextHeader)
	if err := d.ip6.DecodeFromBytes(d.ip6Header[:], gopacket.NilDecodeFeedback); err != nil {
		return errkind.PacketMalformed
	}
	segment, kind := d.skipExtensions(layers.IPProtocol(b[6]), b[ipv6HeaderSize:])
	if kind != errkind.None {
		return kind
	}
	m.HopLimit = d.ip6.HopLimit
	m.Len = len(b)
	return d.decodeTCP(segment, d.ip6.SrcIP, d.ip6.DstIP, m)
}

// checkIPv6Lengths checks the header's payload length against the datagram's length. A payload length
// of zero is invalid: it marks a jumbogram, which is always larger than the MTU.
func checkIPv6Lengths(b []byte) errkind.Kind {
	if len(b) < ipv6HeaderSize {
		return errkind.PacketTruncated
	}
	payload := int(binary.BigEndian.Uint16(b[4:6]))
	total := ipv6HeaderSize + payload
	switch {
	case payload == 0:
		return errkind.PacketMalformed
	case total > len(b):
		return errkind.PacketTruncated
	case total < len(b):
		return errkind.PacketMalformed
	}
	return errkind.None
}

// skipExtensions returns the TCP segment after hop-by-hop and destination options. Hop-by-hop options
// are valid only as the first extension header.
func (d *Decoder) skipExtensions(next layers.IPProtocol, payload []byte) ([]byte, errkind.Kind) {
	for i := range maxExtensionHeaders {
		if next == layers.IPProtocolIPv6HopByHop && i > 0 {
			return nil, errkind.PacketMalformed
		}
		switch next {
		case layers.IPProtocolTCP:
			return payload, errkind.None
		case layers.IPProtocolIPv6Fragment:
			return nil, errkind.PacketFragment
		case layers.IPProtocolIPv6HopByHop, layers.IPProtocolIPv6Destination:
			if err := d.extension.DecodeFromBytes(payload, gopacket.NilDecodeFeedback); err != nil {
				return nil, errkind.PacketTruncated
			}
			next = d.extension.NextHeader
			payload = d.extension.Payload
		default:
			return nil, errkind.PacketNotTCP
		}
	}
	return nil, errkind.PacketMalformed
}

// decodeTCP fills the TCP fields of m and validates m. It decodes a copy of the fixed header without
// options: no decision depends on them, and gopacket allocates when it decodes some of them.
func (d *Decoder) decodeTCP(segment, src, dst []byte, m *Meta) errkind.Kind {
	if len(segment) < tcpHeaderSize {
		return errkind.PacketTruncated
	}
	header := int(segment[12]>>4) * 4
	if header < tcpHeaderSize || header > len(segment) {
		return errkind.PacketMalformed
	}
	copy(d.tcpHeader[:], segment)
	d.tcpHeader[12] = tcpHeaderSize / 4 << 4
	if err := d.tcp.DecodeFromBytes(d.tcpHeader[:], gopacket.NilDecodeFeedback); err != nil {
		return errkind.PacketMalformed
	}
	srcAddr, srcOK := netip.AddrFromSlice(src)
	dstAddr, dstOK := netip.AddrFromSlice(dst)
	if !srcOK || !dstOK {
		return errkind.PacketMalformed
	}
	m.Src = netip.AddrPortFrom(srcAddr, uint16(d.tcp.SrcPort))
	m.Dst = netip.AddrPortFrom(dstAddr, uint16(d.tcp.DstPort))
	m.Flags = Flags(segment[13]) & flagsMask
	m.Seq = d.tcp.Seq
	m.Ack = d.tcp.Ack
	m.PayloadLen = len(segment) - header
	return checkMeta(m)
}

// checkMeta rejects packets that no valid caller or target sends, and those whose hop limit is exhausted.
func checkMeta(m *Meta) errkind.Kind {
	if !validAddrPort(m.Src) || !validAddrPort(m.Dst) {
		return errkind.PacketMalformed
	}
	if m.Flags.Has(SYN|FIN) || m.Flags.Has(SYN|RST) {
		return errkind.PacketMalformed
	}
	if m.HopLimit < minForwardHopLimit {
		return errkind.PacketLooping
	}
	return errkind.None
}

// validAddrPort reports whether an address and port can be one end of a TCP connection.
func validAddrPort(a netip.AddrPort) bool {
	addr := a.Addr()
	return a.Port() != 0 && !addr.IsUnspecified() && !addr.IsMulticast() && !addr.Is4In6()
}
