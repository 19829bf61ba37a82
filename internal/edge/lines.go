package edge

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// flowEvent is what a log line on a single flow, target or daemon tells.
type flowEvent uint8

// The events of single flows, and of single targets and daemons.
const (
	flowPlaced flowEvent = iota
	flowRepeated
	flowMoved
	flowLearned
	flowRefused
	flowDropped
	flowReset
	flowReplaced
	flowConflict
	targetChanged
	peerChanged
	flowEvents
)

// String returns the event's name in logs.
func (e flowEvent) String() string {
	return [...]string{"placed", "repeated", "moved", "learned", "refused", "dropped", "reset", "replaced", "conflict", "target", "peer"}[e]
}

const (
	// ownLinesPerSecond bounds the lines that each event may write whatever the others do, ownLineBurst those at
	// once: enough to show what goes on.
	ownLinesPerSecond = 10
	ownLineBurst      = 20
	// sharedLinesPerSecond bounds those beyond that of all events together, sharedLineBurst those at once, so that lines
	// leave a VM with a part of a core to its packets.
	sharedLinesPerSecond = 100
	sharedLineBurst      = 200
)

// lineBudget bounds the log lines on single flows, or on single targets and daemons. Each event has a share of its own, so
// that a burst of one leaves the lines of the others. It is safe for concurrent use.
type lineBudget struct {
	shared *rate.Limiter
	own    [flowEvents]*rate.Limiter
	// omitted counts the lines left out since the last report, total those since the start.
	omitted [flowEvents]atomic.Int64
	total   atomic.Int64
}

func newLineBudget() *lineBudget {
	b := &lineBudget{shared: rate.NewLimiter(sharedLinesPerSecond, sharedLineBurst)}
	for i := range b.own {
		b.own[i] = rate.NewLimiter(ownLinesPerSecond, ownLineBurst)
	}
	return b
}

// allow reports whether a line may be written now, and counts one that may not.
func (b *lineBudget) allow(now time.Time, e flowEvent) bool {
	if b.own[e].AllowN(now, 1) || b.shared.AllowN(now, 1) {
		return true
	}
	b.omitted[e].Add(1)
	b.total.Add(1)
	return false
}

// take returns how many lines were left out since the last call, in all and as text by event.
func (b *lineBudget) take() (n int64, byEvent string) {
	var parts []string
	for e := range flowEvents {
		if omitted := b.omitted[e].Swap(0); omitted > 0 {
			n += omitted
			parts = append(parts, fmt.Sprintf("%v:%d", e, omitted))
		}
	}
	return n, strings.Join(parts, " ")
}
