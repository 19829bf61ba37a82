package flow

import (
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// LastPacket is the last packet of a flow that a daemon received.
type LastPacket struct {
	Flow model.FlowHash
	// Ack is the caller's highest acknowledgement number.
	Ack uint32
	// Since is the time since the daemon received the packet, in whole milliseconds.
	Since time.Duration
}
