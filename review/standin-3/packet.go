//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"strings"
)

const (
	headerBytes = 36
	guardBytes  = 8

	flagFIN = 2
	flagSYN = 4
	flagRST = 32
	flagACK = 64
)

// segment is a packet of a flow.
type segment struct {
	src, dst netip.AddrPort
	seq, ack uint32
	flags    byte
	echo     uint32
	data     []byte
}

func (s *segment) has(flag byte) bool { return s.flags&flag != 0 }

// String returns the segment as it is recorded.
func (s *segment) String() string {
	var names []string
	for _, f := range []struct {
		flag byte
		name string
	}{{flagSYN, "SYN"}, {flagACK, "ACK"}, {flagFIN, "FIN"}, {flagRST, "RST"}} {
		if s.has(f.flag) {
			names = append(names, f.name)
		}
	}
	return fmt.Sprintf("%s seq %d ack %d echo %08x, %d bytes", strings.Join(names, "+"), s.seq, s.ack, s.echo, len(s.data))
}

// length returns the number of sequence numbers that the segment takes.
func (s *segment) length() uint32 {
	n := uint32(len(s.data))
	if s.has(flagSYN) {
		n++
	}
	if s.has(flagFIN) {
		n++
	}
	return n
}

// encode returns the segment as the pages describe a packet. The sum is left 0: no end here checks it.
func (s *segment) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(s.data))
	putAddress(b, s.src)
	putAddress(b[6:], s.dst)
	binary.BigEndian.PutUint32(b[12:], s.seq)
	binary.BigEndian.PutUint32(b[16:], s.ack)
	b[24] = s.flags
	binary.BigEndian.PutUint16(b[30:], uint16(len(s.data)))
	binary.BigEndian.PutUint32(b[32:], s.echo)
	return append(b, s.data...)
}

func decode(b []byte) (segment, bool) {
	if len(b) < headerBytes || len(b) != headerBytes+int(binary.BigEndian.Uint16(b[30:])) {
		return segment{}, false
	}
	return segment{
		src:   address(b),
		dst:   address(b[6:]),
		seq:   binary.BigEndian.Uint32(b[12:]),
		ack:   binary.BigEndian.Uint32(b[16:]),
		flags: b[24],
		echo:  binary.BigEndian.Uint32(b[32:]),
		data:  append([]byte(nil), b[headerBytes:]...),
	}, true
}

// decodeFrame decodes a packet to a target, which follows the number of that target.
func decodeFrame(b []byte) (guard uint64, s segment, ok bool) {
	if len(b) < guardBytes {
		return 0, segment{}, false
	}
	s, ok = decode(b[guardBytes:])
	return binary.BigEndian.Uint64(b), s, ok
}

func address(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}

func putAddress(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}
