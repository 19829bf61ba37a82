package standin

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// Spray is the way in which the fabric picks an entry VM for a packet.
type Spray uint8

// The ways to spray.
const (
	// SprayPacket picks a random entry VM for each packet.
	SprayPacket Spray = iota
	// SprayFlow picks an entry VM by the hash of the flow, as equal-cost multipath routing does.
	SprayFlow
)

// FabricConfig configures a Fabric.
type FabricConfig struct {
	// Spray says how an entry VM is picked; default SprayPacket.
	Spray Spray
	// DetectAfter is how long packets still go to an entry VM that failed or was removed; default 1 s.
	DetectAfter time.Duration
	// Loss is the share of packets that the fabric drops, 0 to 1; default 0.
	Loss float64
	// CallerPlace returns the place of a caller's address; nil means that callers have no place, so that cuts
	// between places do not affect them.
	CallerPlace func(netip.Addr) Place
	// ReturnPaths holds the return path of each service address; default direct.
	ReturnPaths map[netip.AddrPort]model.ReturnPath
	// MTU bounds inner packets in bytes; default 1500.
	MTU int
	// Rand is the random source; required.
	Rand *rand.Rand
}

// FabricEntry is an entry VM that receives packets from the fabric.
type FabricEntry struct {
	Data  netip.AddrPort
	Place Place
}

// fabricEntry is the fabric's state of an entry VM.
type fabricEntry struct {
	FabricEntry
	// removeAt is when the fabric stops sending packets to it; zero while it is alive.
	removeAt time.Time
}

// Fabric is a StateMachine that simulates the network fabric. Callers, targets and daemons send inner packets
// to it: packets to a service are sprayed over the entry VMs, packets to a caller are delivered.
type Fabric struct {
	cfg     FabricConfig
	dec     *packet.Decoder
	out     outbox
	entries []fabricEntry
	// callers holds, for each caller's inner address, the outer address that its last packet came from.
	callers map[netip.Addr]netip.AddrPort
	// places holds the places of targets by their data addresses.
	places map[netip.AddrPort]Place
	cuts   map[placePair]bool
	// reachable is a buffer that spray reuses for pick.
	reachable []fabricEntry
}

// NewFabric returns a fabric without entry VMs.
func NewFabric(cfg FabricConfig) *Fabric {
	cfg.DetectAfter = cmp.Or(cfg.DetectAfter, time.Second)
	cfg.MTU = cmp.Or(cfg.MTU, 1500)
	return &Fabric{
		cfg:     cfg,
		dec:     packet.NewDecoder(packet.DecoderConfig{MTU: cfg.MTU}),
		callers: make(map[netip.Addr]netip.AddrPort),
		places:  make(map[netip.AddrPort]Place),
		cuts:    make(map[placePair]bool),
	}
}

// SetEntries sets the entry VMs that are alive. The fabric keeps sending packets to those that are no
// longer listed for DetectAfter.
func (f *Fabric) SetEntries(now time.Time, alive []FabricEntry) {
	kept := make([]fabricEntry, 0, len(alive))
	for _, a := range alive {
		kept = append(kept, fabricEntry{FabricEntry: a})
	}
	for _, e := range f.entries {
		if slices.Contains(alive, e.FabricEntry) {
			continue
		}
		if e.removeAt.IsZero() {
			e.removeAt = now.Add(f.cfg.DetectAfter)
		}
		kept = append(kept, e)
	}
	f.entries = kept
	f.removeFailed(now)
}

// SetTarget sets the place of a target by its data address.
func (f *Fabric) SetTarget(data netip.AddrPort, p Place) { f.places[data] = p }

// Cut cuts the link between two places, or restores it if on is false. Packets from callers and targets are sprayed
// over the entry VMs that are still reachable from their place.
func (f *Fabric) Cut(a, b Place, on bool) { f.cuts[pairOf(a, b)] = on }

func (f *Fabric) removeFailed(now time.Time) {
	f.entries = slices.DeleteFunc(f.entries, func(e fabricEntry) bool {
		return !e.removeAt.IsZero() && !now.Before(e.removeAt)
	})
}

// Handle processes a packet from a caller: it is sprayed over the entry VMs.
func (f *Fabric) Handle(_ time.Time, d Datagram) []Datagram {
	p, ok := f.take(d)
	if !ok {
		return nil
	}
	f.callers[p.meta.Src.Addr()] = d.Addr
	f.spray(f.callerPlace(p.meta.Src.Addr()), p, d.Data)
	return f.out.take()
}

// callerPlace returns the place of a caller; empty if callers have no place.
func (f *Fabric) callerPlace(a netip.Addr) Place {
	if f.cfg.CallerPlace == nil {
		return ""
	}
	return f.cfg.CallerPlace(a)
}

// HandleTarget processes a packet from a target: it is sprayed over the entry VMs if the service's return
// path goes through them, and otherwise delivered to the caller.
func (f *Fabric) HandleTarget(_ time.Time, d Datagram) []Datagram {
	p, ok := f.take(d)
	if !ok {
		return nil
	}
	place := f.places[d.Addr]
	if f.cfg.ReturnPaths[p.meta.Src] == model.ReturnThrough {
		f.spray(place, p, d.Data)
	} else {
		f.deliver(place, p, d.Data)
	}
	return f.out.take()
}

// HandleEgress processes a packet from a daemon to a caller.
func (f *Fabric) HandleEgress(_ time.Time, d Datagram) []Datagram {
	p, ok := f.take(d)
	if !ok {
		return nil
	}
	f.deliver(f.entryPlace(d.Addr), p, d.Data)
	return f.out.take()
}

// entryPlace returns the place of the entry VM with a data address; empty if it is unknown.
func (f *Fabric) entryPlace(from netip.AddrPort) Place {
	i := slices.IndexFunc(f.entries, func(e fabricEntry) bool { return e.Data == from })
	if i < 0 {
		return ""
	}
	return f.entries[i].Place
}

// take decodes a packet; false if the fabric drops it or it is malformed.
func (f *Fabric) take(d Datagram) (decoded, bool) {
	if f.cfg.Loss > 0 && f.cfg.Rand.Float64() < f.cfg.Loss {
		return decoded{}, false
	}
	return decode(f.dec, d.Data)
}

// deliver sends a packet from a place to the last known outer address of its caller.
func (f *Fabric) deliver(from Place, p decoded, data []byte) {
	caller := p.meta.Dst.Addr()
	to, found := f.callers[caller]
	if !found || f.cuts[pairOf(from, f.callerPlace(caller))] {
		return
	}
	f.out.add(to, slices.Clone(data))
}

// spray sends a packet from a place to one of the entry VMs reachable from there.
func (f *Fabric) spray(from Place, p decoded, data []byte) {
	f.reachable = f.reachable[:0]
	for _, e := range f.entries {
		if !f.cuts[pairOf(from, e.Place)] {
			f.reachable = append(f.reachable, e)
		}
	}
	if len(f.reachable) == 0 {
		return
	}
	f.out.add(f.pick(p).Data, slices.Clone(data))
}

// pick chooses one of the reachable entry VMs.
func (f *Fabric) pick(p decoded) fabricEntry {
	if f.cfg.Spray == SprayPacket {
		return f.reachable[f.cfg.Rand.IntN(len(f.reachable))]
	}
	key := packet.FlowKey{Caller: p.meta.Src, Service: p.meta.Dst}
	return f.reachable[uint64(key.Hash())%uint64(len(f.reachable))]
}

// Tick removes failed entry VMs after DetectAfter.
func (f *Fabric) Tick(now time.Time) []Datagram {
	f.removeFailed(now)
	return nil
}

// Next returns the time at which the next entry VM is removed; zero if none is.
func (f *Fabric) Next() time.Time {
	var next time.Time
	for _, e := range f.entries {
		next = earliest(next, e.removeAt)
	}
	return next
}
