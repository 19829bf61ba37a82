package udpio

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
)

// DefaultSocketBuffer is the default size of a socket's receive buffer and of its send buffer, in bytes.
const DefaultSocketBuffer = 2 << 20

// errForcedBySettings is the cause of a fallback that is forced by the settings.
var errForcedBySettings = errors.New("forced by the settings")

// Fallback is a slower mode of the system's network, used where the system refuses a call or an option.
type Fallback uint8

// The fallbacks.
const (
	// FallbackSingleCalls reads and writes one datagram in each system call, instead of using recvmmsg and
	// sendmmsg.
	FallbackSingleCalls Fallback = iota
	// FallbackSharedSocket lets all Conns of one address share one socket, instead of using SO_REUSEPORT.
	FallbackSharedSocket

	fallbackCount
)

// String returns the fallback's name in logs.
func (f Fallback) String() string {
	switch f {
	case FallbackSingleCalls:
		return "single_calls"
	case FallbackSharedSocket:
		return "shared_socket"
	default:
		return "unknown"
	}
}

// FallbackReport says which fallback is in use, and why.
type FallbackReport struct {
	Fallback Fallback
	// Cause is the error of the refused call or option, or says that the settings force the fallback.
	Cause error
}

// Config holds the settings of the system's network.
type Config struct {
	// Workers is the number of Conns that will listen on one address. Above 1, sockets are opened with
	// SO_REUSEPORT, and the system distributes senders over them. 0 means 1.
	Workers int
	// SocketBuffer is the requested size in bytes of each socket's receive buffer and send buffer. 0 means
	// DefaultSocketBuffer. The system may grant less.
	SocketBuffer int
	// ForceSingleCalls uses FallbackSingleCalls without trying batched calls first.
	ForceSingleCalls bool
	// ForceSharedSocket uses FallbackSharedSocket without trying SO_REUSEPORT first.
	ForceSharedSocket bool
	// OnFallback is called once for each fallback in use, before Listen returns. It may be nil.
	OnFallback func(FallbackReport)
}

// systemNetwork is the Network that uses the operating system's sockets.
type systemNetwork struct {
	cfg Config

	reported [fallbackCount]sync.Once

	mu     sync.Mutex
	shared map[netip.AddrPort]*sharedConn
}

// System returns a Network that uses the operating system's UDP sockets.
func System(cfg Config) Network {
	if cfg.SocketBuffer == 0 {
		cfg.SocketBuffer = DefaultSocketBuffer
	}
	return &systemNetwork{cfg: cfg, shared: make(map[netip.AddrPort]*sharedConn)}
}

// Listen opens a socket, or returns another Conn of a shared socket.
func (s *systemNetwork) Listen(addr netip.AddrPort) (Conn, error) {
	if s.cfg.Workers <= 1 {
		return s.open(addr, false)
	}
	if s.cfg.ForceSharedSocket {
		s.report(FallbackSharedSocket, errForcedBySettings)
		return s.listenShared(addr)
	}
	conn, err := s.open(addr, true)
	if isSetsockoptError(err) {
		s.report(FallbackSharedSocket, err)
		return s.listenShared(addr)
	}
	return conn, err
}

// open opens a new socket, with SO_REUSEPORT if reusePort is true.
func (s *systemNetwork) open(addr netip.AddrPort, reusePort bool) (Conn, error) {
	lc := net.ListenConfig{}
	if reusePort {
		lc.Control = setReusePort
	}
	pc, err := lc.ListenPacket(context.Background(), networkName(addr), addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen on UDP %v: %w", addr, err)
	}
	udp := pc.(*net.UDPConn)
	if err := s.setBuffers(udp); err != nil {
		udp.Close()
		return nil, err
	}
	return s.newConn(udp)
}

// networkName returns the network name for package net, by the address family. An unspecified IPv6 address
// gets a socket for both families.
func networkName(addr netip.AddrPort) string {
	switch {
	case addr.Addr().Unmap().Is4():
		return "udp4"
	case addr.Addr().IsUnspecified():
		return "udp"
	default:
		return "udp6"
	}
}

func (s *systemNetwork) setBuffers(udp *net.UDPConn) error {
	if err := udp.SetReadBuffer(s.cfg.SocketBuffer); err != nil {
		return fmt.Errorf("set read buffer of %d bytes: %w", s.cfg.SocketBuffer, err)
	}
	if err := udp.SetWriteBuffer(s.cfg.SocketBuffer); err != nil {
		return fmt.Errorf("set write buffer of %d bytes: %w", s.cfg.SocketBuffer, err)
	}
	return nil
}

// newConn returns a Conn for a socket, which makes single calls if batched calls are forced off or refused.
func (s *systemNetwork) newConn(udp *net.UDPConn) (Conn, error) {
	if s.cfg.ForceSingleCalls {
		s.report(FallbackSingleCalls, errForcedBySettings)
		return newSingleConn(udp), nil
	}
	raw, err := udp.SyscallConn()
	if err != nil {
		udp.Close()
		return nil, fmt.Errorf("access socket of %v: %w", udp.LocalAddr(), err)
	}
	if err := probeBatch(raw); err != nil {
		s.report(FallbackSingleCalls, err)
		return newSingleConn(udp), nil
	}
	return newBatchConn(udp, raw), nil
}

// report calls OnFallback the first time that a fallback is used.
func (s *systemNetwork) report(f Fallback, cause error) {
	s.reported[f].Do(func() {
		if s.cfg.OnFallback != nil {
			s.cfg.OnFallback(FallbackReport{Fallback: f, Cause: cause})
		}
	})
}

// localAddr returns a socket's address.
func localAddr(udp *net.UDPConn) netip.AddrPort {
	return unmap(udp.LocalAddr().(*net.UDPAddr).AddrPort())
}

// unmap converts an IPv4-mapped IPv6 address to IPv4 and returns other addresses unchanged.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// isSetsockoptError reports whether the system refused a socket option.
func isSetsockoptError(err error) bool {
	var call *os.SyscallError
	return errors.As(err, &call) && call.Syscall == "setsockopt"
}
