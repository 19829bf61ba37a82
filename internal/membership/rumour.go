package membership

import (
	"slices"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// rumours is the queue of gossip updates to send: at most one per machine, and at most limit in total. Updates that are
// dropped when the queue is full are recovered by anti-entropy, see List.compareViews.
type rumours struct {
	copies int
	limit  int
	queue  []queuedRumour
}

type queuedRumour struct {
	rumour wire.Rumour
	// left is the number of heartbeats that still have to carry the update.
	left int
}

// put adds an update, which replaces a queued one about the same machine.
func (q *rumours) put(r wire.Rumour) {
	q.drop(r.Machine)
	if len(q.queue) >= q.limit {
		q.dropOldest()
	}
	q.queue = append(q.queue, queuedRumour{rumour: r, left: q.copies})
}

// drop removes the update about a machine.
func (q *rumours) drop(id model.MachineID) {
	q.queue = slices.DeleteFunc(q.queue, func(e queuedRumour) bool { return e.rumour.Machine == id })
}

// dropOldest removes the update that has been sent most often.
func (q *rumours) dropOldest() {
	oldest := 0
	for i, e := range q.queue {
		if e.left < q.queue[oldest].left {
			oldest = i
		}
	}
	q.queue = slices.Delete(q.queue, oldest, oldest+1)
}

// take returns up to limit updates for one heartbeat, those sent least often first, and counts them as sent.
func (q *rumours) take(limit int) []wire.Rumour {
	if len(q.queue) == 0 {
		return nil
	}
	slices.SortStableFunc(q.queue, func(a, b queuedRumour) int { return b.left - a.left })
	n := min(limit, len(q.queue))
	out := make([]wire.Rumour, 0, n)
	for i := range q.queue[:n] {
		out = append(out, q.queue[i].rumour)
		q.queue[i].left--
	}
	q.queue = slices.DeleteFunc(q.queue, func(e queuedRumour) bool { return e.left <= 0 })
	return out
}
