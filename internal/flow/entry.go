package flow

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// State is how far an owned flow has come, as seen from the caller's packets.
type State uint8

// The states of an owned flow.
const (
	// StateOpening is a flow whose SYN went to a target; nothing of its conversation has.
	StateOpening State = iota
	// StateOpen is a flow that has carried more than its SYN.
	StateOpen
	// StateClosing is a flow whose caller has sent FIN or RST.
	StateClosing
)

// Endpoint is an address and port without pointers, so that a large table costs the garbage
// collector nothing.
type Endpoint struct {
	IP   [16]byte
	Port uint16
}

// EndpointOf packs an address and port.
func EndpointOf(a netip.AddrPort) Endpoint {
	return Endpoint{IP: a.Addr().As16(), Port: a.Port()}
}

// AddrPort unpacks the address and port; 4-in-6-mapped addresses come back as IPv4.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(e.IP).Unmap(), e.Port)
}

// Numbering is what Entry.Number holds.
type Numbering uint8

const (
	// NumberNone is a flow of which no packet has come here.
	NumberNone Numbering = iota
	// NumberLater is the caller's number in the first packet that came here of a flow that another owner placed.
	NumberLater
	// NumberOpening is the number of the flow's SYN.
	NumberOpening
)

// Window bounds, in bytes, how far two numbers of one flow lie apart that a daemon meets one after the other. The
// numbers of another flow between the same ends are random: one in 2,000 lies within it in either direction.
const Window = 1 << 20

// Entry is one owned flow.
type Entry struct {
	// Caller and Service are zero for a flow that is known from a log alone, until its first packet.
	Caller  Endpoint
	Service Endpoint
	Target  model.TargetID
	// LastSeen is when the last packet came, in milliseconds since the table's epoch, cut to 32 bits.
	LastSeen uint32
	State    State
	// Exception is true while the owner's log names the flow.
	Exception bool
	Numbering Numbering
	// Number is a sequence number of the caller, as Numbering says.
	Number uint32
	// Earlier is the number of the SYN of the flow that this one replaced between the same ends; 0 for none.
	Earlier uint32
}

// OpenedBy reports whether a SYN with a number is the flow's own. It cannot tell, and known is false, where no number of
// the flow is known.
func (e Entry) OpenedBy(syn uint32) (own, known bool) {
	switch e.Numbering {
	case NumberOpening:
		return syn == e.Number, true
	case NumberLater:
		return e.Number-syn < Window, true
	default:
		return false, false
	}
}

// Replaced reports whether a SYN with a number is that of the flow between the same ends that this one replaced.
func (e Entry) Replaced(syn uint32) bool {
	return e.Earlier != 0 && e.Earlier == syn
}

// Identified reports whether the flow's ends are known.
func (e Entry) Identified() bool {
	return e.Service != Endpoint{}
}

// Progress is the part of an owned flow that its packets need.
type Progress struct {
	Target   model.TargetID
	LastSeen uint32
	State    State
	// Exception is true while the owner's log names the flow.
	Exception bool
	// Identified is true where the flow's ends are known.
	Identified bool
	Numbering  Numbering
}

// Config sets how long flows are remembered.
type Config struct {
	// OpeningTimeout forgets a flow that never got past its SYN. Default 30 s.
	OpeningTimeout time.Duration
	// IdleTimeout forgets an open flow without packets. Default 1 h. It must exceed the callers'
	// longest silence: a forgotten exception goes to its default target.
	IdleTimeout time.Duration
	// ClosingTimeout forgets a flow after FIN or RST and no further packet. Default 60 s.
	ClosingTimeout time.Duration
}

// Defaults fills unset fields.
func (c Config) Defaults() Config {
	if c.OpeningTimeout == 0 {
		c.OpeningTimeout = 30 * time.Second
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = time.Hour
	}
	if c.ClosingTimeout == 0 {
		c.ClosingTimeout = time.Minute
	}
	return c
}

// timeout returns how long a flow in a state may be silent, in milliseconds.
func (c Config) timeout(s State) uint32 {
	switch s {
	case StateOpening:
		return uint32(c.OpeningTimeout / time.Millisecond)
	case StateClosing:
		return uint32(c.ClosingTimeout / time.Millisecond)
	default:
		return uint32(c.IdleTimeout / time.Millisecond)
	}
}
