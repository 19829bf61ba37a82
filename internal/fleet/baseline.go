package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/standin"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// BaselineConfig holds the settings of a Baseline.
type BaselineConfig struct {
	// Table keeps the target of each flow in a flow table. Without it, the target is computed for every
	// packet.
	Table bool
	// Egress is the address that packets from targets to callers are sent to.
	Egress netip.AddrPort
	// MTU is the maximum size of inner packets in bytes; default 1500.
	MTU int
}

// flowIdleTimeout is the time without packets after which a flow is removed from the table.
const flowIdleTimeout = 5 * time.Minute

// flowEntry is a flow table entry.
type flowEntry struct {
	target       *model.Target
	lastPacketAt time.Time
}

// Baseline is a standin.Machine that forwards packets like a simple load balancer: it selects targets by
// rendezvous hashing over the targets that are not draining, with or without a local flow table, and does
// not communicate with other members.
type Baseline struct {
	cfg      BaselineConfig
	decoder  *packet.Decoder
	snapshot *model.Snapshot
	flows    map[packet.FlowKey]flowEntry
	sweepAt  time.Time
	packets  uint64
}

// NewBaseline returns a baseline without lists. It drops all packets until SetSnapshot is called.
func NewBaseline(cfg BaselineConfig) *Baseline {
	if cfg.MTU == 0 {
		cfg.MTU = 1500
	}
	return &Baseline{
		cfg:     cfg,
		decoder: packet.NewDecoder(packet.DecoderConfig{MTU: cfg.MTU}),
		flows:   make(map[packet.FlowKey]flowEntry),
	}
}

// SetSnapshot applies a snapshot of the published lists.
func (b *Baseline) SetSnapshot(s *model.Snapshot) { b.snapshot = s }

// Handle returns the datagram that forwards one packet, or nil if the packet is dropped.
func (b *Baseline) Handle(now time.Time, d standin.Datagram) []standin.Datagram {
	b.packets++
	var m packet.Meta
	if b.snapshot == nil || b.decoder.Decode(d.Data, &m) != errkind.None {
		return nil
	}
	to := b.cfg.Egress
	if service := b.snapshot.ServiceAt(m.Dst); service != nil {
		t := b.target(now, m.Key(), service)
		if t == nil {
			return nil
		}
		to = t.Data
	}
	return []standin.Datagram{{Addr: to, Data: slices.Clone(d.Data)}}
}

// target returns the target of a flow, or nil if the service has none.
func (b *Baseline) target(now time.Time, k packet.FlowKey, s *model.Service) *model.Target {
	if !b.cfg.Table {
		return selectTarget(k.Hash(), s)
	}
	entry, found := b.flows[k]
	if !found {
		entry.target = selectTarget(k.Hash(), s)
	}
	if entry.target == nil {
		return nil
	}
	entry.lastPacketAt = now
	b.flows[k] = entry
	return entry.target
}

// selectTarget returns the target with the highest rendezvous score for the flow, or nil if there is none.
func selectTarget(h model.FlowHash, s *model.Service) *model.Target {
	var best *model.Target
	var bestScore uint64
	for _, t := range s.Targets {
		if t.Draining {
			continue
		}
		if score := hashPair(uint64(h), uint64(t.ID)); best == nil || score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// hashPair returns a hash of two numbers.
func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	for i := range 8 {
		buf[i] = byte(a >> (8 * i))
		buf[8+i] = byte(b >> (8 * i))
	}
	return xxhash.Sum64(buf[:])
}

// Tick removes idle flows from the table.
func (b *Baseline) Tick(now time.Time) []standin.Datagram {
	for k, entry := range b.flows {
		if now.Sub(entry.lastPacketAt) > flowIdleTimeout {
			delete(b.flows, k)
		}
	}
	b.sweepAt = now.Add(flowIdleTimeout / 4)
	return nil
}

// Next returns the time of the next sweep of the flow table.
func (b *Baseline) Next() time.Time { return b.sweepAt }
