package edge

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

const (
	// probeEvery is the minimum time between two probes of one target because of missed responses to flows here.
	probeEvery = 400 * time.Millisecond
	// probeToldEvery is the minimum time between two probes of one target if the second follows a report of another
	// daemon, and between two reports of it to others: about the time after which a failed target's registration
	// ends.
	probeToldEvery = 4 * time.Second
	// maxProbes bounds the concurrent probes, maxWaiting the queued ones. Further suspects are dropped.
	maxProbes  = 32
	maxWaiting = 256
	// massDeaths targets that this daemon's own probes find absent within massTime indicate that more failed with
	// them: a rack, or a group that is being replaced. The daemon then probes its other targets of that zone, at most
	// once per probeToldEvery.
	massDeaths = 3
	massTime   = time.Second
)

// suspicion is the reason for a probe.
type suspicion uint8

const (
	// suspectMissed: flows of this daemon missed responses of the target.
	suspectMissed suspicion = iota
	// suspectTold: another daemon did not find the target.
	suspectTold
	// suspectNear: other targets of the same zone failed.
	suspectNear
)

// String returns the reason's name in logs.
func (s suspicion) String() string {
	return [...]string{"missed", "told", "near"}[s]
}

// suspect is a target to be probed.
type suspect struct {
	target *model.Target
	why    suspicion
}

// probes holds the queue of targets to be probed, and limits reports to other daemons and probes of whole zones.
type probes struct {
	suspects chan suspect

	mu sync.Mutex
	// told holds when each target was last reported to other daemons.
	told map[model.TargetID]time.Time
	// deaths holds when this daemon's own probes last found targets absent; searchedAt is when it last probed other
	// targets of a zone for that reason.
	deaths     []time.Time
	searchedAt time.Time
}

func newProbes() *probes {
	return &probes{suspects: make(chan suspect, maxWaiting), told: make(map[model.TargetID]time.Time)}
}

// mayTell reports whether a target is to be reported to other daemons now, and records the report.
func (p *probes) mayTell(now time.Time, id model.TargetID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if before, told := p.told[id]; told && now.Sub(before) < probeToldEvery {
		return false
	}
	p.told[id] = now
	return true
}

// died records that a target was found absent, and reports whether the other targets of its zone are to be probed.
func (p *probes) died(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deaths = append(p.deaths, now)
	p.deaths = p.deaths[max(len(p.deaths)-massDeaths, 0):]
	if len(p.deaths) < massDeaths || now.Sub(p.deaths[0]) > massTime || now.Sub(p.searchedAt) < probeToldEvery {
		return false
	}
	p.searchedAt = now
	return true
}

// add requests a probe of a target that missed responses to flows here. It does not block.
func (p *probes) add(t *model.Target) {
	p.put(suspect{target: t})
}

func (p *probes) put(s suspect) {
	select {
	case p.suspects <- s:
	default:
		// The queue is full; the next missed response requests the probe again.
	}
}

// probeSuspects probes suspected targets until ctx ends.
func (d *Daemon) probeSuspects(ctx context.Context) error {
	var running errgroup.Group
	running.SetLimit(maxProbes)
	last := make(map[model.TargetID]time.Time)
	for {
		select {
		case <-ctx.Done():
			return running.Wait()
		case s := <-d.probes.suspects:
			now := time.Now()
			least := probeEvery
			if s.why == suspectTold {
				least = probeToldEvery
			}
			if before, probed := last[s.target.ID]; probed && now.Sub(before) < least {
				continue
			}
			last[s.target.ID] = now
			running.Go(func() error {
				_ = d.faults.Contain("probe", nil, func() { d.probe(ctx, s) }) // logged; the next miss requests a probe
				return nil
			})
		}
	}
}

// probe probes a suspected target and acts on the result.
func (d *Daemon) probe(ctx context.Context, s suspect) {
	s.target = d.latest(s.target)
	start := time.Now()
	tries := probeTries
	if s.why == suspectTold {
		tries = toldTries
	}
	found := d.look(ctx, s.target, tries)
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	d.metrics.probes.Inc(1)
	d.log.Info("target probed", "op", "targets", "event", "probed", "target", s.target.Name, "address", s.target.Data,
		"connected", found == targetFound, "refused", found == targetReplaced, "conclusive", found != targetUnknown, "why", s.why, "took_ms", now.Sub(start).Milliseconds())
	if found == targetUnknown || d.latest(s.target).Data != s.target.Data {
		return
	}
	d.handIn(start, s, found)
	if found != targetFound && s.why != suspectTold {
		d.tellAbsent(ctx, now, s)
	}
}

// latest returns a target as the lists in use have it: it may have restarted at another address since it was
// suspected.
func (d *Daemon) latest(t *model.Target) *model.Target {
	if known := d.engine.Target(t.ID); known != nil {
		return known
	}
	return t
}

// handIn passes the result of a probe that began at a time to the engine. Evidence of flows since then is newer.
func (d *Daemon) handIn(began time.Time, s suspect, found finding) {
	met := placement.FoundNothing
	switch found {
	case targetFound:
		met = placement.FoundTarget
	case targetReplaced:
		met = placement.FoundOther
	}
	if s.why == suspectMissed || met == placement.FoundTarget {
		d.engine.Probed(began, s.target.ID, met)
		return
	}
	d.engine.NotFound(began, s.target.ID, met)
}

// tellAbsent reports a target that was not found to the daemons of the zone, and probes more targets after several
// failures.
func (d *Daemon) tellAbsent(ctx context.Context, now time.Time, s suspect) {
	if d.probes.mayTell(now, s.target.ID) {
		d.send(ctx, func(now time.Time) []news.Action { return d.control.news.TellAbsent(now, s.target.Name) })
	}
	if s.why == suspectMissed && d.probes.died(now) {
		d.search(s.target)
	}
}

// search requests probes of the targets in a failed target's zone that have flows here. Load pattern: a rack fails
// with many targets, each with few flows; callers would run into one failed target after the other.
func (d *Daemon) search(dead *model.Target) {
	lists := d.engine.Lists()
	if lists == nil {
		return // without lists only open flows are forwarded
	}
	for _, svc := range lists.Services {
		for _, t := range svc.Targets {
			if t.Zone == dead.Zone && !t.Lapsed && t.ID != dead.ID && d.engine.Loads().Open(t.ID) > 0 {
				d.probes.put(suspect{target: t, why: suspectNear})
			}
		}
	}
}
