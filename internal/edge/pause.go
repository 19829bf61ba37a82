package edge

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// pauseLimit is the gap between two checks of the clock from which the process counts as paused and its published
	// lists as possibly outdated.
	pauseLimit = time.Second
	// stallLimit is the delay after which the flow of a waiting SYN may have been opened through another daemon: the
	// fabric moves flows after two health checks of a daemon, half a second apart, got no response.
	stallLimit = 500 * time.Millisecond
	// backlogTime is how long after a stall the first read of the queued packets may happen: two periods of a CPU
	// quota. Packets that are read later arrived after the stall.
	backlogTime = 200 * time.Millisecond
)

// pauseDetector detects pauses and stalls of the process with a clock that includes suspension of the machine, which
// Go's monotonic clock does not. One goroutine checks it at regular intervals; any goroutine may query it.
type pauseDetector struct {
	// sinceBoot returns the time since boot, including suspension; false if it is unknown.
	sinceBoot func() (time.Duration, bool)
	// checkedAt is the time of the last check, in nanoseconds since boot.
	checkedAt atomic.Int64
	// stalls counts the gaps of stallLimit or more; stalledAt is when the last of them was detected, in nanoseconds
	// since boot.
	stalls, stalledAt atomic.Int64
}

// sinceBoot returns the time since boot, including suspension; false if the clock cannot be read.
func sinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

func (p *pauseDetector) start() {
	p.check()
	p.stalls.Store(0)
}

// check records a check and returns the gap since the previous one if it is a pause (at least pauseLimit), otherwise
// 0.
func (p *pauseDetector) check() time.Duration {
	gap, boot := p.gap()
	if gap >= stallLimit {
		p.recordStall(boot)
	}
	p.checkedAt.Store(int64(boot))
	if gap < pauseLimit {
		return 0
	}
	return gap
}

// recordStall records a stall that ended at the given time since boot.
func (p *pauseDetector) recordStall(boot time.Duration) {
	p.stalledAt.Store(int64(boot))
	p.stalls.Add(1)
}

// recordLateStart records a stall: packets waited in the socket for stallLimit or longer before the daemon started to
// forward.
func (p *pauseDetector) recordLateStart() {
	if boot, ok := p.sinceBoot(); ok {
		p.recordStall(boot)
	}
}

// gap returns the time since the last check, and the current time since boot; 0 for both if the clock is unknown.
func (p *pauseDetector) gap() (gap, boot time.Duration) {
	boot, ok := p.sinceBoot()
	if !ok {
		return 0, 0
	}
	return boot - time.Duration(p.checkedAt.Load()), boot
}

// newStall reports whether a stall was detected less than backlogTime ago and after the previous call with the same
// counter. seen is that counter; the caller keeps it and starts it at 0.
func (p *pauseDetector) newStall(seen *int64) bool {
	stalls := p.stalls.Load()
	if stalls == *seen {
		return false
	}
	*seen = stalls
	boot, ok := p.sinceBoot()
	return ok && boot-time.Duration(p.stalledAt.Load()) < backlogTime
}

// undetectedStall reports whether the process has stalled since the last check, so that no check has detected it yet.
func (p *pauseDetector) undetectedStall() bool {
	gap, _ := p.gap()
	return gap >= stallLimit
}
