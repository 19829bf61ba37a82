package edge

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/model"
)

const (
	// probeTimeout is how long a target has to take a connection: many times the way to another zone and back.
	probeTimeout = 130 * time.Millisecond
	// probeTries connections are tried one after the other's start, so that one lost packet tells nothing.
	probeTries = 2
	// probeSpacing is the time between their starts.
	probeSpacing = 20 * time.Millisecond
	// probeEvery is the least time between two probes of one target.
	probeEvery = 400 * time.Millisecond
	// maxProbes bounds the targets that are probed at once; others that are suspected meanwhile are left out.
	maxProbes = 32
)

// suspect is a target that is to be probed.
type suspect struct {
	target *model.Target
	// told is true where another daemon did not find it.
	told bool
}

// probes are the targets whose flows miss answers, here or at other daemons.
type probes struct {
	suspects chan suspect
}

func newProbes() *probes {
	return &probes{suspects: make(chan suspect, maxProbes)}
}

// add asks for a probe of a target whose flows miss answers here; it does not block.
func (p *probes) add(t *model.Target) {
	p.put(suspect{target: t})
}

func (p *probes) put(s suspect) {
	select {
	case p.suspects <- s:
	default:
		// The next miss asks again.
	}
}

// probeSuspects tries connections to suspected targets until ctx ends.
func (d *Daemon) probeSuspects(ctx context.Context) error {
	var running errgroup.Group
	running.SetLimit(maxProbes)
	next := make(map[model.TargetID]time.Time)
	for {
		select {
		case <-ctx.Done():
			return running.Wait()
		case s := <-d.probes.suspects:
			now := time.Now()
			if now.Before(next[s.target.ID]) {
				continue
			}
			next[s.target.ID] = now.Add(probeEvery)
			running.Go(func() error {
				d.probe(ctx, s)
				return nil
			})
		}
	}
}

// probe looks for a target, hands in whether it is there, and tells the zone where it is not.
func (d *Daemon) probe(ctx context.Context, s suspect) {
	start := time.Now()
	t := s.target
	connected := d.present(ctx, t)
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	d.metrics.probes.Inc(1)
	d.log.Info("target probed", "op", "targets", "event", "probed", "target", t.Name, "address", t.Data,
		"connected", connected, "told", s.told, "took_ms", now.Sub(start).Milliseconds())
	switch {
	case s.told && !connected:
		d.engine.NotFound(now, t.ID)
	case !s.told:
		d.engine.Probed(now, t.ID, connected)
	}
	if !s.told && !connected {
		d.send(ctx, func(now time.Time) []news.Action { return d.control.news.TellAbsent(now, t.Name) })
	}
}

// present reports whether one of a few tries finds the target.
func (d *Daemon) present(ctx context.Context, t *model.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan bool, probeTries)
	for i := range probeTries {
		go func() {
			select {
			case <-ctx.Done():
				results <- false
			case <-time.After(time.Duration(i) * probeSpacing):
				results <- d.prober.Present(ctx, t)
			}
		}()
	}
	for range probeTries {
		if <-results {
			return true
		}
	}
	return false
}
