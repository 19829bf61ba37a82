package edge

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// flowEvent is the subject of a log line on a single flow, target or daemon.
type flowEvent uint8

// The events of single flows, targets and daemons.
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
	// ownLinesPerSecond and ownLineBurst are the rate and burst reserved for each event, whatever the other events
	// use: enough to show what happens.
	ownLinesPerSecond = 10
	ownLineBurst      = 20
	// sharedLinesPerSecond and sharedLineBurst are the rate and burst that all events share beyond their reserved
	// ones. They keep logging to a part of a core, so that packets get the rest of the VM.
	sharedLinesPerSecond = 100
	sharedLineBurst      = 200
)

// lineBudget limits the rate of log lines on single flows, or on single targets and daemons. Each event has a
// reserved rate, so that a burst of one event does not suppress the lines of others. It is safe for concurrent use.
type lineBudget struct {
	shared *rate.Limiter
	own    [flowEvents]*rate.Limiter
	// omitted counts the lines suppressed since the last call of take, total those since the start.
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

// allow reports whether a line may be written now, and counts a suppressed line.
func (b *lineBudget) allow(now time.Time, e flowEvent) bool {
	if b.own[e].AllowN(now, 1) || b.shared.AllowN(now, 1) {
		return true
	}
	b.omitted[e].Add(1)
	b.total.Add(1)
	return false
}

// take returns how many lines were suppressed since the last call, in total and as text per event.
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
