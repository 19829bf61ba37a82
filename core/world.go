package core

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
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

// generation is one set of revisions and the route that it uses.
type generation struct {
	id    model.Generation
	route *route
}

// route resolves the default targets of all generations that agree on services and targets.
type route struct {
	fingerprint uint64
	snapshot    *model.Snapshot
	table       *placement.Table
}

func newRoute(s *model.Snapshot) *route {
	return &route{fingerprint: fingerprintOf(s), snapshot: s, table: placement.NewTable(s)}
}

// fingerprintOf hashes all that default targets and policies depend on.
func fingerprintOf(s *model.Snapshot) uint64 {
	d := xxhash.New()
	for _, svc := range s.Services {
		fmt.Fprintln(d, "service", svc.Name, svc.Addresses, svc.Return, svc.Margin, svc.Ramp)
		for _, t := range svc.Targets {
			fmt.Fprintln(d, *t)
		}
	}
	for _, e := range s.Entries {
		// Zones with entry VMs alone belong to the tables too.
		fmt.Fprintln(d, e.Zone)
	}
	return d.Sum64()
}

// service returns the service and its table at a destination; both nil where there is none.
func (r *route) service(dst netip.AddrPort) (*model.Service, *placement.ServiceTable) {
	svc := r.snapshot.ServiceAt(dst)
	if svc == nil {
		return nil, nil
	}
	return svc, r.table.Service(svc)
}

// defaultTarget returns the default target of a flow, or nil.
func (r *route) defaultTarget(dst netip.AddrPort, h model.FlowHash) *model.Target {
	_, st := r.service(dst)
	if st == nil {
		return nil
	}
	return st.Default(h)
}

// newest returns the route of the lists in force.
func (w *world) newest() *route {
	return w.generations[0].route
}

// routeOf returns the route of a generation, or nil where the daemon does not hold its lists.
func (w *world) routeOf(g model.Generation) *route {
	for _, kept := range w.generations {
		if kept.id == g {
			return kept.route
		}
	}
	return nil
}

// routes returns the different routes that are kept, newest first.
func (w *world) routes() []*route {
	all := lo.Map(w.generations, func(g generation, _ int) *route { return g.route })
	return lo.Uniq(all)
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

// withGeneration returns the kept generations with a snapshot's in front. A route that agrees with the
// snapshot is used again.
func (w *world) withGeneration(s *model.Snapshot) []generation {
	fingerprint := fingerprintOf(s)
	r, found := lo.Find(w.routes(), func(r *route) bool { return r.fingerprint == fingerprint })
	if !found {
		r = newRoute(s)
	}
	kept := append([]generation{{id: s.Generation(), route: r}}, w.generations...)
	kept = kept[:min(len(kept), keptGenerations)]
	routes := make(map[*route]bool)
	for i, g := range kept {
		routes[g.route] = true
		if len(routes) > keptRoutes {
			return kept[:i]
		}
	}
	return kept
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
