package owners

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// unansweredAfter is the minimum age of a SYN at which a duplicate of it counts as a missed response of the
// target.
const unansweredAfter = 500 * time.Millisecond

// recordDuplicateSYN counts a duplicate SYN, or the SYN of another flow that a caller opens after giving up,
// as a missed response of the target.
func (e *Engine) recordDuplicateSYN(a *arrival, entry flow.Entry) {
	if entry.State == flow.StateHalfOpen && e.table.Age(a.now, entry.LastSeen) >= unansweredAfter {
		e.loads.Unanswered(a.now, entry.Target)
	}
}

// recordEstablished counts the first packet after the SYN as a response of the target. For services whose
// responses return through the daemons, the SYN-ACK has already been counted.
func (e *Engine) recordEstablished(a *arrival, after, before flow.Progress) {
	if before.State != flow.StateHalfOpen || after.State != flow.StateOpen {
		return
	}
	svc := e.routingState.Load().snapshot.ServiceAt(a.meta.Dst)
	if svc != nil && svc.Return == model.ReturnDirect {
		e.loads.Answered(a.now, after.Target, e.table.Age(a.now, before.LastSeen))
	}
}

// advanceState updates the state of a flow of the table from a packet. A flow that starts to close no longer
// counts as load, although the table keeps it for a while.
func (e *Engine) advanceState(now time.Time, h model.FlowHash, state flow.State) (after, before flow.Progress, ok bool) {
	after, before, ok = e.table.Advance(now, h, state)
	if ok && before.State != flow.StateClosing && after.State == flow.StateClosing {
		e.loads.Closed(after.Target)
		e.uncount(now, h)
	}
	return after, before, ok
}

// releaseLoad removes a flow that was dropped from the table from its target's load, unless the flow was
// already closing.
func (e *Engine) releaseLoad(entry flow.Entry) {
	if entry.State != flow.StateClosing {
		e.loads.Closed(entry.Target)
	}
}
