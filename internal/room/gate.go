// The gate: admission of new flows, and the events of flows that it learns from.

package room

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/core/tags"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// Gate decides on new flows. It is safe for concurrent use.
type Gate struct {
	zone    model.Zone
	index   atomic.Pointer[index]
	applyMu sync.Mutex
	// daemons is the number of live daemons of the zone, this one included.
	daemons atomic.Int64
}

// NewGate returns the gate of a daemon in a zone. Without lists it admits every flow.
func NewGate(zone model.Zone) *Gate {
	g := &Gate{zone: zone}
	g.daemons.Store(1)
	return g
}

// SetDaemons sets the number of live daemons of the zone, this one included.
func (g *Gate) SetDaemons(n int) {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	g.daemons.Store(int64(max(n, 1)))
	if x := g.index.Load(); x != nil {
		for _, s := range x.services {
			s.setDaemons(g.zone, n)
		}
	}
}

// ApplyLists replaces the published lists.
func (g *Gate) ApplyLists(s *model.Snapshot) {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	g.index.Store(newIndex(s, g.index.Load(), g.zone, int(g.daemons.Load())))
}

// Admit implements tags.Gate.
func (g *Gate) Admit(now time.Time, a *tags.Attempt) tags.Decision {
	s := g.serviceOf(a)
	if s == nil {
		return tags.Decision{}
	}
	return s.decide(now, g.index.Load().level(a.Route), a)
}

// serviceOf returns the state of an attempt's service; nil if its flows are always admitted.
func (g *Gate) serviceOf(a *tags.Attempt) *service {
	x := g.index.Load()
	if x == nil || a.Service == nil || !gated(a.Route) {
		return nil
	}
	return x.services[a.Service.Name]
}

// GiveUp implements tags.Gate.
func (g *Gate) GiveUp(_ time.Time, a *tags.Attempt) {
	s := g.serviceOf(a)
	if s == nil {
		return
	}
	level := g.index.Load().level(a.Route)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = max(s.waiting-1, 0)
	s.refused++
	s.counts[level][RefusedAfterWait]++
}

// NoneWaits tells the gate that no attempt waits. Some end without an answer of the gate, for example after a pause of
// the daemon, and would else count as waiting for good.
func (g *Gate) NoneWaits() {
	x := g.index.Load()
	if x == nil {
		return
	}
	for _, s := range x.services {
		s.mu.Lock()
		s.waiting = 0
		s.mu.Unlock()
	}
}

// Placed implements tags.Gate.
func (g *Gate) Placed(now time.Time, id model.TargetID, address flow.PackedAddrPort) {
	g.update(id, address, func(w *window, r *route) { w.opening.add(now, r.level) })
}

// RequestSent implements tags.Observer.
func (g *Gate) RequestSent(now time.Time, f tags.FlowEvent) {
	g.update(f.Target, f.Address, func(w *window, r *route) {
		if f.Opened && f.Requests == 1 {
			w.opening.remove(now, now.Add(-f.Age), r.level)
		}
		w.running.add(now, r.level)
	})
}

// ResponseBegan implements tags.Observer.
func (g *Gate) ResponseBegan(now time.Time, f tags.FlowEvent, after time.Duration, bytes uint32) {
	g.update(f.Target, f.Address, func(w *window, r *route) {
		w.running.remove(now, now.Add(-after), r.level)
		if r.sizes.IsRejection(bytes) {
			w.reject(now, r.level)
			return
		}
		r.sizes.Add(bytes)
		w.served(now, r.times.isQuick(after))
		if !w.short {
			r.times.add(after)
		}
	})
}

// FlowEnded implements tags.Observer.
func (g *Gate) FlowEnded(now time.Time, f tags.FlowEvent, end tags.FlowEnd) {
	g.update(f.Target, f.Address, func(w *window, r *route) {
		switch {
		case f.Requests == 0 && f.Opened:
			w.opening.remove(now, now.Add(-f.Age), r.level)
		case end.Pending:
			w.running.remove(now, now.Add(-end.SinceRequest), r.level)
		}
	})
}

// update calls f with the window of a target, under its service's lock.
func (g *Gate) update(id model.TargetID, address flow.PackedAddrPort, f func(w *window, r *route)) {
	x := g.index.Load()
	if x == nil {
		return
	}
	p, known := x.placeOf[id]
	r := x.routes[address]
	if !known || r == nil {
		return
	}
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	f(p.service.window(p.zone), r)
}
