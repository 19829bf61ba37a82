package edge

import (
	"context"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

const (
	// probeTimeout is how long a target has to accept a connection. Packets may be queued for nearly as long at a
	// full link that is otherwise healthy.
	probeTimeout = 500 * time.Millisecond
	// probeAttempts is the number of connection attempts per probe. At a loss of 0.2 %, one probe in fifteen million
	// loses a packet of every attempt.
	probeAttempts = 3
	// reportedProbeAttempts is the number of attempts for a target that another daemon has already reported as not
	// found.
	reportedProbeAttempts = 2
	// attemptInterval is the time between the starts of two attempts if the earlier one has no result by then. Most
	// targets have responded by then, so that one connection is enough. The last attempt may take what is left of
	// probeTimeout.
	attemptInterval = 40 * time.Millisecond
)

// probeResult is the result of a probe.
type probeResult uint8

const (
	// targetUnknown means that neither the target nor another one responded.
	targetUnknown probeResult = iota
	targetFound
	// targetAbsent means that the target did not respond while another one did, targetReplaced that something else
	// responded at its address.
	targetAbsent
	targetReplaced
)

// probeTarget probes a target. A missed response counts only if another target of the daemon's zone responds. Load
// pattern: a small VM whose link is full, as when other daemons start and fetch all items from it, or that gets no
// CPU time.
func (d *Daemon) probeTarget(ctx context.Context, t *model.Target, attempts int) probeResult {
	own := make(chan attemptResult, 1)
	go func() { own <- d.connect(ctx, t, attempts) }()
	select {
	case a := <-own:
		return a.probeResult(func() bool { return d.otherResponds(ctx, t) })
	case <-time.After(attemptInterval):
	}
	other := make(chan bool, 1)
	go func() { other <- d.otherResponds(ctx, t) }()
	return (<-own).probeResult(func() bool { return <-other })
}

// attemptResult is the result of the connection attempts to one target.
type attemptResult struct {
	found bool
	// refused is true if every attempt was refused before the timeout.
	refused bool
}

// probeResult returns the result of the probe. otherResponds reports whether another target responds. It is called only
// if the result depends on it.
func (a attemptResult) probeResult(otherResponds func() bool) probeResult {
	switch {
	case a.found:
		return targetFound
	case a.refused:
		return targetReplaced
	case otherResponds():
		return targetAbsent
	}
	return targetUnknown
}

// otherResponds reports whether a target of the daemon's zone other than t responds; it probes the one that responded
// last.
func (d *Daemon) otherResponds(ctx context.Context, t *model.Target) bool {
	id, ok := d.engine.Loads().LastAnsweredTarget(d.settings.Zone, t.ID)
	if !ok {
		return false
	}
	other := d.engine.Target(id)
	return other != nil && d.connect(ctx, other, probeAttempts).found
}

// attempt makes one connection attempt. A panic counts as a missed response.
func (d *Daemon) attempt(ctx context.Context, t *model.Target) (found bool) {
	if err := d.guard.Contain("probe", nil, func() { found = d.prober.Present(ctx, t) }); err != nil {
		<-ctx.Done()
		return false
	}
	return found
}

// connect makes up to attempts connection attempts. The next attempt starts when the previous one has failed, or after
// attemptInterval while the previous one may still succeed.
func (d *Daemon) connect(ctx context.Context, t *model.Target, attempts int) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan bool, attempts)
	failed := 0
	for i := range attempts {
		go func() { results <- d.attempt(ctx, t) }()
		if i == attempts-1 {
			break
		}
		select {
		case found := <-results:
			if found {
				return attemptResult{found: true}
			}
			failed++
		case <-time.After(attemptInterval):
		}
	}
	for ; failed < attempts; failed++ {
		if <-results {
			return attemptResult{found: true}
		}
	}
	return attemptResult{refused: ctx.Err() == nil}
}
