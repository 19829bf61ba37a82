package edge

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// pauseLimit is the gap between two looks at the clock from which the process was paused and what it believes may be
	// old.
	pauseLimit = time.Second
	// stallLimit is the wait from which a first packet's flow may have gone on elsewhere: the fabric moves flows once two
	// checks of a daemon, half a second apart, got no answer.
	stallLimit = 500 * time.Millisecond
	// backlogTime is how long after a stall the first read of what waited may come: two periods of a processor quota.
	// Packets that are read later came later.
	backlogTime = 200 * time.Millisecond
)

// pauseClock finds pauses and stalls of the process by a clock that goes on while the machine is suspended, which the runtime's
// steady clock does not. One goroutine looks at regular times; others may ask it at any time.
type pauseClock struct {
	// sinceBoot returns the time since the machine started, suspension counted; false where it is not known.
	sinceBoot func() (time.Duration, bool)
	// lookedAt is when the last look was, in nanoseconds since the machine's start.
	lookedAt atomic.Int64
	// stalls counts the gaps of stallLimit or more; stalledAt is when the last of them was noticed, as lookedAt.
	stalls, stalledAt atomic.Int64
}

// sinceBoot returns the time since the machine started, suspension counted.
func sinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

func (c *pauseClock) start() {
	c.look()
	c.stalls.Store(0)
}

// look returns how long the process was paused since the last look; 0 where it was not.
func (c *pauseClock) look() time.Duration {
	gap, boot := c.gap()
	if gap >= stallLimit {
		c.stalled(boot)
	}
	c.lookedAt.Store(int64(boot))
	if gap < pauseLimit {
		return 0
	}
	return gap
}

// stalled notes a stall that ended at a time since the machine's start.
func (c *pauseClock) stalled(boot time.Duration) {
	c.stalledAt.Store(int64(boot))
	c.stalls.Add(1)
}

// startedLate notes that the first packets waited for this process as through a stall.
func (c *pauseClock) startedLate() {
	if boot, ok := c.sinceBoot(); ok {
		c.stalled(boot)
	}
}

// gap returns the time since the last look, and the time of this one.
func (c *pauseClock) gap() (gap, boot time.Duration) {
	boot, ok := c.sinceBoot()
	if !ok {
		return 0, 0
	}
	return boot - time.Duration(c.lookedAt.Load()), boot
}

// stalledSince reports whether a look has noticed a stall since the caller last asked, and a moment ago. seen is the
// caller's own.
func (c *pauseClock) stalledSince(seen *int64) bool {
	stalls := c.stalls.Load()
	if stalls == *seen {
		return false
	}
	*seen = stalls
	boot, ok := c.sinceBoot()
	return ok && boot-time.Duration(c.stalledAt.Load()) < backlogTime
}

// stalledNow reports whether the process was stalled and no look has noticed it yet.
func (c *pauseClock) stalledNow() bool {
	gap, _ := c.gap()
	return gap >= stallLimit
}
