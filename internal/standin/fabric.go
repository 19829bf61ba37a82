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

// Spray says how the fabric picks an entry VM.
type Spray uint8

// The ways to spray.
const (
	// SprayPacket picks one at random for each packet.
	SprayPacket Spray = iota
	// SprayFlow picks one by the hash of the flow, as equal-cost routing does.
	SprayFlow
)

// FabricConfig configures a Fabric.
type FabricConfig struct {
	// Spray says how an entry VM is picked; default SprayPacket.
	Spray Spray
	// DetectAfter is how long packets still go to an entry VM that died or left; default 1 s.
	DetectAfter time.Duration
	// Loss is the share of packets that the fabric loses, 0 to 1; default 0.
	Loss float64
	// CallerPlace gives the place of a caller's address; nil means that all callers are everywhere.
	CallerPlace func(netip.Addr) Place
	// Returns says per service address which way answers of targets take; default direct.
	Returns map[netip.AddrPort]model.ReturnPath
	// MTU bounds inner packets in bytes; default 1500.
	MTU int
	// Rand is the random source; required.
	Rand *rand.Rand
}

// FabricEntry is an entry VM that packets are sprayed to.
type FabricEntry struct {
	Data  netip.AddrPort
	Place Place
}

// fabricEntry is an entry VM as the fabric knows it.
type fabricEntry struct {
	FabricEntry
	// until is when the fabric stops spraying to it; zero while it is alive.
	until time.Time
}

// Fabric is a Machine that stands in for the network fabric. Callers, targets and daemons send inner
// packets to it: those to a service are sprayed over the entry VMs, those to a caller are delivered.
type Fabric struct {
	cfg     FabricConfig
	dec     *packet.Decoder
	out     outbox
	entries []fabricEntry
	// callers holds where packets of each caller's address came from last.
	callers map[netip.Addr]netip.AddrPort
	// places holds where targets are, by their data address.
	places map[netip.AddrPort]Place
	cuts   map[placePair]bool
	// reachable is reused by pick.
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

// SetEntries names the entry VMs that are alive. The fabric goes on spraying to those that are missing
// for DetectAfter.
func (f *Fabric) SetEntries(now time.Time, alive []FabricEntry) {
	kept := make([]fabricEntry, 0, len(alive))
	for _, a := range alive {
		kept = append(kept, fabricEntry{FabricEntry: a})
	}
	for _, e := range f.entries {
		if slices.Contains(alive, e.FabricEntry) {
			continue
		}
		if e.until.IsZero() {
			e.until = now.Add(f.cfg.DetectAfter)
		}
		kept = append(kept, e)
	}
	f.entries = kept
	f.forgetDead(now)
}

// SetTarget tells where a target is.
func (f *Fabric) SetTarget(data netip.AddrPort, p Place) { f.places[data] = p }

// Cut cuts or heals the way between two places: packets of callers and targets at one are then sprayed
// over the entry VMs that they still reach.
func (f *Fabric) Cut(a, b Place, on bool) { f.cuts[pairOf(a, b)] = on }

func (f *Fabric) forgetDead(now time.Time) {
	f.entries = slices.DeleteFunc(f.entries, func(e fabricEntry) bool {
		return !e.until.IsZero() && !now.Before(e.until)
	})
}

// Handle takes a packet of a caller: it is sprayed over the entry VMs.
func (f *Fabric) Handle(_ time.Time, d Datagram) []Datagram {
	p, ok := f.take(d)
	if !ok {
		return nil
	}
	f.callers[p.meta.Src.Addr()] = d.Addr
	f.spray(f.callerPlace(p.meta.Src.Addr()), p, d.Data)
	return f.out.take()
}

// callerPlace returns where a caller is; empty where it is everywhere.
func (f *Fabric) callerPlace(a netip.Addr) Place {
	if f.cfg.CallerPlace == nil {
		return ""
	}
	return f.cfg.CallerPlace(a)
}

// HandleTarget takes an answer of a target: it is sprayed over the entry VMs where the service's
// answers pass them, and else delivered.
func (f *Fabric) HandleTarget(_ time.Time, d Datagram) []Datagram {
	p, ok := f.take(d)
	if !ok {
		return nil
	}
	place := f.places[d.Addr]
	if f.cfg.Returns[p.meta.Src] == model.ReturnThrough {
		f.spray(place, p, d.Data)
	} else {
		f.deliver(place, p, d.Data)
	}
	return f.out.take()
}

// HandleEgress takes a packet that a daemon sends to a caller.
func (f *Fabric) HandleEgress(_ time.Time, d Datagram) []Datagram {
	p, ok := f.take(d)
	if !ok {
		return nil
	}
	f.deliver(f.entryPlace(d.Addr), p, d.Data)
	return f.out.take()
}

// entryPlace returns where the daemon is that sent from an address; empty where it is not known.
func (f *Fabric) entryPlace(from netip.AddrPort) Place {
	i := slices.IndexFunc(f.entries, func(e fabricEntry) bool { return e.Data == from })
	if i < 0 {
		return ""
	}
	return f.entries[i].Place
}

// take decodes a packet, unless the fabric loses it.
func (f *Fabric) take(d Datagram) (decoded, bool) {
	if f.cfg.Loss > 0 && f.cfg.Rand.Float64() < f.cfg.Loss {
		return decoded{}, false
	}
	return decode(f.dec, d.Data)
}

// deliver sends a packet from a place to where its caller was last seen.
func (f *Fabric) deliver(from Place, p decoded, data []byte) {
	caller := p.meta.Dst.Addr()
	to, found := f.callers[caller]
	if !found || f.cuts[pairOf(from, f.callerPlace(caller))] {
		return
	}
	f.out.add(to, slices.Clone(data))
}

// spray sends a packet from a place to one of the entry VMs that the place reaches.
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

// Tick forgets entry VMs whose time is over.
func (f *Fabric) Tick(now time.Time) []Datagram {
	f.forgetDead(now)
	return nil
}

// Next returns when the next entry VM is forgotten.
func (f *Fabric) Next() time.Time {
	var next time.Time
	for _, e := range f.entries {
		next = earliest(next, e.until)
	}
	return next
}
