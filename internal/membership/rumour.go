package membership

import (
	"slices"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// rumours is the queue of news that still has to go out: at most one piece for each machine, and a
// bounded number in all. What is dropped in a flood of news is found by comparing digests.
type rumours struct {
	copies int
	limit  int
	queue  []queuedRumour
}

type queuedRumour struct {
	rumour wire.Rumour
	// left is the number of heartbeats that still carry the rumour.
	left int
}

// put replaces the news of a machine.
func (q *rumours) put(r wire.Rumour) {
	q.drop(r.Machine)
	if len(q.queue) >= q.limit {
		q.dropOldest()
	}
	q.queue = append(q.queue, queuedRumour{rumour: r, left: q.copies})
}

// drop removes the news of a machine.
func (q *rumours) drop(id model.MachineID) {
	q.queue = slices.DeleteFunc(q.queue, func(e queuedRumour) bool { return e.rumour.Machine == id })
}

// dropOldest removes the news that went out most often.
func (q *rumours) dropOldest() {
	oldest := 0
	for i, e := range q.queue {
		if e.left < q.queue[oldest].left {
			oldest = i
		}
	}
	q.queue = slices.Delete(q.queue, oldest, oldest+1)
}

// take returns the freshest news for one heartbeat and counts them as sent once.
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
