package flow

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// State is the stage of an owned flow, derived from the caller's packets.
type State uint8

// The states of an owned flow.
const (
	// StateHalfOpen is a half-open flow: its SYN was sent to a target, but no later packet.
	StateHalfOpen State = iota
	// StateOpen is a flow that has carried more than its SYN.
	StateOpen
	// StateClosing is a flow whose caller has sent FIN or RST.
	StateClosing
)

// PackedAddrPort is an IP address and port without pointers, so that the garbage collector need not scan
// a large table.
type PackedAddrPort struct {
	IP   [16]byte
	Port uint16
}

// PackAddrPort packs an address and port.
func PackAddrPort(a netip.AddrPort) PackedAddrPort {
	return PackedAddrPort{IP: a.Addr().As16(), Port: a.Port()}
}

// AddrPort unpacks the address and port; IPv4-mapped IPv6 addresses are returned as IPv4.
func (p PackedAddrPort) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(p.IP).Unmap(), p.Port)
}

// SeqKind says which sequence number of the caller an Entry holds.
type SeqKind uint8

const (
	// SeqUnknown means that this daemon has received no packet of the flow.
	SeqUnknown SeqKind = iota
	// SeqOfLaterPacket is the caller's number in the first packet that this daemon received of a flow that
	// another owner placed.
	SeqOfLaterPacket
	// SeqInitial is the initial sequence number, from the flow's SYN.
	SeqInitial
)

// SeqWindow is the largest distance, in bytes, between two sequence numbers of one flow that this daemon
// receives one after the other. The numbers of another flow between the same addresses are random: about
// one in 2,000 lies within the window in either direction.
const SeqWindow = 1 << 20

// Entry is one owned flow.
type Entry struct {
	// Caller and Service are zero for a flow known only from a log, until its first packet.
	Caller  PackedAddrPort
	Service PackedAddrPort
	Target  model.TargetID
	// LastSeen is when the last packet arrived, in milliseconds since the table's epoch, truncated to
	// 32 bits.
	LastSeen uint32
	State    State
	// Exception is true while the owner's log holds the flow, because its target is not its default one.
	Exception bool
	SeqKind   SeqKind
	// SeqNumber is a sequence number of the caller, of the kind that the previous field gives.
	SeqNumber uint32
	// ReplacedISN is the initial sequence number of the flow between the same addresses that this one
	// replaced; 0 for none.
	ReplacedISN uint32
}

// OwnsSYN reports whether a SYN with the given number belongs to this flow. known is false if no
// number of the flow is known to compare with.
func (e Entry) OwnsSYN(syn uint32) (own, known bool) {
	switch e.SeqKind {
	case SeqInitial:
		return syn == e.SeqNumber, true
	case SeqOfLaterPacket:
		return e.SeqNumber-syn < SeqWindow, true
	default:
		return false, false
	}
}

// ReplacedSYN reports whether a SYN with the given number belongs to the flow between the same addresses
// that this one replaced.
func (e Entry) ReplacedSYN(syn uint32) bool {
	return e.ReplacedISN != 0 && e.ReplacedISN == syn
}

// Identified reports whether the flow's addresses are known.
func (e Entry) Identified() bool {
	return e.Service != PackedAddrPort{}
}

// Progress is the part of an owned flow that is needed for every packet.
type Progress struct {
	Target   model.TargetID
	LastSeen uint32
	State    State
	// Exception is true while the owner's log holds the flow as an exception.
	Exception bool
	// Identified is true if the flow's addresses are known.
	Identified bool
	SeqKind    SeqKind
}

// Config sets how long flows are remembered.
type Config struct {
	// HalfOpenTimeout is how long a half-open flow is remembered. Default 30 s.
	HalfOpenTimeout time.Duration
	// IdleTimeout is how long an open flow without packets is remembered. Default 1 h. It must exceed
	// the longest pause of the callers: the packets of a forgotten exception go to its default target.
	IdleTimeout time.Duration
	// ClosingTimeout is how long a flow is remembered after its last packet once the caller has sent
	// FIN or RST. Default 60 s.
	ClosingTimeout time.Duration
}

// Defaults fills unset fields.
func (c Config) Defaults() Config {
	if c.HalfOpenTimeout == 0 {
		c.HalfOpenTimeout = 30 * time.Second
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = time.Hour
	}
	if c.ClosingTimeout == 0 {
		c.ClosingTimeout = time.Minute
	}
	return c
}

// timeout returns how long a flow in a state may be idle, in milliseconds.
func (c Config) timeout(s State) uint32 {
	switch s {
	case StateHalfOpen:
		return uint32(c.HalfOpenTimeout / time.Millisecond)
	case StateClosing:
		return uint32(c.ClosingTimeout / time.Millisecond)
	default:
		return uint32(c.IdleTimeout / time.Millisecond)
	}
}
