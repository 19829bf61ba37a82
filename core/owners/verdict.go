package owners

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Verdict is the engine's decision on one packet.
type Verdict struct {
	Op   core.Op
	Kind errkind.Kind
	// To is the address to send to; used by OpForward, OpForwardToPeer and, for open flows, OpReset.
	To netip.AddrPort
	// Peer is the daemon that the packet is forwarded to.
	Peer model.MachineID
	// Forward is the header that precedes a forwarded packet.
	Forward wire.ForwardMeta
	// RetryAfter is when a refused caller should retry; 0 if a retry is useless.
	RetryAfter time.Duration
}

// drop returns the verdict for a packet that gets no response.
func drop(k errkind.Kind) Verdict {
	return Verdict{Op: core.OpDrop, Kind: k}
}

// refuse returns the response that the table in package errkind has for a kind.
func refuse(k errkind.Kind, h model.FlowHash) Verdict {
	r := core.Refuse(k, h)
	return Verdict{Op: r.Op, Kind: r.Kind, RetryAfter: r.RetryAfter}
}

// forwardToTarget returns the verdict that sends a packet to a target.
func forwardToTarget(t *model.Target) Verdict {
	return Verdict{Op: core.OpForward, To: t.Data}
}
