package edge

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fireflypin/fireflypin/model"
)

const (
	// probeTimeout is how long a target has to take a connection: many times the way to another zone and back.
	probeTimeout = 130 * time.Millisecond
	// probeTries connections are tried one after the other's start, so that one lost packet tells nothing.
	probeTries = 2
	// probeSpacing is the time between their starts.
	probeSpacing = 20 * time.Millisecond
	// maxProbes bounds the targets that are probed at once; others that are suspected meanwhile are left out.
	maxProbes = 8
)

// probes are the targets whose flows miss answers.
type probes struct {
	suspects chan *model.Target
}

func newProbes() *probes {
	return &probes{suspects: make(chan *model.Target, maxProbes)}
}

// add asks for a probe; it does not block.
func (p *probes) add(t *model.Target) {
	select {
	case p.suspects <- t:
	default:
		// The next miss asks again.
	}
}

// probeSuspects tries connections to suspected targets until ctx ends.
func (d *Daemon) probeSuspects(ctx context.Context) error {
	var running errgroup.Group
	running.SetLimit(maxProbes)
	underWay := make(map[model.TargetID]time.Time)
	for {
		select {
		case <-ctx.Done():
			return running.Wait()
		case t := <-d.probes.suspects:
			now := time.Now()
			if now.Before(underWay[t.ID]) {
				continue
			}
			underWay[t.ID] = now.Add(probeTimeout + probeTries*probeSpacing)
			running.Go(func() error {
				d.probe(ctx, t)
				return nil
			})
		}
	}
}

// probe tries connections to a target and hands in whether one came about.
func (d *Daemon) probe(ctx context.Context, t *model.Target) {
	start := time.Now()
	connected := d.present(ctx, t)
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	d.engine.Probed(now, t.ID, connected)
	d.metrics.probes.Inc(1)
	d.log.Info("target probed", "op", "targets", "event", "probed", "target", t.Name, "address", t.Data,
		"connected", connected, "took_ms", now.Sub(start).Milliseconds())
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
