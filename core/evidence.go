package core

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// unansweredAfter is the age of a SYN from which its repetition says that the target did not answer.
const unansweredAfter = 500 * time.Millisecond

// noteRepeatedSYN takes the repetition of a SYN as evidence against the target; a caller that gives up and opens another flow
// tells the same.
func (e *Engine) noteRepeatedSYN(a *arrival, entry flow.Entry) {
	if entry.State == flow.StateOpening && e.table.Age(a.now, entry.LastSeen) >= unansweredAfter {
		e.loads.Unanswered(a.now, entry.Target)
	}
}

// noteEstablished takes the first packet after the SYN as evidence for the target. Where answers return
// through the daemons the SYN-ACK itself has told it already.
func (e *Engine) noteEstablished(a *arrival, after, before flow.Progress) {
	if before.State != flow.StateOpening || after.State != flow.StateOpen {
		return
	}
	svc := e.world.Load().snapshot.ServiceAt(a.meta.Dst)
	if svc != nil && svc.Return == model.ReturnDirect {
		e.loads.Answered(a.now, after.Target, e.table.Age(a.now, before.LastSeen))
	}
}

// advance notes a packet of a flow of the table. A flow that starts to close no longer counts as load,
// though the table remembers it for a while.
func (e *Engine) advance(now time.Time, h model.FlowHash, state flow.State) (after, before flow.Progress, ok bool) {
	after, before, ok = e.table.Advance(now, h, state)
	if ok && before.State != flow.StateClosing && after.State == flow.StateClosing {
		e.loads.Closed(after.Target)
		e.uncount(now, h)
	}
	return after, before, ok
}

// unload takes a forgotten flow off the load, unless its closing did.
func (e *Engine) unload(entry flow.Entry) {
	if entry.State != flow.StateClosing {
		e.loads.Closed(entry.Target)
	}
}
