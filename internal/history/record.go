package history

import (
	"time"

	"github.com/fireflypin/fireflypin/packet"
)

// AttemptID identifies one attempt to send a request. When a refused request is sent again, it keeps its
// Request number and gets the next Attempt number.
type AttemptID struct {
	Request uint64
	Attempt uint32
}

// AttemptResult is the result of an attempt as known to its caller.
type AttemptResult uint8

// The results of an attempt.
const (
	// AttemptAnswered means that the caller received an answer.
	AttemptAnswered AttemptResult = iota + 1
	// AttemptNotRun means that the caller was informed that the attempt was not executed.
	AttemptNotRun
	// AttemptUnknown means that the flow ended before an answer. The attempt may have been executed or not.
	AttemptUnknown
)

// String returns the result's name in reports.
func (r AttemptResult) String() string {
	switch r {
	case AttemptAnswered:
		return "answered"
	case AttemptNotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Cause is the reason why a flow ended before its caller closed it.
type Cause uint8

// The causes of a flow's early end.
const (
	// CauseNone means that the flow did not end early.
	CauseNone Cause = iota
	// CauseReset means that the caller received a RST on the established flow.
	CauseReset
	// CauseUnresponsive means that the caller's packets were no longer acknowledged.
	CauseUnresponsive
	// CauseTimedOut means that a request was not answered before its deadline plus the grace period after it.
	CauseTimedOut
)

// String returns the cause's name in reports.
func (c Cause) String() string {
	return [...]string{"none", "reset", "silent", "timed_out"}[c]
}

// Outcome is a caller's record of one attempt.
type Outcome struct {
	ID            AttemptID
	Workload      string
	Flow          packet.FlowKey
	Idempotent    bool
	Sent, Done    time.Time
	AttemptResult AttemptResult
	Cause         Cause
	// AnswerTo is the attempt ID in the answer; set with AttemptAnswered.
	AnswerTo AttemptID
	// Complete is true if the answer had the expected length and checksum; set with AttemptAnswered.
	Complete bool
	// Reason is the reason of the refusal; set with AttemptNotRun.
	Reason string
}

// Run is a target's record of an attempt that it started to execute.
type Run struct {
	ID     AttemptID
	Target string
	Flow   packet.FlowKey
	Start  time.Time
	// Aborted is true if a cancellation stopped the execution before its end.
	Aborted bool
}

// Receipt records how many bytes of a flow a target received in order.
type Receipt struct {
	Flow   packet.FlowKey
	Target string
	Bytes  int
}

// UnknownFlowPacket records that a target received a packet of a flow that it does not hold.
type UnknownFlowPacket struct {
	Flow   packet.FlowKey
	Target string
	At     time.Time
}

// FlowResult is how a flow ended from the point of view of its caller.
type FlowResult uint8

// The results of a flow.
const (
	// FlowFinished is a flow that its caller closed.
	FlowFinished FlowResult = iota + 1
	// FlowRefused is a connection attempt that was answered with a RST.
	FlowRefused
	// FlowUnanswered is a connection attempt that was not answered.
	FlowUnanswered
	// FlowBroken is an established flow that ended before its caller closed it.
	FlowBroken
)

// FlowEnd is a caller's record of one flow.
type FlowEnd struct {
	Flow          packet.FlowKey
	Workload      string
	Opened, Ended time.Time
	Result        FlowResult
	Cause         Cause
	Reason        string
}

// History holds the records of callers and targets of one run.
type History struct {
	Outcomes           []Outcome
	Runs               []Run
	Receipts           []Receipt
	UnknownFlowPackets []UnknownFlowPacket
	Flows              []FlowEnd
}

// Add appends the records of another history.
func (h *History) Add(o History) {
	h.Outcomes = append(h.Outcomes, o.Outcomes...)
	h.Runs = append(h.Runs, o.Runs...)
	h.Receipts = append(h.Receipts, o.Receipts...)
	h.UnknownFlowPackets = append(h.UnknownFlowPackets, o.UnknownFlowPackets...)
	h.Flows = append(h.Flows, o.Flows...)
}

// Misrouted returns the records of packets that reached a different target than the one that holds, or held,
// their flow. All other records in UnknownFlowPackets are late packets of flows that have ended.
func Misrouted(h History) []UnknownFlowPacket {
	holders := make(map[packet.FlowKey]string)
	for _, r := range h.Receipts {
		if r.Bytes > 0 {
			holders[r.Flow] = r.Target
		}
	}
	var out []UnknownFlowPacket
	for _, p := range h.UnknownFlowPackets {
		if holder, held := holders[p.Flow]; held && holder != p.Target {
			out = append(out, p)
		}
	}
	return out
}
