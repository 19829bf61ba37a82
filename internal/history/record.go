package history

import (
	"time"

	"github.com/fireflypin/fireflypin/packet"
)

// AttemptID identifies one sending of a request. A request that was refused and is sent again keeps
// its Request and gets the next Attempt.
type AttemptID struct {
	Request uint64
	Attempt uint32
}

// Fate is what a caller knows of an attempt at its end.
type Fate uint8

// The fates of an attempt.
const (
	// FateAnswered is an attempt whose answer arrived.
	FateAnswered Fate = iota + 1
	// FateNotRun is an attempt that the caller was told did not run.
	FateNotRun
	// FateUnknown is an attempt whose flow ended first: it may have run or not.
	FateUnknown
)

// String returns the fate's name in reports.
func (f Fate) String() string {
	switch f {
	case FateAnswered:
		return "answered"
	case FateNotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Cause says why a flow ended before its caller closed it.
type Cause uint8

// The causes of a flow's early end.
const (
	CauseNone Cause = iota
	// CauseReset is a RST on an established flow.
	CauseReset
	// CauseSilent is a flow on which nothing is acknowledged any more.
	CauseSilent
	// CauseTimedOut is a flow whose request got no answer before its deadline and the grace after it.
	CauseTimedOut
)

// String returns the cause's name in reports.
func (c Cause) String() string {
	return [...]string{"none", "reset", "silent", "timed_out"}[c]
}

// Outcome is a caller's record of one attempt.
type Outcome struct {
	ID         AttemptID
	Workload   string
	Flow       packet.FlowKey
	Idempotent bool
	Sent, Done time.Time
	Fate       Fate
	Cause      Cause
	// AnswerTo is the request id that the answer carried; set with FateAnswered.
	AnswerTo AttemptID
	// Whole is true where the answer had its full length and checksum; set with FateAnswered.
	Whole bool
	// Reason names the refusal; set with FateNotRun.
	Reason string
}

// Run is a target's record of one attempt that it began to run.
type Run struct {
	ID     AttemptID
	Target string
	Flow   packet.FlowKey
	Start  time.Time
	// Aborted is true where a cancellation stopped it on the way.
	Aborted bool
}

// Receipt says that a target took bytes of a flow in order.
type Receipt struct {
	Flow   packet.FlowKey
	Target string
	Bytes  int
}

// Stray says that a target got a packet of a flow that it does not hold.
type Stray struct {
	Flow   packet.FlowKey
	Target string
	At     time.Time
}

// FlowResult is how a flow ended for its caller.
type FlowResult uint8

// The results of a flow.
const (
	// FlowFinished is a flow that its caller closed.
	FlowFinished FlowResult = iota + 1
	// FlowRefused is a connection attempt that was answered with a RST.
	FlowRefused
	// FlowUnanswered is a connection attempt that nobody answered.
	FlowUnanswered
	// FlowBroken is an established flow that ended early.
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

// History is what one run left behind.
type History struct {
	Outcomes []Outcome
	Runs     []Run
	Receipts []Receipt
	Strays   []Stray
	Flows    []FlowEnd
}

// Add appends the records of another history.
func (h *History) Add(o History) {
	h.Outcomes = append(h.Outcomes, o.Outcomes...)
	h.Runs = append(h.Runs, o.Runs...)
	h.Receipts = append(h.Receipts, o.Receipts...)
	h.Strays = append(h.Strays, o.Strays...)
	h.Flows = append(h.Flows, o.Flows...)
}

// Misrouted returns the strays that reached another target than the one that holds, or held, their
// flow. The rest are late packets of flows that ended.
func Misrouted(h History) []Stray {
	holders := make(map[packet.FlowKey]string)
	for _, r := range h.Receipts {
		if r.Bytes > 0 {
			holders[r.Flow] = r.Target
		}
	}
	var out []Stray
	for _, s := range h.Strays {
		if holder, held := holders[s.Flow]; held && holder != s.Target {
			out = append(out, s)
		}
	}
	return out
}
