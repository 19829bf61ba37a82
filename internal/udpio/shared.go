package udpio

import (
	"net/netip"
	"sync"
)

// sharedConn is one socket that is shared by all Conns of an address. The first Close closes it for all
// of them, since the workers of one address stop together; later calls only return the same error.
type sharedConn struct {
	Conn
	network *systemNetwork
	once    sync.Once
	err     error
}

// listenShared returns the shared socket of an address and opens it on the first call.
func (s *systemNetwork) listenShared(addr netip.AddrPort) (Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.shared[addr]; c != nil {
		return c, nil
	}
	conn, err := s.open(addr, false)
	if err != nil {
		return nil, err
	}
	c := &sharedConn{Conn: conn, network: s}
	s.shared[conn.LocalAddr()] = c
	return c, nil
}

// Close closes the socket for all Conns of its address.
func (c *sharedConn) Close() error {
	c.once.Do(c.close)
	return c.err
}

func (c *sharedConn) close() {
	c.network.mu.Lock()
	delete(c.network.shared, c.LocalAddr())
	c.network.mu.Unlock()
	c.err = c.Conn.Close()
}
