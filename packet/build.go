package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

const (
	// MaxResetText is the largest size of the text in a reset, in bytes. Longer texts are truncated.
	MaxResetText = 256

	generatedHopLimit = 64
	generatedWindow   = 65535

	ipv4DontFragment = 0x4000
)

// AppendReset appends the TCP reset that refuses the packet m, as a complete IP packet from m.Dst to
// m.Src with text as its payload (RFC 9293, sections 3.5.3 and 3.10.7.1). If m is a reset itself, it
// gets no response and dst is returned unchanged.
func AppendReset(dst []byte, m *Meta, text string) []byte {
	if m.Flags.Has(RST) {
		return dst
	}
	text = text[:min(len(text), MaxResetText)]
	if m.Flags.Has(ACK) {
		return appendTCP(dst, m.Dst, m.Src, RST, m.Ack, 0, text)
	}
	return appendTCP(dst, m.Dst, m.Src, RST|ACK, 0, m.Seq+m.SegmentLen(), text)
}

// AppendTCP appends a TCP segment without options as a complete IP packet from src to to. It returns
// dst unchanged if one address is IPv4 and the other IPv6.
func AppendTCP(dst []byte, src, to netip.AddrPort, flags Flags, seq, ack uint32, payload []byte) []byte {
	return appendTCP(dst, src, to, flags, seq, ack, payload)
}

// appendTCP implements AppendTCP. It accepts the payload as a string or as bytes, so that a string need not
// be copied first.
func appendTCP[P string | []byte](dst []byte, src, to netip.AddrPort, flags Flags, seq, ack uint32, payload P) []byte {
	srcAddr, dstAddr := src.Addr().Unmap(), to.Addr().Unmap()
	if srcAddr.Is4() != dstAddr.Is4() {
		return dst
	}
	segmentLen := tcpHeaderSize + len(payload)
	dst = appendIPHeader(dst, srcAddr, dstAddr, segmentLen)
	start := len(dst)
	dst = binary.BigEndian.AppendUint16(dst, src.Port())
	dst = binary.BigEndian.AppendUint16(dst, to.Port())
	dst = binary.BigEndian.AppendUint32(dst, seq)
	dst = binary.BigEndian.AppendUint32(dst, ack)
	dst = append(dst, tcpHeaderSize/4<<4, byte(flags))
	dst = binary.BigEndian.AppendUint16(dst, generatedWindow)
	dst = append(dst, 0, 0, 0, 0)
	dst = append(dst, payload...)
	segment := dst[start:]
	sum := gopacket.ComputeChecksum(segment, pseudoHeaderSum(srcAddr, dstAddr, segmentLen))
	binary.BigEndian.PutUint16(segment[16:18], gopacket.FoldChecksum(sum))
	return dst
}

// appendIPHeader appends the IPv4 or IPv6 header for a TCP segment of payloadLen bytes.
func appendIPHeader(dst []byte, src, to netip.Addr, payloadLen int) []byte {
	if src.Is4() {
		return appendIPv4Header(dst, src.As4(), to.As4(), payloadLen)
	}
	return appendIPv6Header(dst, src.As16(), to.As16(), payloadLen)
}

func appendIPv4Header(dst []byte, src, to [4]byte, payloadLen int) []byte {
	start := len(dst)
	dst = append(dst, 4<<4|ipv4HeaderSize/4, 0)
	dst = binary.BigEndian.AppendUint16(dst, uint16(ipv4HeaderSize+payloadLen))
	dst = append(dst, 0, 0)
	dst = binary.BigEndian.AppendUint16(dst, ipv4DontFragment)
	dst = append(dst, generatedHopLimit, byte(layers.IPProtocolTCP), 0, 0)
	dst = append(dst, src[:]...)
	dst = append(dst, to[:]...)
	header := dst[start:]
	sum := gopacket.ComputeChecksum(header, 0)
	binary.BigEndian.PutUint16(header[10:12], gopacket.FoldChecksum(sum))
	return dst
}

func appendIPv6Header(dst []byte, src, to [16]byte, payloadLen int) []byte {
	dst = append(dst, 6<<4, 0, 0, 0)
	dst = binary.BigEndian.AppendUint16(dst, uint16(payloadLen))
	dst = append(dst, byte(layers.IPProtocolTCP), generatedHopLimit)
	dst = append(dst, src[:]...)
	return append(dst, to[:]...)
}

// pseudoHeaderSum returns the unfolded checksum of the pseudo header of a TCP segment (RFC 9293,
// section 3.1).
func pseudoHeaderSum(src, to netip.Addr, segmentLen int) uint32 {
	sum := uint32(segmentLen) + uint32(layers.IPProtocolTCP)
	if src.Is4() {
		a, b := src.As4(), to.As4()
		return gopacket.ComputeChecksum(b[:], gopacket.ComputeChecksum(a[:], sum))
	}
	a, b := src.As16(), to.As16()
	return gopacket.ComputeChecksum(b[:], gopacket.ComputeChecksum(a[:], sum))
}

// DecrementHopLimit decrements the hop limit of a packet that was decoded without an error, and updates
// the IPv4 header's checksum incrementally (RFC 1624).
func DecrementHopLimit(b []byte) {
	if b[0]>>4 == 6 {
		b[7]--
		return
	}
	b[8]--
	// The hop limit is the high byte of its 16-bit word, so the one's complement checksum grows by 0x0100,
	// with the carry added back.
	sum := uint32(binary.BigEndian.Uint16(b[10:12])) + 0x0100
	binary.BigEndian.PutUint16(b[10:12], uint16(sum+(sum+1)>>16))
}
