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
	// stallLimit is the delay after which a waiting SYN is dropped. On transports that do not mark duplicates its flow may have
	// been opened through another daemon: the fabric moves flows after two health checks of a daemon, half a second apart, got
	// no response.
	stallLimit = 500 * time.Millisecond
	// waitLimit is how long a packet may have waited to be answered with a reset: half of the first retransmission timeout
	// of callers. The number of the reset is that of the packet; what the caller has sent since is at most acknowledgements.
	waitLimit = 100 * time.Millisecond
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
	// stalls are the gaps of stallLimit or more, waits those of waitLimit or more.
	stalls, waits gapCounter
}

// gapCounter counts gaps between two checks.
type gapCounter struct {
	// count is their number; detectedAt is when the last of them was detected, in nanoseconds since boot.
	count, detectedAt atomic.Int64
}

func (c *gapCounter) record(boot time.Duration) {
	c.detectedAt.Store(int64(boot))
	c.count.Add(1)
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
	p.stalls.count.Store(0)
	p.waits.count.Store(0)
}

// check records a check and returns the gap since the previous one if it is a pause (at least pauseLimit), otherwise
// 0.
func (p *pauseDetector) check() time.Duration {
	gap, boot := p.gap()
	if gap >= stallLimit {
		p.stalls.record(boot)
	}
	if gap >= waitLimit {
		p.waits.record(boot)
	}
	p.checkedAt.Store(int64(boot))
	if gap < pauseLimit {
		return 0
	}
	return gap
}

// recordLateStart records a stall: packets waited in the socket for stallLimit or longer before the daemon started to
// forward.
func (p *pauseDetector) recordLateStart() {
	if boot, ok := p.sinceBoot(); ok {
		p.stalls.record(boot)
		p.waits.record(boot)
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
	return p.isNew(&p.stalls, seen)
}

// newWait does the same for gaps of waitLimit or more.
func (p *pauseDetector) newWait(seen *int64) bool {
	return p.isNew(&p.waits, seen)
}

func (p *pauseDetector) isNew(c *gapCounter, seen *int64) bool {
	count := c.count.Load()
	if count == *seen {
		return false
	}
	*seen = count
	boot, ok := p.sinceBoot()
	return ok && boot-time.Duration(c.detectedAt.Load()) < backlogTime
}

// undetectedWait reports whether the time since the last check is at least waitLimit, so that no check has detected it yet.
func (p *pauseDetector) undetectedWait() bool {
	gap, _ := p.gap()
	return gap >= waitLimit
}

// undetectedStall reports whether the process has stalled since the last check, so that no check has detected it yet.
func (p *pauseDetector) undetectedStall() bool {
	gap, _ := p.gap()
	return gap >= stallLimit
}
