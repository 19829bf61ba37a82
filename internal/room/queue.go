// The first packets that wait at a daemon.

package room

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Waiting is a first packet that waits.
type Waiting struct {
	Packet         []byte
	Arrived, Until time.Time
	// Service is the service that the packet waits for, Level its importance there, from 0 for the highest.
	Service string
	Level   int
}

// maxQueued bounds the packets that wait at a daemon, over all services.
const maxQueued = 512

// Queue holds the first packets that wait. It is safe for concurrent use.
type Queue struct {
	mu    sync.Mutex
	items []Waiting
	// length is the number of items, and of those that were taken and not given back yet.
	length atomic.Int64
}

// Empty reports whether nothing waits.
func (q *Queue) Empty() bool {
	return q.length.Load() == 0
}

// Hold adds a packet and reports whether there was space for it.
func (q *Queue) Hold(w Waiting) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= maxQueued {
		return false
	}
	q.items = append(q.items, w)
	q.length.Add(1)
	return true
}

// Take removes and returns all packets, the most important first and in the order of arrival among these.
func (q *Queue) Take() []Waiting {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	q.length.Store(0)
	slices.SortStableFunc(items, func(a, b Waiting) int {
		if a.Level != b.Level {
			return cmp.Compare(a.Level, b.Level)
		}
		return a.Arrived.Compare(b.Arrived)
	})
	return items
}

// GiveBack adds packets that were taken and wait on.
func (q *Queue) GiveBack(items []Waiting) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, items...)
	q.length.Store(int64(len(q.items)))
}
