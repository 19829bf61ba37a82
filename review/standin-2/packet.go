//go:build review

package main

import (
	"encoding/binary"
	"net/netip"
)

// The users' packet format: a head of 36 bytes, big-endian, and the data.
const (
	headBytes  = 36
	guardBytes = 8
	maxData    = 1200

	flagFIN = 2
	flagSYN = 4
	flagRST = 32
	flagACK = 64
)

// endpoint is an address and a port of a packet's head.
type endpoint = netip.AddrPort

// pkt is a decoded packet.
type pkt struct {
	src, dst endpoint
	seq, ack uint32
	sum      uint32
	flags    byte
	echo     uint32
	data     []byte
}

func (p *pkt) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b, src[:])
	binary.BigEndian.PutUint16(b[4:], p.src.Port())
	copy(b[6:], dst[:])
	binary.BigEndian.PutUint16(b[10:], p.dst.Port())
	binary.BigEndian.PutUint32(b[12:], p.seq)
	binary.BigEndian.PutUint32(b[16:], p.ack)
	binary.BigEndian.PutUint32(b[20:], sumOf(p))
	b[24] = p.flags
	binary.BigEndian.PutUint16(b[30:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[32:], p.echo)
	return append(b, p.data...)
}

func decode(b []byte) (*pkt, bool) {
	if len(b) < headBytes || len(b) != headBytes+int(binary.BigEndian.Uint16(b[30:])) {
		return nil, false
	}
	return &pkt{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[6:10])), binary.BigEndian.Uint16(b[10:])),
		seq:   binary.BigEndian.Uint32(b[12:]),
		ack:   binary.BigEndian.Uint32(b[16:]),
		sum:   binary.BigEndian.Uint32(b[20:]),
		flags: b[24],
		echo:  binary.BigEndian.Uint32(b[32:]),
		data:  b[headBytes:],
	}, true
}

// sumOf returns the keyed sum over all fields except echo. The system cannot compute it; it is never 0.
func sumOf(p *pkt) uint32 {
	h := uint32(2166136261) ^ 0x5bd1e995
	add := func(b byte) { h = (h ^ uint32(b)) * 16777619 }
	for _, e := range []endpoint{p.src, p.dst} {
		a := e.Addr().As4()
		for _, x := range a {
			add(x)
		}
		add(byte(e.Port() >> 8))
		add(byte(e.Port()))
	}
	for _, n := range []uint32{p.seq, p.ack, uint32(len(p.data))} {
		for shift := 0; shift < 32; shift += 8 {
			add(byte(n >> shift))
		}
	}
	add(p.flags)
	for _, x := range p.data {
		add(x)
	}
	return h | 1
}
