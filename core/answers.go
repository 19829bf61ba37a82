package core

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// FromPeerAnswer decides about a target's response that another daemon forwarded to this one.
func (e *Engine) FromPeerAnswer(now time.Time, hop wire.HopMeta, m *packet.Meta) Verdict {
	w := e.world.Load()
	if w == nil {
		return drop(errkind.NotReady)
	}
	return e.answer(w, netip.AddrPort{}, now, m, hop.Hops)
}

// answer decides about a target's response, which goes back to the caller. Responses that change the owner's
// state of the flow (SYN, RST and FIN) are forwarded to the owner first.
func (e *Engine) answer(w *world, from netip.AddrPort, now time.Time, m *packet.Meta, hops uint8) Verdict {
	if hops == 0 && !w.servesFrom(from, m.Src) {
		return drop(errkind.PacketFromUnknownTarget)
	}
	h := m.ReturnKey().Hash()
	if m.Flags&(packet.SYN|packet.RST|packet.FIN) == 0 {
		return Verdict{Op: OpReturn}
	}
	owner := w.owner(h)
	if owner != nil && owner.ID != e.cfg.Self && hops == 0 {
		return hopWith(owner, wire.HopMeta{Hops: 1, FromTarget: true})
	}
	return e.ownAnswer(h, now, m)
}

// ownAnswer updates the owner's state of a flow from a target's response.
func (e *Engine) ownAnswer(h model.FlowHash, now time.Time, m *packet.Meta) Verdict {
	entry, ok := e.table.Get(h)
	if !ok {
		return Verdict{Op: OpReturn}
	}
	switch {
	case m.Flags.Has(packet.RST):
		e.noteReset(now, h, entry)
	case m.Flags.Has(packet.SYN):
		handshake := e.table.Age(now, entry.LastSeen)
		e.loads.Answered(now, entry.Target, handshake)
		e.observeAnswer(m, handshake)
	}
	return Verdict{Op: OpReturn}
}

// noteReset marks a flow that its target reset as closing. A reset in response to a SYN counts as a failure
// of the target.
func (e *Engine) noteReset(now time.Time, h model.FlowHash, entry flow.Entry) {
	if entry.State == flow.StateOpening {
		e.loads.Unanswered(now, entry.Target)
	}
	e.advance(now, h, flow.StateClosing)
}

// servesFrom reports whether the target with the given data address belongs to the service at the given
// address, in any retained generation.
func (w *world) servesFrom(from, service netip.AddrPort) bool {
	t := w.byData[from]
	if t == nil {
		return false
	}
	return slices.Contains(w.servedAt[service], t.Service)
}
