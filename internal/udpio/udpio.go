package udpio

import "net/netip"

// Message is one datagram: Buf[:N] and the address that it came from or goes to.
type Message struct {
	// Buf is the space for the datagram. A longer datagram is cut off at len(Buf).
	Buf []byte
	// N is the datagram's length in bytes.
	N    int
	Addr netip.AddrPort
}

// Conn is a socket for batches of datagrams. All methods may be called at the same time from several
// goroutines.
type Conn interface {
	// ReadBatch waits for at least one datagram and returns how many messages it filled. After Close the
	// error wraps net.ErrClosed.
	ReadBatch(ms []Message) (int, error)
	// WriteBatch writes every message to its address and returns how many the system took. A message that
	// is refused is skipped; the error is the first refusal's.
	WriteBatch(ms []Message) (int, error)
	// LocalAddr returns the address that the Conn listens on.
	LocalAddr() netip.AddrPort
	// Close ends all calls that wait.
	Close() error
}

// Network opens Conns.
type Network interface {
	// Listen opens a Conn on an address. Port 0 picks a free port.
	Listen(addr netip.AddrPort) (Conn, error)
}
