package membership

import (
	"sync/atomic"
	"time"
)

// Lease lets any goroutine check whether the state of the List may still be acted on. It expires by itself when the
// process is paused, so that the first goroutine to resume detects the pause.
type Lease struct {
	base time.Time
	// monotonicEnd and wallEnd are the end of the lease: in nanoseconds since base on the monotonic clock, and in
	// nanoseconds since 1970 on the wall clock. The monotonic clock may stop while a VM is suspended.
	monotonicEnd atomic.Int64
	wallEnd      atomic.Int64
}

// Valid reports whether the lease has not expired, so that decisions may be made now.
func (l *Lease) Valid(now time.Time) bool {
	return int64(now.Sub(l.base)) < l.monotonicEnd.Load() && now.UnixNano() < l.wallEnd.Load()
}

func (l *Lease) renew(now time.Time, d time.Duration) {
	l.monotonicEnd.Store(int64(now.Add(d).Sub(l.base)))
	l.wallEnd.Store(now.Add(d).UnixNano())
}

func (l *Lease) expire() {
	l.monotonicEnd.Store(0)
	l.wallEnd.Store(0)
}

// elapsed returns the time between two readings, by the monotonic or the wall clock, whichever shows more.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
