package packet

import "net/netip"

// Flags are the control bits of a TCP segment, with their values on the wire.
type Flags uint8

// The control bits that decisions depend on.
const (
	FIN Flags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// flagsMask keeps the bits that Flags names; URG, ECE and CWR are dropped.
const flagsMask = FIN | SYN | RST | PSH | ACK

// Has reports whether all bits of f are set.
func (s Flags) Has(f Flags) bool {
	return s&f == f
}

// Meta is what decisions need to know of one packet.
type Meta struct {
	Src, Dst netip.AddrPort
	Flags    Flags
	Seq, Ack uint32
	// PayloadLen is the number of TCP payload bytes.
	PayloadLen int
	// HopLimit is the TTL of IPv4 or the hop limit of IPv6, as received.
	HopLimit uint8
	// Len is the length of the whole IP packet in bytes.
	Len int
	// Copy is true for a SYN that its caller has sent before; false on transports that do not tell.
	Copy bool
}

// SegmentLen returns the sequence numbers that the segment takes: its payload, SYN and FIN.
func (m *Meta) SegmentLen() uint32 {
	n := uint32(m.PayloadLen)
	if m.Flags.Has(SYN) {
		n++
	}
	if m.Flags.Has(FIN) {
		n++
	}
	return n
}

// Key returns the flow of a packet that a caller sent.
func (m *Meta) Key() FlowKey {
	return FlowKey{Caller: m.Src, Service: m.Dst}
}

// ReturnKey returns the flow of a packet that a target sent as an answer.
func (m *Meta) ReturnKey() FlowKey {
	return FlowKey{Caller: m.Dst, Service: m.Src}
}
