package membership

import (
	"sync/atomic"
	"time"
)

// Lease tells any goroutine whether the List's beliefs may still be acted on. It runs out by itself
// when the process is paused, so that a goroutine that wakes first notices.
type Lease struct {
	base time.Time
	// mono and wall are the end of the lease as nanoseconds since base by the monotonic clock and since
	// 1970 by the wall clock. The monotonic clock may stand still while a VM is suspended.
	mono atomic.Int64
	wall atomic.Int64
}

// Valid reports whether decisions may be taken now.
func (l *Lease) Valid(now time.Time) bool {
	return int64(now.Sub(l.base)) < l.mono.Load() && now.UnixNano() < l.wall.Load()
}

func (l *Lease) renew(now time.Time, d time.Duration) {
	l.mono.Store(int64(now.Add(d).Sub(l.base)))
	l.wall.Store(now.Add(d).UnixNano())
}

func (l *Lease) end() {
	l.mono.Store(0)
	l.wall.Store(0)
}

// elapsed returns the time between two readings by the clock that shows more.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
