package edge

import (
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
)

// maxHeldOpens bounds the held SYNs: several seconds of the users' peak load at one daemon.
const maxHeldOpens = 4096

// heldOpens holds SYNs that arrive after the targets are known, when open flows are already forwarded, and before the
// configuration is. Load pattern: a fleet restarts behind narrow links. Dropping a SYN costs its caller the rest of
// the attempt, since a daemon that has not seen the SYN must not place its duplicates. It is safe for concurrent use.
type heldOpens struct {
	mu   sync.Mutex
	list []heldOpen
	over bool
}

type heldOpen struct {
	raw []byte
	at  time.Time
}

// keep stores a copy of a packet that arrived at a time. It returns false if the packet has to be decided on now,
// because the queue is full or closed by take.
func (h *heldOpens) keep(raw []byte, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over || len(h.list) >= maxHeldOpens {
		return false
	}
	h.list = append(h.list, heldOpen{raw: append([]byte(nil), raw...), at: at})
	return true
}

// take returns the packets in the order of arrival and closes the queue.
func (h *heldOpens) take() []heldOpen {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.list
	h.list, h.over = nil, true
	return list
}

// placeHeld decides on the held SYNs once complete lists are in use. SYNs that were held for stallLimit or longer are
// dropped: the fabric may have moved their flows, and their callers opened them through another daemon.
func (d *Daemon) placeHeld(now time.Time) {
	held := d.held.take()
	if len(held) == 0 {
		return
	}
	count, late := len(held), 0
	m := d.newMover(d.data)
	for len(held) > 0 {
		n := min(len(held), len(m.in))
		for i, p := range held[:n] {
			if now.Sub(p.at) >= stallLimit {
				late++
			}
			m.in[i].N = copy(m.in[i].Buf, p.raw)
			_ = d.faults.Contain("packets", p.raw, func() { m.decideHeld(now, i, p) }) // logged by Contain
		}
		m.flush()
		held = held[n:]
	}
	d.log.Info("held SYNs were processed", "op", "lists", "event", "held", "packets", count, "late", late)
}

func (m *mover) decideHeld(now time.Time, i int, p heldOpen) {
	raw := m.in[i].Buf[:m.in[i].N]
	tag, kind := m.d.transport.Decode(raw, &m.meta)
	switch {
	case kind != errkind.None:
		m.d.metrics.kinds.Add(kind, 1)
	case now.Sub(p.at) >= stallLimit:
		m.d.noteDropped(now, &m.meta, tag, &core.TagVerdict{Op: core.OpDrop, Kind: errkind.PacketOutdated})
	default:
		m.decide(now, i, raw, tag)
	}
}
