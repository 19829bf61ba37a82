package core

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Op says what to do with a packet.
type Op uint8

// The operations on a packet.
const (
	// OpDrop drops the packet and counts Verdict.Kind.
	OpDrop Op = iota
	// OpForward sends the packet unchanged to the target at Verdict.To.
	OpForward
	// OpForwardToPeer forwards the packet to the peer Verdict.Peer at Verdict.To, preceded by Verdict.Forward.
	OpForwardToPeer
	// OpReturn sends the packet to its caller through the egress address.
	OpReturn
	// OpReset answers the caller with a TCP reset that contains Verdict.Kind and Verdict.RetryAfter. If
	// Verdict.To is set, the flow was open, and the target at that address is reset too.
	OpReset
)

// Verdict is the engine's decision on one packet.
type Verdict struct {
	Op   Op
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
	return Verdict{Op: OpDrop, Kind: k}
}

// maxJitterShare is the maximum jitter that is added to the retry time, as a share of it.
const maxJitterShare = 0.5

// refuse returns the response that the table in package errkind has for a kind. The retry time gets a jitter
// derived from the flow's hash, so that callers that were refused together do not retry together.
func refuse(k errkind.Kind, h model.FlowHash) Verdict {
	row := errkind.RowOf(k)
	if row.Answer == errkind.AnswerNone {
		return drop(k)
	}
	jitter := float64(uint64(h)>>32) / float64(1<<32) * maxJitterShare
	after := time.Duration(float64(row.RetryAfter) * (1 + jitter))
	return Verdict{Op: OpReset, Kind: k, RetryAfter: after}
}

// forwardToTarget returns the verdict that sends a packet to a target.
func forwardToTarget(t *model.Target) Verdict {
	return Verdict{Op: OpForward, To: t.Data}
}
