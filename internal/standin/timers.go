package standin

import (
	"container/heap"
	"time"
)

// timer is an entry of a timerQueue.
type timer[K any] struct {
	at  time.Time
	key K
}

// timerQueue orders keys by the time at which they are due. A key may be queued more than once: on expiry
// the owner checks whether something is really due, and ignores outdated entries.
type timerQueue[K any] struct {
	entries []timer[K]
}

// add queues a key.
func (q *timerQueue[K]) add(at time.Time, key K) {
	heap.Push((*timerHeap[K])(q), timer[K]{at: at, key: key})
}

// next returns the earliest time; zero if the queue is empty.
func (q *timerQueue[K]) next() time.Time {
	if len(q.entries) == 0 {
		return time.Time{}
	}
	return q.entries[0].at
}

// pop removes and returns a key that is due; false if there is none.
func (q *timerQueue[K]) pop(now time.Time) (K, bool) {
	if len(q.entries) == 0 || q.entries[0].at.After(now) {
		var none K
		return none, false
	}
	t := heap.Pop((*timerHeap[K])(q)).(timer[K])
	return t.key, true
}

// timerHeap implements heap.Interface on a timerQueue.
type timerHeap[K any] timerQueue[K]

func (h *timerHeap[K]) Len() int           { return len(h.entries) }
func (h *timerHeap[K]) Less(i, j int) bool { return h.entries[i].at.Before(h.entries[j].at) }
func (h *timerHeap[K]) Swap(i, j int)      { h.entries[i], h.entries[j] = h.entries[j], h.entries[i] }
func (h *timerHeap[K]) Push(x any)         { h.entries = append(h.entries, x.(timer[K])) }

func (h *timerHeap[K]) Pop() any {
	last := len(h.entries) - 1
	t := h.entries[last]
	h.entries[last] = timer[K]{}
	h.entries = h.entries[:last]
	return t
}

// earliest returns the earlier of two times; zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
