package core

import (
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// Op says what to do with a packet.
type Op uint8

// The operations on a packet.
const (
	// OpDrop drops the packet and counts the verdict's kind.
	OpDrop Op = iota
	// OpForward sends the packet to its target.
	OpForward
	// OpForwardToPeer forwards the packet to another daemon.
	OpForwardToPeer
	// OpReturn sends the packet to its caller through the egress address.
	OpReturn
	// OpReset answers the caller with a reset in place of the target.
	OpReset
)

// Refusal is the response to a packet that cannot be served.
type Refusal struct {
	// Op is OpReset, or OpDrop for kinds that get no response.
	Op   Op
	Kind errkind.Kind
	// RetryAfter is when a refused caller should retry; 0 if a retry is useless.
	RetryAfter time.Duration
}

// maxJitterShare is the maximum jitter that is added to the retry time, as a share of it.
const maxJitterShare = 0.5

// Refuse returns the response that the table in package errkind has for a kind. The retry time gets a jitter
// derived from the flow's hash, so that callers that were refused together do not retry together.
func Refuse(k errkind.Kind, h model.FlowHash) Refusal {
	row := errkind.RowOf(k)
	if row.Answer == errkind.AnswerNone {
		return Refusal{Op: OpDrop, Kind: k}
	}
	return RefuseFor(k, h, row.RetryAfter)
}

// RefuseFor returns the response to a flow that is refused with a reset, with a retry time of after and the same jitter
// as that of Refuse.
func RefuseFor(k errkind.Kind, h model.FlowHash, after time.Duration) Refusal {
	jitter := float64(uint64(h)>>32) / float64(1<<32) * maxJitterShare
	return Refusal{Op: OpReset, Kind: k, RetryAfter: time.Duration(float64(after) * (1 + jitter))}
}
