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
	// probeEvery is the least time between two probes of one target for flows that miss answers here.
	probeEvery = 400 * time.Millisecond
	// probeToldEvery is the least time from a probe of a target to one for the word of others, and between two words
	// of it to others: about the time in which a dead target's registration ends.
	probeToldEvery = 4 * time.Second
	// maxProbes bounds the targets that are probed at once, maxWaiting those that wait for it; others that are suspected
	// meanwhile are left out.
	maxProbes  = 32
	maxWaiting = 256
	// massDeaths targets that a daemon finds absent for itself within massTime are a sign that more died with them: a
	// rack, or a group that is replaced. Then it looks at its others of that zone, once in probeToldEvery.
	massDeaths = 3
	massTime   = time.Second
)

// suspicion is why a target is probed.
type suspicion uint8

const (
	// suspectMissed is a target that flows of this daemon miss answers of.
	suspectMissed suspicion = iota
	// suspectTold is one that another daemon did not find.
	suspectTold
	// suspectNear is one whose zone others died in.
	suspectNear
)

// String returns the suspicion's name in logs.
func (s suspicion) String() string {
	return [...]string{"missed", "told", "near"}[s]
}

// suspect is a target that is to be probed.
type suspect struct {
	target *model.Target
	why    suspicion
}

// probes are the targets whose flows miss answers, here or at other daemons.
type probes struct {
	suspects chan suspect

	mu sync.Mutex
	// told is when others were last told of a target.
	told map[model.TargetID]time.Time
	// deaths are when this daemon lately found targets absent for itself, searchedAt when it last looked for more.
	deaths     []time.Time
	searchedAt time.Time
}

func newProbes() *probes {
	return &probes{suspects: make(chan suspect, maxWaiting), told: make(map[model.TargetID]time.Time)}
}

// mayTell reports whether others are to be told of a target now, and notes that they are.
func (p *probes) mayTell(now time.Time, id model.TargetID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if before, told := p.told[id]; told && now.Sub(before) < probeToldEvery {
		return false
	}
	p.told[id] = now
	return true
}

// died notes that a target was found absent, and reports whether more of its zone are to be looked for.
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
				_ = d.faults.Contain("probe", nil, func() { d.probe(ctx, s) }) // noted there; the next miss asks again
				return nil
			})
		}
	}
}

// probe looks for a suspected target and acts on what it finds.
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

// latest returns a target as the lists in force have it: it may have started again at another address since it was suspected.
func (d *Daemon) latest(t *model.Target) *model.Target {
	if known := d.engine.Target(t.ID); known != nil {
		return known
	}
	return t
}

// handIn gives the engine what a probe found that began at a time. What flows tell meanwhile is newer.
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

// tellAbsent tells the zone of a target that was not found, and looks for more after several.
func (d *Daemon) tellAbsent(ctx context.Context, now time.Time, s suspect) {
	if d.probes.mayTell(now, s.target.ID) {
		d.send(ctx, func(now time.Time) []news.Action { return d.control.news.TellAbsent(now, s.target.Name) })
	}
	if s.why == suspectMissed && d.probes.died(now) {
		d.search(s.target)
	}
}

// search asks for probes of the targets of a dead one's zone that have flows here. It answers the load pattern of a rack
// that dies with many targets, of which each has few flows: callers would meet one dead target after the other.
func (d *Daemon) search(dead *model.Target) {
	lists := d.engine.Lists()
	if lists == nil {
		return // nothing but open flows is known yet
	}
	for _, svc := range lists.Services {
		for _, t := range svc.Targets {
			if t.Zone == dead.Zone && !t.Lapsed && t.ID != dead.ID && d.engine.Loads().Open(t.ID) > 0 {
				d.probes.put(suspect{target: t, why: suspectNear})
			}
		}
	}
}
