package packet

import (
	"net/netip"
	"time"
)

// Flags are the control bits of a TCP segment, with their values in the TCP header.
type Flags uint8

// The control bits that decisions depend on.
const (
	FIN Flags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// flagsMask selects the bits that Flags names; URG, ECE and CWR are ignored.
const flagsMask = FIN | SYN | RST | PSH | ACK

// Has reports whether all bits of f are set.
func (s Flags) Has(f Flags) bool {
	return s&f == f
}

// Meta holds the header fields of one packet that forwarding decisions depend on.
type Meta struct {
	Src, Dst netip.AddrPort
	Flags    Flags
	Seq, Ack uint32
	// PayloadLen is the number of TCP payload bytes.
	PayloadLen int
	// HopLimit is the TTL of IPv4 or the hop limit of IPv6, as received.
	HopLimit uint8
	// Len is the length of the complete packet in bytes, headers included.
	Len int
	// DuplicateSYN is true for a duplicate SYN, one that its caller has sent before. It is always false on
	// transports whose packets do not carry this information.
	DuplicateSYN bool
	// FirstSYNAge is how long before a duplicate SYN its caller sent the first one, 0 if that is not known. It is for logs.
	FirstSYNAge time.Duration
}

// SegmentLen returns the number of sequence numbers that the segment occupies: its payload bytes, SYN and FIN.
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

// Key returns the flow key of a packet from a caller.
func (m *Meta) Key() FlowKey {
	return FlowKey{Caller: m.Src, Service: m.Dst}
}

// ReturnKey returns the flow key of a response packet from a target.
func (m *Meta) ReturnKey() FlowKey {
	return FlowKey{Caller: m.Dst, Service: m.Src}
}
