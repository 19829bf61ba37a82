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

// BaselineConfig configures a Baseline.
type BaselineConfig struct {
	// Table makes the daemon remember the target of each flow that it has seen; false hashes each packet
	// anew.
	Table bool
	// Egress receives answers that pass the daemon.
	Egress netip.AddrPort
	// MTU bounds inner packets in bytes; default 1500.
	MTU int
}

// tableIdle is the time without packets after which a remembered flow is forgotten.
const tableIdle = 5 * time.Minute

// remembered is a flow in a baseline's table.
type remembered struct {
	target *model.Target
	seen   time.Time
}

// Baseline is a Machine that forwards as a simple load balancer does: by a rendezvous hash over the
// targets that are not leaving, with or without a table of its own, and without talking to others.
type Baseline struct {
	cfg      BaselineConfig
	dec      *packet.Decoder
	snapshot *model.Snapshot
	flows    map[packet.FlowKey]remembered
	sweepAt  time.Time
	packets  uint64
}

// NewBaseline returns a baseline without lists; it drops all packets until SetSnapshot.
func NewBaseline(cfg BaselineConfig) *Baseline {
	if cfg.MTU == 0 {
		cfg.MTU = 1500
	}
	return &Baseline{
		cfg:   cfg,
		dec:   packet.NewDecoder(packet.DecoderConfig{MTU: cfg.MTU}),
		flows: make(map[packet.FlowKey]remembered),
	}
}

// SetSnapshot puts lists in force.
func (b *Baseline) SetSnapshot(s *model.Snapshot) { b.snapshot = s }

// Handle forwards one packet.
func (b *Baseline) Handle(now time.Time, d standin.Datagram) []standin.Datagram {
	b.packets++
	var m packet.Meta
	if b.snapshot == nil || b.dec.Decode(d.Data, &m) != errkind.None {
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

// target returns where a flow's packets go.
func (b *Baseline) target(now time.Time, k packet.FlowKey, s *model.Service) *model.Target {
	if !b.cfg.Table {
		return pick(k.Hash(), s)
	}
	r, found := b.flows[k]
	if !found {
		r.target = pick(k.Hash(), s)
	}
	if r.target == nil {
		return nil
	}
	r.seen = now
	b.flows[k] = r
	return r.target
}

// pick returns the target with the highest hash together with the flow, or nil.
func pick(h model.FlowHash, s *model.Service) *model.Target {
	var best *model.Target
	var bestScore uint64
	for _, t := range s.Targets {
		if t.Leaving {
			continue
		}
		if score := mix(uint64(h), uint64(t.ID)); best == nil || score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// mix hashes two numbers to one.
func mix(a, b uint64) uint64 {
	var buf [16]byte
	for i := range 8 {
		buf[i] = byte(a >> (8 * i))
		buf[8+i] = byte(b >> (8 * i))
	}
	return xxhash.Sum64(buf[:])
}

// Tick forgets idle flows.
func (b *Baseline) Tick(now time.Time) []standin.Datagram {
	for k, r := range b.flows {
		if now.Sub(r.seen) > tableIdle {
			delete(b.flows, k)
		}
	}
	b.sweepAt = now.Add(tableIdle / 4)
	return nil
}

// Next returns when the next sweep is due.
func (b *Baseline) Next() time.Time { return b.sweepAt }
