package speed

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/core/tags"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/rejection"
	"github.com/fireflypin/fireflypin/model"
)

const (
	// routeWeight and targetWeight are the weights of one response in the moving means of a route and of a target.
	routeWeight  = 0.02
	targetWeight = 0.2
	// minResponses is the number of responses from which a target has an estimate.
	minResponses = 4
	// maxAge is the time since a target's last response after which its estimate ends: a target that was slow gets flows
	// again then, and shows whether it still is.
	maxAge = 2 * time.Second
	// minSlowness is the least ratio that counts, since requests differ in their work; maxSlowness bounds it, so that a slow
	// target keeps some flows.
	minSlowness = 1.7
	maxSlowness = 8
)

// Estimator is notified of the responses of a daemon's flows. It is safe for concurrent use.
//
// Load pattern: some targets of a service turn several times slower than the others, while they still answer.
type Estimator struct {
	mu      sync.Mutex
	places  map[model.TargetID]instance
	routes  map[routeZone]*responses
	targets map[model.TargetID]*estimate
	// slow holds the targets that are slower than the others.
	slow atomic.Pointer[map[model.TargetID]float64]
}

// place is a target's service and zone, within which targets are compared: at equal distance, with equal work.
type place struct {
	service string
	zone    model.Zone
}

// instance is one start of a target.
type instance struct {
	place
	startedAt time.Time
	// warmUntil is when it has finished warming up; its responses do not count before.
	warmUntil time.Time
}

// routeZone names the responses of a route's requests from the targets of a zone.
type routeZone struct {
	address flow.PackedAddrPort
	zone    model.Zone
}

// mean is a moving mean of response times in nanoseconds.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(x, weight float64) {
	m.n++
	m.value += (x - m.value) * max(weight, 1/float64(m.n))
}

// responses are the moving means of a route's responses.
type responses struct {
	mean
	sizes rejection.Sizes
}

// estimate is the moving mean of a target's response times, relative to the mean of the route and zone.
type estimate struct {
	mean
	last time.Time
}

// NewEstimator returns an estimator without estimates.
func NewEstimator() *Estimator {
	e := &Estimator{places: make(map[model.TargetID]instance), routes: make(map[routeZone]*responses), targets: make(map[model.TargetID]*estimate)}
	e.slow.Store(&map[model.TargetID]float64{})
	return e
}

// SetLists replaces the published targets and routes. What is known of others, or of an earlier instance of a target, is
// forgotten.
func (e *Estimator) SetLists(s *model.Snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	places := make(map[model.TargetID]instance)
	for _, svc := range s.Services {
		for _, t := range svc.Targets {
			places[t.ID] = instance{place: place{service: svc.Name, zone: t.Zone}, startedAt: t.StartedAt, warmUntil: t.WarmUntil}
		}
	}
	for id := range e.targets {
		if p, known := places[id]; !known || !p.startedAt.Equal(e.places[id].startedAt) {
			delete(e.targets, id)
		}
	}
	e.places = places
	routes := make(map[flow.PackedAddrPort]bool, len(s.Routes))
	for _, r := range s.Routes {
		routes[flow.PackAddrPort(r.Address)] = true
	}
	for key := range e.routes {
		if !routes[key.address] {
			delete(e.routes, key)
		}
	}
}

// Slowness returns how many times longer a target takes than the others of its zone, 1 unless it is much slower.
func (e *Estimator) Slowness(id model.TargetID) float64 {
	if s, slow := (*e.slow.Load())[id]; slow {
		return s
	}
	return 1
}

// ResponseBegan implements tags.Observer.
func (e *Estimator) ResponseBegan(now time.Time, f tags.FlowEvent, after time.Duration, bytes uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, known := e.places[f.Target]
	if !known || after <= 0 || now.Before(p.warmUntil) {
		return
	}
	r := e.responsesOf(routeZone{address: f.Address, zone: p.zone})
	if r.sizes.IsRejection(bytes) {
		return
	}
	r.sizes.Add(bytes)
	r.add(float64(after), routeWeight)
	t := e.targets[f.Target]
	if t == nil || now.Sub(t.last) > maxAge {
		t = &estimate{}
		e.targets[f.Target] = t
	}
	t.add(float64(after)/r.value, targetWeight)
	t.last = now
}

func (e *Estimator) responsesOf(key routeZone) *responses {
	r := e.routes[key]
	if r == nil {
		r = &responses{}
		e.routes[key] = r
	}
	return r
}

// RequestSent implements tags.Observer.
func (e *Estimator) RequestSent(time.Time, tags.FlowEvent) {}

// FlowEnded implements tags.Observer.
func (e *Estimator) FlowEnded(time.Time, tags.FlowEvent, tags.FlowEnd) {}

// Change reports that a target has become slow, or that it no longer is.
type Change struct {
	Target  model.TargetID
	Service string
	Slow    bool
	// Slowness is how many times longer it takes than the others of its zone; 0 if it is no longer slow.
	Slowness float64
}

// Tick compares the targets of each zone with their median, and returns what has changed since the last call.
func (e *Estimator) Tick(now time.Time) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	values := make(map[place][]float64)
	for id, t := range e.targets {
		if t.usable(now) {
			p := e.places[id].place
			values[p] = append(values[p], t.value)
		}
	}
	slow := make(map[model.TargetID]float64)
	for id, t := range e.targets {
		if !t.usable(now) {
			continue
		}
		if s := t.value / lowerMedian(values[e.places[id].place]); s >= minSlowness {
			slow[id] = min(s, maxSlowness)
		}
	}
	return e.changes(*e.slow.Swap(&slow), slow)
}

// usable reports whether the estimate is of enough and of recent responses.
func (t *estimate) usable(now time.Time) bool {
	return t.n >= minResponses && now.Sub(t.last) <= maxAge
}

// changes returns the differences between two sets of slow targets.
func (e *Estimator) changes(before, after map[model.TargetID]float64) []Change {
	var out []Change
	for id, s := range after {
		if before[id] == 0 {
			out = append(out, Change{Target: id, Service: e.places[id].service, Slow: true, Slowness: s})
		}
	}
	for id := range before {
		if after[id] == 0 {
			out = append(out, Change{Target: id, Service: e.places[id].service})
		}
	}
	return out
}

// Len returns the number of targets that count as slow.
func (e *Estimator) Len() int {
	return len(*e.slow.Load())
}

// lowerMedian returns the median of values, the lower one of two; values must not be empty.
func lowerMedian(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
