//go:build review

package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

const (
	fin = 2
	syn = 4
	rst = 32
	ack = 64

	headBytes  = 36
	guardBytes = 8
)

// pkt is a packet of the platform.
type pkt struct {
	src, dst      netip.AddrPort
	seq, ack, sum uint32
	flags         byte
	echo          uint32
	data          []byte
}

func (p *pkt) bytes() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	putAddr(b, p.src)
	putAddr(b[6:], p.dst)
	binary.BigEndian.PutUint32(b[12:], p.seq)
	binary.BigEndian.PutUint32(b[16:], p.ack)
	b[24] = p.flags
	binary.BigEndian.PutUint16(b[30:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[20:], sumOf(b))
	binary.BigEndian.PutUint32(b[32:], p.echo)
	return b
}

// sumOf is the keyed sum over all fields except echo, pad and BOUNCED, computed with sum and echo 0.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte("key of this run"))
	h.Write(b[:20])
	h.Write([]byte{b[24] &^ 1})
	h.Write(b[30:32])
	h.Write(b[headBytes:])
	return h.Sum32()
}

func putAddr(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

func getAddr(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}

func parse(b []byte) (p pkt, ok bool) {
	if len(b) < headBytes || len(b) != headBytes+int(binary.BigEndian.Uint16(b[30:])) {
		return p, false
	}
	return pkt{
		src: getAddr(b), dst: getAddr(b[6:]), seq: binary.BigEndian.Uint32(b[12:]), ack: binary.BigEndian.Uint32(b[16:]),
		sum: binary.BigEndian.Uint32(b[20:]), flags: b[24], echo: binary.BigEndian.Uint32(b[32:]), data: append([]byte(nil), b[headBytes:]...),
	}, true
}
