// What operators see of the gate.

package room

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Outcome is what became of a flow that asked for admission.
type Outcome uint8

// The outcomes.
const (
	// Admitted flows were placed, at once or after they had waited.
	Admitted Outcome = iota
	// Waited flows were told to wait first.
	Waited
	// RefusedAtOnce flows would have waited too long.
	RefusedAtOnce
	// RefusedAfterWait flows got no room while they waited.
	RefusedAfterWait
	outcomes
)

// String returns the outcome's name in metrics.
func (o Outcome) String() string {
	return [...]string{"admitted", "waited", "refused_at_once", "refused_after_wait"}[o]
}

// Count is the number of flows to a service with a level and an outcome, since the start.
type Count struct {
	Level   int
	Outcome Outcome
	Flows   int64
}

// ZoneState is the state of a service's targets in one zone.
type ZoneState struct {
	Zone  model.Zone
	Short bool
	// Slots is the number of slots of the targets that take new flows.
	Slots float64
	// Window is the number of requests that this daemon may have in progress there while they are short, and InProgress
	// those that it has.
	Window     float64
	InProgress int
}

// ServiceState is the state of one service.
type ServiceState struct {
	Name   string
	Zones  []ZoneState
	Counts []Count
}

// Services returns the state of all services, sorted by name.
func (g *Gate) Services(now time.Time) []ServiceState {
	x := g.index.Load()
	if x == nil {
		return nil
	}
	var out []ServiceState
	for _, s := range x.services {
		out = append(out, s.state(now))
	}
	slices.SortFunc(out, func(a, b ServiceState) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (s *service) state(now time.Time) ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := ServiceState{Name: s.name}
	for z, w := range s.zones {
		st.Zones = append(st.Zones, ZoneState{Zone: z, Short: w.short, Slots: w.slots, Window: w.sizes[levels-1], InProgress: w.inProgress(now, levels-1)})
	}
	for l := range levels {
		for o := range outcomes {
			if n := s.counts[l][o]; n > 0 {
				st.Counts = append(st.Counts, Count{Level: l, Outcome: o, Flows: n})
			}
		}
	}
	return st
}
