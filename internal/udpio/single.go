package udpio

import (
	"net"
	"net/netip"
)

// singleConn is a Conn that reads and writes one datagram in each system call.
type singleConn struct {
	udp   *net.UDPConn
	local netip.AddrPort
}

func newSingleConn(udp *net.UDPConn) *singleConn {
	return &singleConn{udp: udp, local: localAddr(udp)}
}

func (c *singleConn) ReadBatch(ms []Message) (int, error) {
	if len(ms) == 0 {
		return 0, nil
	}
	n, addr, err := c.udp.ReadFromUDPAddrPort(ms[0].Buf)
	if err != nil {
		return 0, err
	}
	ms[0].N = n
	ms[0].Addr = unmap(addr)
	return 1, nil
}

func (c *singleConn) WriteBatch(ms []Message) (int, error) {
	var sent int
	var firstErr error
	for i := range ms {
		_, err := c.udp.WriteToUDPAddrPort(ms[i].Buf[:ms[i].N], ms[i].Addr)
		if err == nil {
			sent++
		} else if firstErr == nil {
			firstErr = err
		}
	}
	return sent, firstErr
}

func (c *singleConn) LocalAddr() netip.AddrPort {
	return c.local
}

func (c *singleConn) Close() error {
	return c.udp.Close()
}
