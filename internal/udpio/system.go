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

// DefaultSocketBuffer is the size of a socket's buffers in bytes, for each direction.
const DefaultSocketBuffer = 2 << 20

// errForced is the cause of a fallback that the settings ask for.
var errForced = errors.New("asked for by the settings")

// Fallback names a way of the system's network to do without something that the system refuses.
type Fallback uint8

// The fallbacks.
const (
	// FallbackSingleCalls reads and writes one datagram in each system call.
	FallbackSingleCalls Fallback = iota
	// FallbackSharedSocket lets all Conns of one address share one socket.
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

// Report tells that a fallback is in use.
type Report struct {
	Fallback Fallback
	// Cause is the system's refusal, or says that the settings ask for the fallback.
	Cause error
}

// Config holds the settings of the system's network.
type Config struct {
	// Workers is the number of Conns that will listen on one address. Above 1, sockets are opened with
	// SO_REUSEPORT, and the system spreads senders over them. 0 means 1.
	Workers int
	// SocketBuffer is the size in bytes that is asked for each direction of a socket. 0 means
	// DefaultSocketBuffer. The system may grant less.
	SocketBuffer int
	// ForceSingleCalls uses FallbackSingleCalls without a trial.
	ForceSingleCalls bool
	// ForceSharedSocket uses FallbackSharedSocket without a trial.
	ForceSharedSocket bool
	// OnFallback is called once for each fallback in use, before Listen returns. nil ignores them.
	OnFallback func(Report)
}

// system is the Network of the system's sockets.
type system struct {
	cfg Config

	reported [fallbackCount]sync.Once

	mu     sync.Mutex
	shared map[netip.AddrPort]*sharedConn
}

// System returns the network of the system's sockets.
func System(cfg Config) Network {
	if cfg.SocketBuffer == 0 {
		cfg.SocketBuffer = DefaultSocketBuffer
	}
	return &system{cfg: cfg, shared: make(map[netip.AddrPort]*sharedConn)}
}

// Listen opens a socket, or another Conn of a socket that is shared.
func (s *system) Listen(addr netip.AddrPort) (Conn, error) {
	if s.cfg.Workers <= 1 {
		return s.open(addr, false)
	}
	if s.cfg.ForceSharedSocket {
		s.report(FallbackSharedSocket, errForced)
		return s.listenShared(addr)
	}
	conn, err := s.open(addr, true)
	if isRefused(err) {
		s.report(FallbackSharedSocket, err)
		return s.listenShared(addr)
	}
	return conn, err
}

// open opens a socket of its own, with SO_REUSEPORT if asked.
func (s *system) open(addr netip.AddrPort, reusePort bool) (Conn, error) {
	lc := net.ListenConfig{}
	if reusePort {
		lc.Control = setReusePort
	}
	pc, err := lc.ListenPacket(context.Background(), networkOf(addr), addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen on UDP %v: %w", addr, err)
	}
	udp := pc.(*net.UDPConn)
	if err := s.setBuffers(udp); err != nil {
		udp.Close()
		return nil, err
	}
	return s.wrap(udp)
}

// networkOf returns the name of the address family for package net; an unspecified IPv6 address takes
// both families.
func networkOf(addr netip.AddrPort) string {
	switch {
	case addr.Addr().Unmap().Is4():
		return "udp4"
	case addr.Addr().IsUnspecified():
		return "udp"
	default:
		return "udp6"
	}
}

func (s *system) setBuffers(udp *net.UDPConn) error {
	if err := udp.SetReadBuffer(s.cfg.SocketBuffer); err != nil {
		return fmt.Errorf("set read buffer of %d bytes: %w", s.cfg.SocketBuffer, err)
	}
	if err := udp.SetWriteBuffer(s.cfg.SocketBuffer); err != nil {
		return fmt.Errorf("set write buffer of %d bytes: %w", s.cfg.SocketBuffer, err)
	}
	return nil
}

// wrap returns a batched Conn, or one of single calls where batched ones are refused.
func (s *system) wrap(udp *net.UDPConn) (Conn, error) {
	if s.cfg.ForceSingleCalls {
		s.report(FallbackSingleCalls, errForced)
		return newSingleConn(udp), nil
	}
	raw, err := udp.SyscallConn()
	if err != nil {
		udp.Close()
		return nil, fmt.Errorf("reach the socket of %v: %w", udp.LocalAddr(), err)
	}
	if err := probeBatch(raw); err != nil {
		s.report(FallbackSingleCalls, err)
		return newSingleConn(udp), nil
	}
	return newBatchConn(udp, raw), nil
}

// report tells a fallback the first time that it is used.
func (s *system) report(f Fallback, cause error) {
	s.reported[f].Do(func() {
		if s.cfg.OnFallback != nil {
			s.cfg.OnFallback(Report{Fallback: f, Cause: cause})
		}
	})
}

// localAddr returns a socket's address.
func localAddr(udp *net.UDPConn) netip.AddrPort {
	return unmap(udp.LocalAddr().(*net.UDPAddr).AddrPort())
}

// unmap returns the address with an IPv4-mapped IPv6 address as IPv4.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// isRefused reports whether the system refused a socket option.
func isRefused(err error) bool {
	var call *os.SyscallError
	return errors.As(err, &call) && call.Syscall == "setsockopt"
}
