// Periodic work of the gate.

package room

import (
	"slices"
	"time"
)

// Change reports that a service has become short, so that new flows are kept back, or has room again.
type Change struct {
	Service string
	Short   bool
	// Zones are the zones whose targets are short; empty at the end.
	Zones []string
	// Slots is the number of slots of the service's targets that take new flows, InProgress the number of requests that
	// this daemon has in progress there.
	Slots      float64
	InProgress int
	// Rejected is the recent share of requests that targets rejected.
	Rejected float64
	// Lasted and Refused are the duration of a shortage that is over, and the flows that this daemon refused to the
	// service meanwhile.
	Lasted  time.Duration
	Refused int
}

// Tick ends shortages and returns what has changed since the last call.
func (g *Gate) Tick(now time.Time) []Change {
	x := g.index.Load()
	if x == nil {
		return nil
	}
	var out []Change
	for _, s := range x.services {
		if c, changed := s.tick(now); changed {
			out = append(out, c)
		}
	}
	return out
}

// tick ends the shortages that are over and returns the change of the service, if there is one.
func (s *service) tick(now time.Time) (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Change{Service: s.name}
	done, rejected, keptBack := 0.0, 0.0, false
	for z, w := range s.zones {
		w.tick(now)
		c.Slots += w.slots
		c.InProgress += w.inProgress(now, levels-1)
		done, rejected = done+w.done.value(now), rejected+w.rejected.value(now)
		if w.short {
			c.Zones = append(c.Zones, z.Name)
			keptBack = keptBack || w.keptBack
		}
	}
	slices.Sort(c.Zones)
	c.Rejected = rejected / max(done, 1)
	c.Short = keptBack || s.reported && len(c.Zones) > 0
	if c.Short == s.reported {
		return Change{}, false
	}
	if s.reported = c.Short; c.Short {
		s.shortSince, s.refusedBefore = now, s.refused
	} else {
		c.Lasted, c.Refused = now.Sub(s.shortSince), s.refused-s.refusedBefore
	}
	return c, true
}
