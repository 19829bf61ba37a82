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
	// hostileDatagrams is the number of rounds of malformed datagrams that one step sends to a daemon; hostileBytes
	// bounds the length of one.
	hostileDatagrams = 100
	hostileBytes     = 1500
	// hostileDial is the timeout for connecting to a daemon's TCP port.
	hostileDial = 200 * time.Millisecond
	// copyShare is the share (0 to 1) of callers' packets that the links deliver a second time during a LateCopies
	// step, with a delay of up to copyLate. That is longer than a daemon keeps a flow's record after its end, and
	// shorter than the time until the same caller port is reused.
	copyShare = 0.1
	copyLate  = 4 * time.Second
)

// nobody is an address that no caller, target or daemon uses.
var nobody = netip.MustParseAddr("127.99.0.1")

// hostile sends a daemon malformed and unsolicited traffic, and publishes malformed store items for length.
func (w *world) hostile(e *entry, length time.Duration) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(nobody, 0)))
	if err != nil {
		w.fail(fmt.Errorf("open the socket for malformed traffic: %w", err))
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

// noise returns up to hostileBytes random bytes.
func (w *world) noise() []byte {
	b := make([]byte, w.rand.IntN(hostileBytes))
	for i := range b {
		b[i] = byte(w.rand.Uint32())
	}
	return b
}

// strangePacket returns an encoded packet of an unknown flow with random flags, tag and data. Half of the packets are
// truncated.
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

// callBadly starts an RPC with a malformed body and closes the connection before the body is complete.
func callBadly(to netip.AddrPort, noise []byte) {
	conn, err := net.DialTimeout("tcp4", to.String(), hostileDial)
	if err != nil {
		return // the daemon may be down
	}
	defer conn.Close()
	// The daemon may close the connection before everything is written.
	_, _ = conn.Write([]byte("POST " + newspbconnect.NewsServiceFetchItemsProcedure + " HTTP/1.1\r\nContent-Type: application/proto\r\nContent-Length: 100000\r\n\r\n"))
	_, _ = conn.Write(noise)
}

// copyLater sends a caller's packet to its daemon a second time after a random delay. SYNs are excluded: callers mark
// their own duplicate SYNs, and a duplicate made by the network would look like a first SYN.
func (w *world) copyLater(conn *net.UDPConn, to netip.AddrPort, raw []byte, flags packet.Flags) {
	if w.links.copies == 0 || flags.Has(packet.SYN) || w.rand.Float64() >= copyShare {
		return
	}
	w.after(time.Duration(w.rand.Int64N(int64(copyLate))), func() { w.write(conn, to, raw) })
}
