package news

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// returnFleetSize is the size of an additional fleet in TestReturnTime, for manual runs.
var returnFleetSize = flag.Int("returnfleet", 0, "daemons of an additional fleet in TestReturnTime")

const (
	// maxAgreementTime is the time within which a change must take effect at every daemon; the replicas of a return
	// must agree within it.
	maxAgreementTime = 3 * time.Second
	// maxReadersOfReturn is the number of daemons of a zone that may read everything after a return.
	maxReadersOfReturn = 2
)

// TestReturnTime checks the time after a return from a copy until the replicas agree with the platform, and who reads
// everything from it, with a short and with a long absence before.
func TestReturnTime(t *testing.T) {
	sizes := []int{8, 87, 300}
	if *returnFleetSize > 0 {
		sizes = append(sizes, *returnFleetSize)
	}
	for _, size := range sizes {
		absences := []time.Duration{0, 700 * time.Millisecond, 6 * time.Second}
		for _, away := range absences {
			Convey(fmt.Sprintf("%d daemons agree in time after a return, %v away", size, away), t, func() {
				w := newWorld(1, size, 100, zoneNames...)
				w.run(6 * time.Second)
				w.publishConfig()
				w.run(2 * time.Second)
				for _, n := range w.nodes {
					n.wholeReads, n.calls = 0, 0
				}
				fetches := w.fetches
				w.returnAfter(away, 3*time.Second)
				w.run(away + time.Millisecond)
				calls := w.platform.calls
				times := w.timesToAgreement(maxAgreementTime)
				readers := make(map[string]int)
				for _, n := range w.nodes {
					if n.wholeReads > 0 {
						readers[n.zone]++
					}
				}
				t.Logf("%d daemons, %v away: p50 %v p99 %v max %v; whole reads by %v, %d calls in all, %d fetches between daemons",
					size, away, percentile(times, 50), percentile(times, 99), times[len(times)-1], readers, w.platform.calls-calls, w.fetches-fetches)
				So(times, ShouldHaveLength, size)
				for _, count := range readers {
					So(count, ShouldBeLessThanOrEqualTo, maxReadersOfReturn)
				}
				if size < 100 {
					w.run(agreementBound)
					w.checkAgreement()
				}
				So(w.faults, ShouldBeEmpty)
			})
		}
	}
}

// timesToAgreement runs for a time, and returns when each replica was first complete in the platform's era, in ascending
// order.
func (w *world) timesToAgreement(limit time.Duration) []time.Duration {
	start := w.now
	var times []time.Duration
	agrees := make(map[*node]bool)
	for w.now.Sub(start) < limit {
		w.run(10 * time.Millisecond)
		for _, n := range w.nodes {
			if !agrees[n] && n.engine.replica.synced && n.engine.replica.complete.Era == w.platform.era {
				agrees[n] = true
				times = append(times, w.now.Sub(start))
			}
		}
	}
	slices.Sort(times)
	return times
}
