//go:build !linux

package udpio

import (
	"net"
	"os"
	"syscall"
)

// setReusePort returns an error, so that all Conns of one address share a socket.
func setReusePort(_, _ string, _ syscall.RawConn) error {
	return os.NewSyscallError("setsockopt", syscall.ENOSYS)
}

// probeBatch returns an error, so that Conns use one system call for each datagram.
func probeBatch(_ syscall.RawConn) error {
	return syscall.ENOSYS
}

func newBatchConn(udp *net.UDPConn, _ syscall.RawConn) Conn {
	return newSingleConn(udp)
}
