package owners

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// FromPeerResponse decides on a target's response that another daemon forwarded to this one.
func (e *Engine) FromPeerResponse(now time.Time, fwd wire.ForwardMeta, m *packet.Meta) Verdict {
	rs := e.routingState.Load()
	if rs == nil {
		return drop(errkind.NotReady)
	}
	return e.handleResponse(rs, netip.AddrPort{}, now, m, fwd.Hops)
}

// handleResponse decides on a target's response, which goes back to the caller. Responses that change the
// owner's state of the flow (SYN, RST and FIN) are forwarded to the owner first.
func (e *Engine) handleResponse(rs *routingState, from netip.AddrPort, now time.Time, m *packet.Meta, forwards uint8) Verdict {
	if forwards == 0 && !rs.targetServes(from, m.Src) {
		return drop(errkind.PacketFromUnknownTarget)
	}
	h := m.ReturnKey().Hash()
	if m.Flags&(packet.SYN|packet.RST|packet.FIN) == 0 {
		return Verdict{Op: core.OpReturn}
	}
	owner := rs.owner(h)
	if owner != nil && owner.ID != e.cfg.Self && forwards == 0 {
		return forwardToPeer(owner, wire.ForwardMeta{Hops: 1, FromTarget: true})
	}
	return e.recordResponse(h, now, m)
}

// recordResponse updates the owner's state of a flow from a target's response.
func (e *Engine) recordResponse(h model.FlowHash, now time.Time, m *packet.Meta) Verdict {
	entry, ok := e.table.Get(h)
	if !ok {
		return Verdict{Op: core.OpReturn}
	}
	switch {
	case m.Flags.Has(packet.RST):
		e.recordReset(now, h, entry)
	case m.Flags.Has(packet.SYN):
		handshake := e.table.Age(now, entry.LastSeen)
		e.loads.Answered(now, entry.Target, handshake)
		e.observeSYNACK(m, handshake)
	}
	return Verdict{Op: core.OpReturn}
}

// recordReset marks a flow that its target reset as closing. A reset in response to a SYN counts as a
// failure of the target.
func (e *Engine) recordReset(now time.Time, h model.FlowHash, entry flow.Entry) {
	if entry.State == flow.StateHalfOpen {
		e.loads.Unanswered(now, entry.Target)
	}
	e.advanceState(now, h, flow.StateClosing)
}

// targetServes reports whether the target with the given data address belongs to the service at the given
// address, in any retained generation.
func (rs *routingState) targetServes(from, service netip.AddrPort) bool {
	t := rs.targetsByAddr[from]
	if t == nil {
		return false
	}
	return slices.Contains(rs.servicesByAddr[service], t.Service)
}
