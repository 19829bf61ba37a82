package udpio

import "net/netip"

// Message is one datagram, Buf[:N], and the address that it was received from or is sent to.
type Message struct {
	// Buf is the buffer for the datagram. A longer received datagram is truncated to len(Buf).
	Buf []byte
	// N is the datagram's length in bytes.
	N    int
	Addr netip.AddrPort
}

// Conn is a socket for batches of datagrams. All methods are safe for concurrent use.
type Conn interface {
	// ReadBatch waits for at least one datagram and returns the number of messages that it filled. After
	// Close the error wraps net.ErrClosed.
	ReadBatch(ms []Message) (int, error)
	// WriteBatch writes every message to its address and returns the number that the system accepted. A
	// message that is refused is skipped, and the error of the first such message is returned.
	WriteBatch(ms []Message) (int, error)
	// LocalAddr returns the address that the Conn listens on.
	LocalAddr() netip.AddrPort
	// Close closes the Conn and unblocks all waiting calls.
	Close() error
}

// Network opens Conns.
type Network interface {
	// Listen opens a Conn on an address. Port 0 picks a free port.
	Listen(addr netip.AddrPort) (Conn, error)
}
