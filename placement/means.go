package placement

import "time"

// means holds a service's mean loads over the targets that take new flows.
type means struct {
	// own is the mean of the owner's open flows per unit of weight. fleet is the same mean of all owners' open
	// flows, over the targets with a load report.
	own, fleet float64
	// handshake is the mean handshake time of the targets for which it is known.
	handshake time.Duration
}

// means computes the means from the observations of the service's targets at now.
func (st *ServiceTable) means(now time.Time, l Loads) means {
	var own, fleet, weight, fleetWeight float64
	var handshake time.Duration
	handshakes := 0
	for i, t := range st.targets {
		if !t.TakesNewFlows() {
			continue
		}
		o := l.Observe(now, t.ID)
		if o.Down {
			continue
		}
		w := float64(st.candidates[i].weight)
		own += float64(o.Open)
		weight += w
		if o.FleetKnown {
			fleet += float64(o.FleetOpen)
			fleetWeight += w
		}
		if o.Handshake > 0 {
			handshake += o.Handshake
			handshakes++
		}
	}
	return means{
		own:       own / max(weight, 1),
		fleet:     fleet / max(fleetWeight, 1),
		handshake: handshake / time.Duration(max(handshakes, 1)),
	}
}
