package core

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
)

const (
	// keptRoutes is how many different sets of default targets a daemon can resolve.
	keptRoutes = 16
	// keptGenerations is how many generations a daemon can resolve; many share a route.
	keptGenerations = 256
	// keptViews is how many views of the members back a flow's former owner is looked for.
	keptViews = 16
	// momentOfOwnership is how long a daemon owns flows before most of those that are active have met it.
	momentOfOwnership = 10 * time.Second
)

// world is everything that packets are decided on and that changes rarely. It is immutable.
type world struct {
	snapshot *model.Snapshot
	admitter Admitter
	// generations holds the newest first.
	generations []generation
	targets     map[model.TargetID]*model.Target
	byData      map[netip.AddrPort]*model.Target
	// servedAt names the services that had an address in any kept generation.
	servedAt map[netip.AddrPort][]string
	view     *membership.View
	// viewSince is when the view came into force.
	viewSince time.Time
	// past holds the views before, newest first.
	past []pastView
	// hidden is nil while every zone is reachable.
	hidden *hidden
	zones  zoneOrder
}

// withLists returns a world in which a snapshot is the newest. Targets of kept generations stay
// known, since open flows may still lead to them.
func (w *world) withLists(s *model.Snapshot, a Admitter) *world {
	next := *w
	next.snapshot = s
	next.admitter = a
	next.zones = newZoneOrder(s.Entries)
	if len(w.generations) == 0 || w.generations[0].id != s.Generation() {
		next.generations = w.withGeneration(s)
	}
	next.indexTargets()
	return &next
}

func (w *world) indexTargets() {
	w.targets = make(map[model.TargetID]*model.Target)
	w.byData = make(map[netip.AddrPort]*model.Target)
	w.servedAt = make(map[netip.AddrPort][]string)
	routes := w.routes()
	for i := len(routes) - 1; i >= 0; i-- {
		w.indexTargetsOf(routes[i].snapshot)
	}
	w.indexTargetsOf(w.snapshot)
}

func (w *world) indexTargetsOf(s *model.Snapshot) {
	for _, svc := range s.Services {
		for _, a := range svc.Addresses {
			w.servedAt[a] = append(w.servedAt[a], svc.Name)
		}
		for _, t := range svc.Targets {
			w.targets[t.ID] = t
			w.byData[t.Data] = t
		}
	}
}

// pastView is a view of the members and the time in which it was in force.
type pastView struct {
	view        *membership.View
	from, until time.Time
}

// withView returns a world with another view of the members.
func (w *world) withView(now time.Time, mark flow.Mark, v *membership.View) *world {
	next := *w
	next.view = v
	next.viewSince = now
	next.past = append([]pastView{{view: w.view, from: w.viewSince, until: now}}, w.past[:min(len(w.past), keptViews-1)]...)
	next.hidden = newHidden(mark, v, w.hidden)
	return &next
}

// owner returns the daemon that owns a flow, or nil where none is live and ready.
func (w *world) owner(h model.FlowHash) *model.EntryVM {
	var buf [maxZones]model.Zone
	return w.view.Owner(h, w.zones.of(h, buf[:0]))
}

// formerly returns the last other daemon that owned a flow in the past views, or 0. One that owned it only
// for a moment has hardly met the flow and counts where there is no other. Daemons with the last rank are
// passed over.
func (w *world) formerly(h model.FlowHash, self model.MachineID, rank flow.Rank) model.MachineID {
	var buf [maxZones]model.Zone
	zones := w.zones.of(h, buf[:0])
	var last, current model.MachineID
	var until time.Time
	for _, p := range w.past {
		o := p.view.Owner(h, zones)
		if o == nil || o.ID == self || rank(o.ID) == lastRank {
			current = 0
			continue
		}
		if o.ID != current {
			current, until = o.ID, p.until
		}
		if last == 0 {
			last = current
		}
		if until.Sub(p.from) >= momentOfOwnership {
			return current
		}
	}
	return last
}

// runs reports whether one run of a daemon is here.
func (w *world) runs(p flow.Peer) bool {
	m, ok := w.view.Member(p.ID)
	return ok && m.Here && m.Incarnation == p.Incarnation
}

// owners appends the daemons that would own a flow one after the other.
func (w *world) owners(h model.FlowHash, buf []*model.EntryVM) []*model.EntryVM {
	var zones [maxZones]model.Zone
	return w.view.Owners(h, w.zones.of(h, zones[:0]), buf)
}
