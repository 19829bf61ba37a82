package udpio

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// batchConn is a Conn that reads and writes many datagrams in each system call.
type batchConn struct {
	udp   *net.UDPConn
	raw   syscall.RawConn
	local netip.AddrPort
	// ipv6 is true for a socket of the IPv6 family, which takes IPv4 addresses in their IPv4-mapped form.
	ipv6 bool

	readMu  sync.Mutex
	read    messageVector
	writeMu sync.Mutex
	write   messageVector
}

// mmsghdr is the kernel's struct mmsghdr.
type mmsghdr struct {
	hdr unix.Msghdr
	len uint32
}

// messageVector holds the arguments of one batched call. It is reused between calls and grows to the largest
// batch.
type messageVector struct {
	hdrs      []mmsghdr
	iovs      []unix.Iovec
	sockaddrs []unix.RawSockaddrInet6
	// start and end are the range of messages for the next call, end exclusive.
	start, end int
	// transferred is the number of messages of the last call, errno its error.
	transferred int
	errno       syscall.Errno
	// call is the method value that package net runs when the socket is ready. It is stored because
	// creating a method value allocates.
	call func(fd uintptr) bool
}

func newBatchConn(udp *net.UDPConn, raw syscall.RawConn) *batchConn {
	c := &batchConn{udp: udp, raw: raw, local: localAddr(udp)}
	c.ipv6 = len(udp.LocalAddr().(*net.UDPAddr).IP) == net.IPv6len
	c.read.call = c.read.recvmmsg
	c.write.call = c.write.sendmmsg
	return c
}

// setReusePort is the net.ListenConfig.Control function that sets SO_REUSEPORT, for several sockets on one
// address.
func setReusePort(_, _ string, raw syscall.RawConn) error {
	var err error
	ctrlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if ctrlErr != nil {
		return ctrlErr
	}
	return os.NewSyscallError("setsockopt", err)
}

// probeBatch makes both batched calls with zero messages, to find out whether the system allows them.
func probeBatch(raw syscall.RawConn) error {
	var recvErrno, sendErrno syscall.Errno
	err := raw.Control(func(fd uintptr) {
		var none mmsghdr
		_, _, recvErrno = unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&none)), 0, unix.MSG_DONTWAIT, 0, 0)
		_, _, sendErrno = unix.Syscall6(unix.SYS_SENDMMSG, fd, uintptr(unsafe.Pointer(&none)), 0, unix.MSG_DONTWAIT, 0, 0)
	})
	switch {
	case err != nil:
		return fmt.Errorf("access socket descriptor: %w", err)
	case recvErrno != 0:
		return os.NewSyscallError("recvmmsg", recvErrno)
	case sendErrno != 0:
		return os.NewSyscallError("sendmmsg", sendErrno)
	}
	return nil
}

func (c *batchConn) ReadBatch(ms []Message) (int, error) {
	if len(ms) == 0 {
		return 0, nil
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	v := &c.read
	v.grow(len(ms))
	for i := range ms {
		v.setBuffer(i, ms[i].Buf)
		v.hdrs[i].hdr.Namelen = unix.SizeofSockaddrInet6
	}
	v.start, v.end = 0, len(ms)
	if err := c.raw.Read(v.call); err != nil {
		return 0, fmt.Errorf("read from UDP %v: %w", c.local, err)
	}
	if v.errno != 0 {
		return 0, fmt.Errorf("read from UDP %v: %w", c.local, os.NewSyscallError("recvmmsg", v.errno))
	}
	for i := range v.transferred {
		ms[i].N = int(v.hdrs[i].len)
		ms[i].Addr = decodeSockaddr(&v.sockaddrs[i])
	}
	return v.transferred, nil
}

func (c *batchConn) WriteBatch(ms []Message) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	v := &c.write
	v.grow(len(ms))
	for i := range ms {
		v.setBuffer(i, ms[i].Buf[:ms[i].N])
		v.hdrs[i].hdr.Namelen = encodeSockaddr(&v.sockaddrs[i], ms[i].Addr, c.ipv6)
	}
	var sent int
	var firstErr error
	for v.start, v.end = 0, len(ms); v.start < v.end; {
		if err := c.raw.Write(v.call); err != nil {
			return sent, fmt.Errorf("write to UDP %v: %w", ms[v.start].Addr, err)
		}
		sent += v.transferred
		v.start += v.transferred
		if v.errno == 0 {
			continue
		}
		if firstErr == nil {
			firstErr = fmt.Errorf("write to UDP %v: %w", ms[v.start].Addr, os.NewSyscallError("sendmmsg", v.errno))
		}
		v.start++
	}
	return sent, firstErr
}

func (c *batchConn) LocalAddr() netip.AddrPort {
	return c.local
}

func (c *batchConn) Close() error {
	return c.udp.Close()
}

// grow allocates capacity for n messages and points each header at its socket address and buffer.
func (v *messageVector) grow(n int) {
	if n <= len(v.hdrs) {
		return
	}
	v.hdrs = make([]mmsghdr, n)
	v.iovs = make([]unix.Iovec, n)
	v.sockaddrs = make([]unix.RawSockaddrInet6, n)
	for i := range v.hdrs {
		h := &v.hdrs[i].hdr
		h.Name = (*byte)(unsafe.Pointer(&v.sockaddrs[i]))
		h.Iov = &v.iovs[i]
		h.SetIovlen(1)
	}
}

func (v *messageVector) setBuffer(i int, b []byte) {
	if len(b) == 0 {
		v.iovs[i].Base = nil
	} else {
		v.iovs[i].Base = &b[0]
	}
	v.iovs[i].SetLen(len(b))
}

// recvmmsg reads the datagrams that are queued in the socket. It returns false when there are none.
func (v *messageVector) recvmmsg(fd uintptr) bool {
	return v.transfer(unix.SYS_RECVMMSG, fd)
}

// sendmmsg writes as many messages as the socket accepts. It returns false when the send buffer is full.
func (v *messageVector) sendmmsg(fd uintptr) bool {
	return v.transfer(unix.SYS_SENDMMSG, fd)
}

// transfer makes one batched call and repeats it after EINTR. It returns false on EAGAIN, so that package net waits
// until the socket is ready.
func (v *messageVector) transfer(trap, fd uintptr) bool {
	v.transferred, v.errno = 0, 0
	for {
		first := unsafe.Pointer(&v.hdrs[v.start])
		n, _, errno := unix.Syscall6(trap, fd, uintptr(first), uintptr(v.end-v.start), unix.MSG_DONTWAIT, 0, 0)
		switch errno {
		case 0:
			v.transferred = int(n)
			return true
		case unix.EINTR:
			continue
		case unix.EAGAIN:
			return false
		default:
			v.errno = errno
			return true
		}
	}
}

// decodeSockaddr returns the address in a socket address that the kernel filled.
func decodeSockaddr(sa *unix.RawSockaddrInet6) netip.AddrPort {
	if sa.Family == unix.AF_INET {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(sa))
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), networkOrder(v4.Port))
	}
	return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr).Unmap(), networkOrder(sa.Port))
}

// encodeSockaddr fills a socket address for the kernel and returns its length in bytes. An IPv6 address is
// passed unchanged also to a socket of the IPv4 family, so that the kernel refuses it.
func encodeSockaddr(sa *unix.RawSockaddrInet6, addr netip.AddrPort, ipv6 bool) uint32 {
	port := networkOrder(addr.Port())
	if a := addr.Addr().Unmap(); a.Is4() && !ipv6 {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(sa))
		*v4 = unix.RawSockaddrInet4{Family: unix.AF_INET, Port: port, Addr: a.As4()}
		return unix.SizeofSockaddrInet4
	}
	*sa = unix.RawSockaddrInet6{Family: unix.AF_INET6, Port: port, Addr: addr.Addr().As16()}
	return unix.SizeofSockaddrInet6
}

// networkOrder converts a port between host and network byte order.
func networkOrder(port uint16) uint16 {
	b := (*[2]byte)(unsafe.Pointer(&port))
	return uint16(b[0])<<8 | uint16(b[1])
}
