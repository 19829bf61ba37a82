package standin

import (
	"net/netip"
	"time"
)

// Datagram is one UDP datagram that arrived from Addr or goes to Addr.
type Datagram struct {
	Addr netip.AddrPort
	Data []byte
}

// Machine is a stand-in without input and output of its own.
type Machine interface {
	// Handle takes a datagram and returns those to send. Data may be reused after the call.
	Handle(now time.Time, d Datagram) []Datagram
	// Tick does what is due and returns the datagrams to send.
	Tick(now time.Time) []Datagram
	// Next returns when Tick is due next; zero where nothing is.
	Next() time.Time
}
