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

// The ways a packet can go.
const (
	// OpDrop drops the packet and counts Verdict.Kind.
	OpDrop Op = iota
	// OpForward sends the packet as it is to the target at Verdict.To.
	OpForward
	// OpHop sends the packet to the peer Verdict.Peer at Verdict.To, behind Verdict.Hop.
	OpHop
	// OpReturn sends the packet to its caller by the egress address.
	OpReturn
	// OpReset answers the caller with a TCP reset that names Verdict.Kind and Verdict.RetryAfter. Where
	// Verdict.To is set, the flow was open, and the target there is reset too.
	OpReset
)

// Verdict is what the engine decides on one packet.
type Verdict struct {
	Op   Op
	Kind errkind.Kind
	// To is the address to send to; used by OpForward, OpHop and for open flows OpReset.
	To netip.AddrPort
	// Peer is the receiver of a hop.
	Peer model.MachineID
	// Hop precedes the packet on its way to the peer.
	Hop wire.HopMeta
	// RetryAfter is when a refused caller should come back; 0 where asking again is useless.
	RetryAfter time.Duration
}

// drop returns the verdict for a packet that gets no answer.
func drop(k errkind.Kind) Verdict {
	return Verdict{Op: OpDrop, Kind: k}
}

// maxJitterShare bounds how much later than the table's time a caller is told to come back.
const maxJitterShare = 0.5

// refuse returns the answer that the table gives for a kind. The time to come back is spread by the
// flow's hash, so that callers refused together do not return together.
func refuse(k errkind.Kind, h model.FlowHash) Verdict {
	row := errkind.RowOf(k)
	if row.Answer == errkind.AnswerNone {
		return drop(k)
	}
	jitter := float64(uint64(h)>>32) / float64(1<<32) * maxJitterShare
	after := time.Duration(float64(row.RetryAfter) * (1 + jitter))
	return Verdict{Op: OpReset, Kind: k, RetryAfter: after}
}

// forward returns the verdict for a packet of a flow with a target.
func forward(t *model.Target) Verdict {
	return Verdict{Op: OpForward, To: t.Data}
}
