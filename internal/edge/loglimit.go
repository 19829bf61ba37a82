package edge

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// logEvent is the event that a log line on a single flow, target, daemon or service reports.
type logEvent uint8

// The events of single flows, targets, daemons and services.
const (
	flowPlaced logEvent = iota
	flowRepeated
	flowLearned
	flowRefused
	flowDropped
	flowReset
	flowReplaced
	flowConflict
	flowsAsked
	targetChanged
	peerChanged
	targetUse
	targetHeld
	targetSpeed
	itemUnusable
	responseUndecodable
	logEventCount
)

// String returns the event's name in logs.
func (e logEvent) String() string {
	return [...]string{"placed", "repeated", "learned", "refused", "dropped", "reset", "replaced", "conflict", "asked", "target", "peer", "bearer", "held", "speed", "unusable", "undecodable"}[e]
}

const (
	// reservedLinesPerSecond and reservedLineBurst are the rate and burst reserved for each event, whatever the other
	// events use: enough to show what happens.
	reservedLinesPerSecond = 10
	reservedLineBurst      = 20
	// sharedLinesPerSecond and sharedLineBurst are the rate and burst that all events share beyond their reserved
	// ones. They are low enough that logging leaves the CPU to packets even on a VM with a fraction of a core.
	sharedLinesPerSecond = 100
	sharedLineBurst      = 200
)

// logLimiter limits the rate of log lines on single flows, or on single targets and daemons. Each event has a
// reserved rate, so that a burst of one event does not suppress the lines of others. It is safe for concurrent use.
type logLimiter struct {
	shared   *rate.Limiter
	reserved [logEventCount]*rate.Limiter
	// omitted counts the lines suppressed since the last call of takeOmitted, total those since the start.
	omitted [logEventCount]atomic.Int64
	total   atomic.Int64
}

func newLogLimiter() *logLimiter {
	l := &logLimiter{shared: rate.NewLimiter(sharedLinesPerSecond, sharedLineBurst)}
	for i := range l.reserved {
		l.reserved[i] = rate.NewLimiter(reservedLinesPerSecond, reservedLineBurst)
	}
	return l
}

// allow reports whether a line may be written now, and counts a suppressed line.
func (l *logLimiter) allow(now time.Time, e logEvent) bool {
	if l.reserved[e].AllowN(now, 1) || l.shared.AllowN(now, 1) {
		return true
	}
	l.omitted[e].Add(1)
	l.total.Add(1)
	return false
}

// takeOmitted returns how many lines were suppressed since the last call, in total and as text per event.
func (l *logLimiter) takeOmitted() (n int64, byEvent string) {
	var parts []string
	for e := range logEventCount {
		if omitted := l.omitted[e].Swap(0); omitted > 0 {
			n += omitted
			parts = append(parts, fmt.Sprintf("%v:%d", e, omitted))
		}
	}
	return n, strings.Join(parts, " ")
}
