package edge

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/model"
)

const (
	// probeTimeout is how long a target has to take a connection: many times the way to another zone and back.
	probeTimeout = 130 * time.Millisecond
	// probeTries connections are tried one after the other, so that one lost packet tells nothing.
	probeTries = 2
	// toldTries are enough where another daemon has tried in vain.
	toldTries = 1
	// probeSpacing is the time between their starts where the first is not refused: most targets have answered by then,
	// and one connection does.
	probeSpacing = 60 * time.Millisecond
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
	// rack, or a group that is replaced. Then it looks for the others of the zone, once in probeToldEvery.
	massDeaths = 3
	massTime   = time.Second
)

// suspect is a target that is to be probed.
type suspect struct {
	target *model.Target
	// told is true where another daemon did not find it, searched where others of its zone died.
	told, searched bool
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
			if s.told {
				least = probeToldEvery
			}
			if before, probed := last[s.target.ID]; probed && now.Sub(before) < least {
				continue
			}
			last[s.target.ID] = now
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
	tries := probeTries
	if s.told {
		tries = toldTries
	}
	found := d.look(ctx, t, tries)
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	connected, conclusive := found == targetFound, found != targetUnknown
	d.metrics.probes.Inc(1)
	d.log.Info("target probed", "op", "targets", "event", "probed", "target", t.Name, "address", t.Data,
		"connected", connected, "conclusive", conclusive, "told", s.told, "searched", s.searched, "took_ms", now.Sub(start).Milliseconds())
	switch {
	case !conclusive:
		return
	case (s.told || s.searched) && !connected:
		d.engine.NotFound(now, t.ID)
	case !s.told && !s.searched:
		d.engine.Probed(now, t.ID, connected)
	}
	if s.told || connected {
		return
	}
	if d.probes.mayTell(now, t.ID) {
		d.send(ctx, func(now time.Time) []news.Action { return d.control.news.TellAbsent(now, t.Name) })
	}
	if !s.searched && d.probes.died(now) {
		d.search(t)
	}
}

// search asks for probes of the targets of a dead one's zone that have flows here. It answers the load pattern of a rack
// that dies with many targets, of which each has few flows: callers would meet one dead target after the other.
func (d *Daemon) search(dead *model.Target) {
	for _, svc := range d.engine.Lists().Services {
		for _, t := range svc.Targets {
			if t.Zone == dead.Zone && !t.Lapsed && t.ID != dead.ID && d.engine.Loads().Open(t.ID) > 0 {
				d.probes.put(suspect{target: t, searched: true})
			}
		}
	}
}

// finding is what a probe tells of its target.
type finding uint8

const (
	// targetUnknown is a target that did not answer while nothing else did.
	targetUnknown finding = iota
	targetFound
	targetAbsent
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
	case a.refused || reached():
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

// present looks for a target with a few tries. The next try starts when the one before has failed, or while it may
// still be on its way.
func (d *Daemon) present(ctx context.Context, t *model.Target, tries int) answer {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan bool, tries)
	failed := 0
	for i := range tries {
		go func() { results <- d.prober.Present(ctx, t) }()
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
