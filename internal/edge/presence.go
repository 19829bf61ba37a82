package edge

import (
	"context"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

const (
	// probeTimeout is how long a target has to take a connection. Packets may wait for nearly as long at a link that is full
	// and sound.
	probeTimeout = 500 * time.Millisecond
	// probeTries connections are tried one after the other: at a loss of 0.2 % both packets of each are lost once in
	// fifteen million probes.
	probeTries = 3
	// toldTries are enough where another daemon has tried in vain.
	toldTries = 2
	// probeSpacing is the time between their starts where the one before is not refused: most targets have answered by
	// then, and one connection does. The last has as long until the time is up.
	probeSpacing = 40 * time.Millisecond
)

// finding is what a probe tells of its target.
type finding uint8

const (
	// targetUnknown is a target that did not answer while nothing else did.
	targetUnknown finding = iota
	targetFound
	// targetAbsent did not answer while others did; in the place of targetReplaced something else answered.
	targetAbsent
	targetReplaced
)

// look looks for a target. Silence counts only while another target of the own zone answers: it answers the load
// pattern of a small VM whose link is full, as when other daemons that start fetch all items from it, or that does not
// get its turn.
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

// answer is what the tries for one target met.
type answer struct {
	found bool
	// refused is true where the target's machine answered for it each time.
	refused bool
}

// finding judges an answer; reached tells whether another target is there.
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

// reached reports whether the target of the own zone that answered last, other than t, is found.
func (d *Daemon) reached(ctx context.Context, t *model.Target) bool {
	id, ok := d.engine.Loads().LatestAnswer(d.settings.Zone, t.ID)
	if !ok {
		return false
	}
	other := d.engine.Target(id)
	return other != nil && d.present(ctx, other, probeTries).found
}

// try tries one connection to a target. One that ends in a panic tells no more than silence does.
func (d *Daemon) try(ctx context.Context, t *model.Target) (found bool) {
	if err := d.faults.Contain("probe", nil, func() { found = d.prober.Present(ctx, t) }); err != nil {
		<-ctx.Done()
		return false
	}
	return found
}

// present looks for a target with a few tries. The next try starts when the one before has failed, or while it may
// still be on its way.
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
