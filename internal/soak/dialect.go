package soak

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/packet"
)

// Packet is a packet between a caller and a target.
type Packet struct {
	Src, Dst netip.AddrPort
	Seq, Ack uint32
	Flags    packet.Flags
	// Tag is the flow tag that the ends return.
	Tag  uint32
	Data []byte
}

// TargetEntry is what a target publishes of itself.
type TargetEntry struct {
	Name, Service, Zone string
	Address             netip.AddrPort
	Slots               int
	Leaving             bool
	// Sequence counts the writes of this entry.
	Sequence int
	Born     time.Time
}

// Route sends the flows to an address to a service.
type Route struct {
	Address    netip.AddrPort
	Service    string
	Repeatable bool
}

// Config is what operators publish.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []string
}

// HealthPath is where targets answer health checks.
const HealthPath = "/health"

// Dialect writes and reads what the users' platform puts on the wire.
type Dialect interface {
	// AppendPacket appends a packet as its end sends it.
	AppendPacket(dst []byte, p Packet) []byte
	// ReadPacket reads a packet that is meant for a caller; false for bytes that are none.
	ReadPacket(raw []byte) (Packet, bool)
	// ReadFrame reads what a daemon sends to a target: the guard that names the target, and the packet.
	ReadFrame(raw []byte) (guard uint64, p Packet, ok bool)
	// StoreHandler serves the store's interface.
	StoreHandler(s *Store) http.Handler
	// TargetItem and ConfigItem return an entry's key and value in the store.
	TargetItem(t TargetEntry) (key string, value []byte)
	ConfigItem(c Config) (key string, value []byte)
	// SpoiledItems returns entries that another writer spoiled, by their keys; a number tells those of one call from
	// those of another.
	SpoiledItems(number int, service string) map[string][]byte
	// IdentityHeader is the header by which a target names itself in health checks.
	IdentityHeader() string
}
