package standin

import (
	"net/netip"
	"time"
)

// Datagram is a UDP datagram. Addr is the sender of a received datagram and the destination of one to send.
type Datagram struct {
	Addr netip.AddrPort
	Data []byte
}

// StateMachine is a state machine that does no input or output itself; Node runs it.
type StateMachine interface {
	// Handle processes a received datagram and returns the datagrams to send. d.Data may be reused after the call.
	Handle(now time.Time, d Datagram) []Datagram
	// Tick runs the timers that are due and returns the datagrams to send.
	Tick(now time.Time) []Datagram
	// Next returns the time at which Tick is due next; zero if no timer is set.
	Next() time.Time
}
