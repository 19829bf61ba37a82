package membership

import (
	"slices"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// gossipQueue is the queue of gossip updates to send: at most one per machine, and at most limit in total. Updates that
// are dropped when the queue is full are recovered by anti-entropy, see List.compareDigests.
type gossipQueue struct {
	transmissions int
	limit         int
	queue         []queuedUpdate
}

type queuedUpdate struct {
	update wire.GossipUpdate
	// remaining is the number of heartbeats that still have to carry the update.
	remaining int
}

// put adds an update, which replaces a queued one about the same machine.
func (q *gossipQueue) put(r wire.GossipUpdate) {
	q.drop(r.Machine)
	if len(q.queue) >= q.limit {
		q.dropMostSent()
	}
	q.queue = append(q.queue, queuedUpdate{update: r, remaining: q.transmissions})
}

// drop removes the update about a machine.
func (q *gossipQueue) drop(id model.MachineID) {
	q.queue = slices.DeleteFunc(q.queue, func(e queuedUpdate) bool { return e.update.Machine == id })
}

// dropMostSent removes the update that has been sent most often.
func (q *gossipQueue) dropMostSent() {
	mostSent := 0
	for i, e := range q.queue {
		if e.remaining < q.queue[mostSent].remaining {
			mostSent = i
		}
	}
	q.queue = slices.Delete(q.queue, mostSent, mostSent+1)
}

// take returns up to limit updates for one heartbeat, those sent least often first, and counts them as sent.
func (q *gossipQueue) take(limit int) []wire.GossipUpdate {
	if len(q.queue) == 0 {
		return nil
	}
	slices.SortStableFunc(q.queue, func(a, b queuedUpdate) int { return b.remaining - a.remaining })
	n := min(limit, len(q.queue))
	out := make([]wire.GossipUpdate, 0, n)
	for i := range q.queue[:n] {
		out = append(out, q.queue[i].update)
		q.queue[i].remaining--
	}
	q.queue = slices.DeleteFunc(q.queue, func(e queuedUpdate) bool { return e.remaining <= 0 })
	return out
}
