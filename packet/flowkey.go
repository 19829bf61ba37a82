package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypin/fireflypin/model"
)

// FlowKey identifies a flow by the caller's address and the address of the service that it connects to.
type FlowKey struct {
	Caller, Service netip.AddrPort
}

const (
	addrPortSize = 16 + 2
	flowKeySize  = 2 * addrPortSize
)

// Hash returns the flow's hash, which is the same in every process. An IPv4 address and its IPv4-mapped
// IPv6 form give the same hash; IPv6 zones are ignored.
func (k FlowKey) Hash() model.FlowHash {
	var buf [flowKeySize]byte
	putAddrPort(buf[:addrPortSize], k.Caller)
	putAddrPort(buf[addrPortSize:], k.Service)
	return model.FlowHash(xxhash.Sum64(buf[:]))
}

// putAddrPort writes the 16-byte form of an address and its port.
func putAddrPort(b []byte, a netip.AddrPort) {
	addr := a.Addr().As16()
	copy(b, addr[:])
	binary.BigEndian.PutUint16(b[len(addr):], a.Port())
}
