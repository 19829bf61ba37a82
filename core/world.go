package core

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// keptGenerations is how many generations of default targets a daemon can resolve.
const keptGenerations = 16

// world is everything that packets are decided on and that changes rarely. It is immutable.
type world struct {
	snapshot *model.Snapshot
	admitter Admitter
	// routes holds the newest generation first.
	routes  []*route
	targets map[model.TargetID]*model.Target
	byData  map[netip.AddrPort]*model.Target
	view    *membership.View
	// hidden is nil while every zone is reachable.
	hidden *hidden
	zones  zoneOrder
}

// route resolves the default targets of one generation.
type route struct {
	snapshot *model.Snapshot
	table    *placement.Table
}

func newRoute(s *model.Snapshot) *route {
	return &route{snapshot: s, table: placement.NewTable(s)}
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
	return w.routes[0]
}

// routeOf returns the route of a generation, or nil where the daemon does not hold its lists.
func (w *world) routeOf(g model.Generation) *route {
	for _, r := range w.routes {
		if r.table.Generation() == g {
			return r
		}
	}
	return nil
}

// withLists returns a world in which a snapshot is the newest. Targets of kept generations stay
// known, since open flows may still lead to them.
func (w *world) withLists(s *model.Snapshot, a Admitter) *world {
	next := *w
	next.snapshot = s
	next.admitter = a
	next.zones = newZoneOrder(s.Entries)
	if len(w.routes) == 0 || w.newest().table.Generation() != s.Generation() {
		next.routes = append([]*route{newRoute(s)}, w.routes[:min(len(w.routes), keptGenerations-1)]...)
	}
	next.indexTargets()
	return &next
}

func (w *world) indexTargets() {
	w.targets = make(map[model.TargetID]*model.Target)
	w.byData = make(map[netip.AddrPort]*model.Target)
	for i := len(w.routes) - 1; i >= 0; i-- {
		for _, svc := range w.routes[i].snapshot.Services {
			for _, t := range svc.Targets {
				w.targets[t.ID] = t
				w.byData[t.Data] = t
			}
		}
	}
}

// withView returns a world with another view of the members.
func (w *world) withView(now time.Time, v *membership.View) *world {
	next := *w
	next.view = v
	next.hidden = newHidden(now, v, w.hidden)
	return &next
}

// owner returns the daemon that owns a flow, or nil where none is live and ready.
func (w *world) owner(h model.FlowHash) *model.EntryVM {
	var buf [maxZones]model.Zone
	return w.view.Owner(h, w.zones.of(h, buf[:0]))
}

// owners appends the daemons that would own a flow one after the other.
func (w *world) owners(h model.FlowHash, buf []*model.EntryVM) []*model.EntryVM {
	var zones [maxZones]model.Zone
	return w.view.Owners(h, w.zones.of(h, zones[:0]), buf)
}
