package soak

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/news/newspb/newspbconnect"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	// hostileDatagrams are sent to each of a daemon's datagram ports in one step, hostileBytes the most that one holds.
	hostileDatagrams = 100
	hostileBytes     = 1500
	// hostileDial bounds a connection to a port for calls.
	hostileDial = 200 * time.Millisecond
	// copyShare is the part of callers' packets that arrive a second time while links make late copies, after up to
	// copyLate: longer than a flow's record is kept after its end, shorter than its ends rest.
	copyShare = 0.1
	copyLate  = 4 * time.Second
)

// nobody is the address of no caller, target or daemon.
var nobody = netip.MustParseAddr("127.99.0.1")

// hostile sends a daemon what no peer, caller or operator sends, and lets another writer spoil entries of the store.
func (w *world) hostile(e *entry, length time.Duration) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(nobody, 0)))
	if err != nil {
		w.fail(fmt.Errorf("open a stranger's socket: %w", err))
		return
	}
	defer conn.Close()
	for range hostileDatagrams {
		w.write(conn, e.at(dataPort), w.noise())
		w.write(conn, e.at(dataPort), w.strangePacket())
		w.write(conn, e.at(peerPort), w.noise())
	}
	for _, port := range []int{peerPort, opsPort} {
		go callBadly(e.at(port), w.noise())
	}
	w.tokens++
	for key, value := range w.dialect.SpoiledItems(w.tokens, w.config.Services[0]) {
		w.store.put(key, value)
		w.after(length, func() { w.store.put(key, nil) })
	}
}

// noise returns random bytes.
func (w *world) noise() []byte {
	b := make([]byte, w.rand.IntN(hostileBytes))
	for i := range b {
		b[i] = byte(w.rand.Uint32())
	}
	return b
}

// strangePacket returns a whole packet of nobody's flow, with any flags, tag and data, cut short at times.
func (w *world) strangePacket() []byte {
	raw := w.dialect.AppendPacket(nil, Packet{
		Src:   netip.AddrPortFrom(nobody, uint16(w.rand.Uint32())),
		Dst:   w.wanted().Address,
		Seq:   w.rand.Uint32(),
		Ack:   w.rand.Uint32(),
		Flags: packet.Flags(w.rand.Uint32()),
		Tag:   w.rand.Uint32(),
		Data:  w.noise(),
	})
	if w.rand.IntN(2) == 0 {
		raw = raw[:w.rand.IntN(len(raw))]
	}
	return raw
}

// callBadly opens a connection for calls and breaks off in the middle of something that is none.
func callBadly(to netip.AddrPort, noise []byte) {
	conn, err := net.DialTimeout("tcp4", to.String(), hostileDial)
	if err != nil {
		return // a daemon that is down has no port
	}
	defer conn.Close()
	// What becomes of the bytes is the daemon's matter.
	_, _ = conn.Write([]byte("POST " + newspbconnect.NewsServiceFetchItemsProcedure + " HTTP/1.1\r\nContent-Type: application/proto\r\nContent-Length: 100000\r\n\r\n"))
	_, _ = conn.Write(noise)
}

// copyLater sends a caller's packet to its daemon once more, some time later. SYNs are left out: the ends mark their
// copies, and what a network copies by itself looks like a first one.
func (w *world) copyLater(conn *net.UDPConn, to netip.AddrPort, raw []byte, flags packet.Flags) {
	if w.links.copies == 0 || flags.Has(packet.SYN) || w.rand.Float64() >= copyShare {
		return
	}
	w.after(time.Duration(w.rand.Int64N(int64(copyLate))), func() { w.write(conn, to, raw) })
}
