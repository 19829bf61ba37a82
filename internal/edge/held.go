package edge

import (
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
)

// maxHeldOpens bounds the first packets that are kept: several seconds of the users' largest load at one daemon.
const maxHeldOpens = 4096

// heldOpens are first packets that came while open flows are steered already and the configuration is not there yet. It
// answers the load pattern of a fleet that starts again behind narrow links: a first packet that is dropped costs its caller
// the rest of the attempt, since its copies may not be placed by who does not know it. It is safe for concurrent use.
type heldOpens struct {
	mu   sync.Mutex
	list []heldOpen
	over bool
}

type heldOpen struct {
	raw []byte
	at  time.Time
}

// keep keeps a copy of a packet that came at a time; false where it has to be decided on now.
func (h *heldOpens) keep(raw []byte, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over || len(h.list) >= maxHeldOpens {
		return false
	}
	h.list = append(h.list, heldOpen{raw: append([]byte(nil), raw...), at: at})
	return true
}

// take returns the packets in the order in which they came, and ends the keeping.
func (h *heldOpens) take() []heldOpen {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.list
	h.list, h.over = nil, true
	return list
}

// placeHeld decides on the first packets that were kept, now that whole lists are in force. Those that were kept as long as
// the fabric needs to move a flow are dropped: their callers may have opened the flows elsewhere since.
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
			_ = d.faults.Contain("packets", p.raw, func() { m.decideHeld(now, i, p) }) // noted there
		}
		m.flush()
		held = held[n:]
	}
	d.log.Info("first packets that were kept are decided on", "op", "lists", "event", "held", "packets", count, "late", late)
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
