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
	// probeTries is the number of connection attempts per probe. At a loss of 0.2 %, one probe in fifteen million
	// loses a packet of every attempt.
	probeTries = 3
	// toldTries is the number of attempts for a target that another daemon already did not find.
	toldTries = 2
	// probeSpacing is the time between the starts of two attempts if the earlier one is not refused. Most targets
	// have responded by then, so that one connection is enough. The last attempt may take what is left of
	// probeTimeout.
	probeSpacing = 40 * time.Millisecond
)

// finding is the result of a probe.
type finding uint8

const (
	// targetUnknown means that neither the target nor another one responded.
	targetUnknown finding = iota
	targetFound
	// targetAbsent means that the target did not respond while another one did, targetReplaced that something else
	// responded at its address.
	targetAbsent
	targetReplaced
)

// look probes a target. A missing response counts only if another target of the daemon's zone responds. Load pattern:
// a small VM whose link is full, as when other daemons start and fetch all items from it, or that gets no CPU time.
func (d *Daemon) look(ctx context.Context, t *model.Target, tries int) finding {
	own := make(chan answer, 1)
	go func() { own <- d.present(ctx, t, tries) }()
	select {
	case a := <-own:
		return a.finding(func() bool { return d.reached(ctx, t) })
	case <-time.After(probeSpacing):
	}
	other := make(chan bool, 1)
	go func() { other <- d.reached(ctx, t) }()
	return (<-own).finding(func() bool { return <-other })
}

// answer is the result of the connection attempts to one target.
type answer struct {
	found bool
	// refused is true if every attempt was refused before the timeout.
	refused bool
}

// finding classifies an answer. reached reports whether another target responds.
func (a answer) finding(reached func() bool) finding {
	switch {
	case a.found:
		return targetFound
	case a.refused:
		return targetReplaced
	case reached():
		return targetAbsent
	}
	return targetUnknown
}

// reached reports whether a target of the daemon's zone other than t responds; it probes the one that responded last.
func (d *Daemon) reached(ctx context.Context, t *model.Target) bool {
	id, ok := d.engine.Loads().LatestAnswer(d.settings.Zone, t.ID)
	if !ok {
		return false
	}
	other := d.engine.Target(id)
	return other != nil && d.present(ctx, other, probeTries).found
}

// try makes one connection attempt. A panic counts as a missing response.
func (d *Daemon) try(ctx context.Context, t *model.Target) (found bool) {
	if err := d.faults.Contain("probe", nil, func() { found = d.prober.Present(ctx, t) }); err != nil {
		<-ctx.Done()
		return false
	}
	return found
}

// present makes up to tries connection attempts. The next attempt starts when the previous one has failed, or after
// probeSpacing while the previous one may still succeed.
func (d *Daemon) present(ctx context.Context, t *model.Target, tries int) answer {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan bool, tries)
	failed := 0
	for i := range tries {
		go func() { results <- d.try(ctx, t) }()
		if i == tries-1 {
			break
		}
		select {
		case found := <-results:
			if found {
				return answer{found: true}
			}
			failed++
		case <-time.After(probeSpacing):
		}
	}
	for ; failed < tries; failed++ {
		if <-results {
			return answer{found: true}
		}
	}
	return answer{refused: ctx.Err() == nil}
}
