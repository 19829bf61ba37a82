//go:build !linux

package udpio

import (
	"net"
	"os"
	"syscall"
)

// setReusePort refuses, so that Conns of one address share a socket.
func setReusePort(_, _ string, _ syscall.RawConn) error {
	return os.NewSyscallError("setsockopt", syscall.ENOSYS)
}

// probeBatch refuses, so that Conns use single calls.
func probeBatch(_ syscall.RawConn) error {
	return syscall.ENOSYS
}

func newBatchConn(udp *net.UDPConn, _ syscall.RawConn) Conn {
	return newSingleConn(udp)
}
