package owners

import (
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/packet"
)

// Observer is notified of flow events of an engine. Its methods must be safe for concurrent use and must not
// block.
type Observer interface {
	// Answered reports that a target accepted a connection of a service whose responses return through the
	// daemons. handshake is the time from the caller's SYN to the target's SYN-ACK, both measured at the
	// flow's owner, with a resolution of 1 ms.
	Answered(a core.Admission, handshake time.Duration)
}

type noObserver struct{}

func (noObserver) Answered(core.Admission, time.Duration) {}

// observeSYNACK notifies the observer of the SYN-ACK m.
func (e *Engine) observeSYNACK(m *packet.Meta, handshake time.Duration) {
	customer, service, kind := e.routingState.Load().admitter.Admit(m.Dst.Addr(), m.Src)
	if kind == errkind.None {
		e.cfg.Observer.Answered(core.Admission{Customer: customer, Service: service}, handshake)
	}
}
