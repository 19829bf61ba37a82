package outage

import (
	"math"
	"sync/atomic"
	"time"
)

// reportDelay is the longest usual delay of a report between two daemons, by which a reported time may be too late.
const reportDelay = 50 * time.Millisecond

// Tracker records since when daemons place flows. It is safe for concurrent use.
//
// Load pattern: all VMs lose their power, and callers go on sending while no daemon runs. Their time budgets are too
// short for another flow once the handshake has timed out, so their duplicate SYNs are the last chance to serve them.
type Tracker struct {
	epoch time.Time
	// own is when this daemon became able to place flows, and earliest when the first of all daemons heard did, in
	// nanoseconds since the epoch; own is math.MinInt64 before. earliest never grows: a daemon that was heard once may
	// have placed flows.
	own, earliest atomic.Int64
	// othersPlace is true once another daemon was heard that may place flows.
	othersPlace atomic.Bool
}

// NewTracker returns a tracker of a daemon that starts.
func NewTracker(now time.Time) *Tracker {
	t := &Tracker{epoch: now}
	t.own.Store(math.MinInt64)
	t.earliest.Store(math.MaxInt64)
	return t
}

// Begin records that this daemon has become able to place flows. Later calls have no effect.
func (t *Tracker) Begin(now time.Time) {
	if at := int64(now.Sub(t.epoch)); t.own.CompareAndSwap(math.MinInt64, at) {
		t.lower(at)
	}
}

// Unknown is the duration of a daemon that does not report it, as those of earlier releases: it may have placed flows at
// any time.
const Unknown time.Duration = -1

// Heard records for how long another daemon says that it has been able to place flows.
func (t *Tracker) Heard(now time.Time, placing time.Duration) {
	if placing != 0 {
		t.othersPlace.Store(true)
	}
	if placing < 0 {
		t.lower(math.MinInt64)
		return
	}
	t.lower(int64(now.Sub(t.epoch) - placing - reportDelay))
}

// Placing returns for how long this daemon has been able to place flows, 0 if it is not yet.
func (t *Tracker) Placing(now time.Time) time.Duration {
	own := t.own.Load()
	if own == math.MinInt64 {
		return 0
	}
	return max(now.Sub(t.epoch)-time.Duration(own), 0)
}

// Covers reports whether no daemon was able to place flows when a packet was sent.
func (t *Tracker) Covers(sent time.Time) bool {
	return t.own.Load() != math.MinInt64 && int64(sent.Sub(t.epoch)) < t.earliest.Load()
}

// OthersPlace reports whether another daemon that was heard may place flows, and so the duplicates of a SYN that this one
// holds.
func (t *Tracker) OthersPlace() bool {
	return t.othersPlace.Load()
}

// lower lowers earliest to a time.
func (t *Tracker) lower(at int64) {
	for {
		earliest := t.earliest.Load()
		if at >= earliest || t.earliest.CompareAndSwap(earliest, at) {
			return
		}
	}
}
