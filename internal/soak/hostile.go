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
	// hostileRounds is the number of rounds of random and malformed datagrams that one step sends to a daemon's UDP
	// ports; maxHostileBytes bounds the number of random bytes in a datagram.
	hostileRounds   = 100
	maxHostileBytes = 1500
	// hostileDialTimeout is the timeout for connecting to a daemon's TCP port.
	hostileDialTimeout = 200 * time.Millisecond
	// lateDuplicateShare is the share (0 to 1) of callers' packets that the links deliver a second time during a
	// LateDuplicates step, with a delay of up to maxLateDelay. That is longer than a daemon keeps a flow's record after
	// its end, and shorter than the time until the same caller port is reused (about 12 s, see portCount).
	lateDuplicateShare = 0.1
	maxLateDelay       = 4 * time.Second
)

// unknownAddr is an address that no caller, target or daemon uses.
var unknownAddr = netip.MustParseAddr("127.99.0.1")

// sendHostileTraffic sends a daemon malformed and unsolicited traffic, and publishes malformed store items for length.
func (h *harness) sendHostileTraffic(e *entry, length time.Duration) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(unknownAddr, 0)))
	if err != nil {
		h.fail(fmt.Errorf("open the socket for malformed traffic: %w", err))
		return
	}
	defer conn.Close()
	for range hostileRounds {
		h.write(conn, e.addrPort(dataPort), h.randomBytes())
		h.write(conn, e.addrPort(dataPort), h.randomPacket())
		h.write(conn, e.addrPort(peerPort), h.randomBytes())
	}
	for _, port := range []int{peerPort, opsPort} {
		go sendMalformedCall(e.addrPort(port), h.randomBytes())
	}
	h.lastToken++
	for key, value := range h.dialect.MalformedItems(h.lastToken, h.config.Services[0]) {
		h.store.put(key, value)
		h.after(length, func() { h.store.put(key, nil) })
	}
}

// randomBytes returns up to maxHostileBytes random bytes.
func (h *harness) randomBytes() []byte {
	b := make([]byte, h.rand.IntN(maxHostileBytes))
	for i := range b {
		b[i] = byte(h.rand.Uint32())
	}
	return b
}

// randomPacket returns an encoded packet of an unknown flow with random flags, tag and data. Half of the packets are
// truncated.
func (h *harness) randomPacket() []byte {
	raw := h.dialect.AppendPacket(nil, Packet{
		Src:   netip.AddrPortFrom(unknownAddr, uint16(h.rand.Uint32())),
		Dst:   h.randomRoute().Address,
		Seq:   h.rand.Uint32(),
		Ack:   h.rand.Uint32(),
		Flags: packet.Flags(h.rand.Uint32()),
		Tag:   h.rand.Uint32(),
		Data:  h.randomBytes(),
	})
	if h.rand.IntN(2) == 0 {
		raw = raw[:h.rand.IntN(len(raw))]
	}
	return raw
}

// sendMalformedCall starts an RPC with a malformed body and closes the connection before the body is complete.
func sendMalformedCall(to netip.AddrPort, body []byte) {
	conn, err := net.DialTimeout("tcp4", to.String(), hostileDialTimeout)
	if err != nil {
		return // the daemon may be down
	}
	defer conn.Close()
	// The daemon may close the connection before everything is written.
	_, _ = conn.Write([]byte("POST " + newspbconnect.NewsServiceFetchItemsProcedure + " HTTP/1.1\r\nContent-Type: application/proto\r\nContent-Length: 100000\r\n\r\n"))
	_, _ = conn.Write(body)
}

// duplicateLater sends a caller's packet to its daemon a second time after a random delay. SYNs are excluded: callers
// mark their own duplicate SYNs, and a duplicate made by the network would look like a first SYN.
func (h *harness) duplicateLater(conn *net.UDPConn, to netip.AddrPort, raw []byte, flags packet.Flags) {
	if h.links.duplicateFaults == 0 || flags.Has(packet.SYN) || h.rand.Float64() >= lateDuplicateShare {
		return
	}
	h.after(time.Duration(h.rand.Int64N(int64(maxLateDelay))), func() { h.write(conn, to, raw) })
}
