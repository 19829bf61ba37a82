// Changes that are sent again, since a datagram may be lost.

package news

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// repeatCount is how often changes are sent again, each repeatDelay after the last time: well before the next heartbeat
	// of most daemons shows what a lost datagram kept from them.
	repeatCount = 2
	repeatDelay = 200 * time.Millisecond
	// maxRepeatedItems bounds the changes of a moment that are sent again: when many targets register at once, the reader's
	// link is what limits, and what is lost is repaired after heartbeats.
	maxRepeatedItems = 4
)

// repeat is a datagram that is to be sent again.
type repeat struct {
	at   time.Time
	send Send
}

// scheduleRepeats lets a datagram with a few changes be sent again. Withheld values are not announced again, as each
// announcement makes daemons fetch them.
//
// Load pattern: links lose single packets, while a change has to be in force at all daemons of a large fleet.
func (e *Engine) scheduleRepeats(now time.Time, s Send) {
	if len(s.Datagram.Items) > maxRepeatedItems || lo.SomeBy(s.Datagram.Items, func(it Item) bool { return it.Withheld }) {
		return
	}
	for i := range repeatCount {
		e.repeats = append(e.repeats, repeat{at: now.Add(time.Duration(i+1) * repeatDelay), send: s})
	}
}

// stepRepeats returns the datagrams that are due to be sent again.
func (e *Engine) stepRepeats(now time.Time) []Action {
	var out []Action
	e.repeats = slices.DeleteFunc(e.repeats, func(r repeat) bool {
		due := !now.Before(r.at)
		if due {
			out = append(out, r.send)
		}
		return due
	})
	return out
}
