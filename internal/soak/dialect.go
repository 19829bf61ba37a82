package soak

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/packet"
)

// Packet is a decoded packet between a caller and a target.
type Packet struct {
	Src, Dst netip.AddrPort
	Seq, Ack uint32
	Flags    packet.Flags
	// Tag is the flow tag, which caller and target return in their packets.
	Tag  uint32
	Data []byte
}

// TargetEntry is the registration that a target publishes in the store.
type TargetEntry struct {
	Name, Service, Zone string
	Address             netip.AddrPort
	Slots               int
	Draining            bool
	// Sequence counts the writes of this entry, from 1.
	Sequence  int
	StartedAt time.Time
	// Warmup is how much longer the target warms up.
	Warmup time.Duration
}

// Route maps the address that callers connect to onto a service. Requests on the route may be executed more than once
// if Repeatable is true.
type Route struct {
	Address    netip.AddrPort
	Service    string
	Repeatable bool
	// Regions are the regions whose targets may serve the route; empty means all.
	Regions []string
}

// allows reports whether the route's new flows may reach a target.
func (r Route) allows(t *target) bool {
	return r.Service == t.entry.Service && (len(r.Regions) == 0 || slices.Contains(r.Regions, t.h.regionOf(t.entry.Zone)))
}

// Config is the configuration that operators publish in the store.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []string
	// WarmupRate is the number of new flows a second that a target bears while it warms up; 0 publishes no bound.
	WarmupRate int
}

// HealthPath is the HTTP path of the targets' health checks.
const HealthPath = "/health"

// Dialect encodes and decodes the wire formats of the users' platform.
type Dialect interface {
	// AppendPacket appends the encoding of a packet as a caller or target sends it.
	AppendPacket(dst []byte, p Packet) []byte
	// ReadPacket decodes a packet addressed to a caller; false if raw is not a valid packet.
	ReadPacket(raw []byte) (Packet, bool)
	// ReadFrame decodes a datagram from a daemon to a target: the guard, a number that identifies the target process,
	// and the packet.
	ReadFrame(raw []byte) (guard uint64, p Packet, ok bool)
	// StoreHandler returns the HTTP handler of the store's API.
	StoreHandler(s *Store) http.Handler
	// TargetItem and ConfigItem return the key and the encoded value of a store item.
	TargetItem(t TargetEntry) (key string, value []byte)
	ConfigItem(c Config) (key string, value []byte)
	// ZoneDrainItem returns the key and the value of the item by which operators drain a zone.
	ZoneDrainItem(zone string) (key string, value []byte)
	// MalformedItems returns malformed store items by key, as another, faulty writer would publish them. The number
	// makes the keys of each call unique.
	MalformedItems(number int, service string) map[string][]byte
	// IdentityHeader returns the HTTP header that carries the target's name in responses to health checks.
	IdentityHeader() string
}
