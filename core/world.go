package core

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
)

const (
	// keptRoutes is the maximum number of retained routes, that is, of distinct sets of default targets that
	// a daemon can resolve.
	keptRoutes = 16
	// keptGenerations is the maximum number of retained generations; many share a route.
	keptGenerations = 256
	// keptViews is the number of past membership views in which a flow's previous owner is looked up.
	keptViews = 16
	// momentOfOwnership is how long a daemon has to own flows until it has received packets of most of the
	// active ones.
	momentOfOwnership = 10 * time.Second
)

// world is the state that decisions about packets depend on and that changes rarely. It is immutable.
type world struct {
	snapshot *model.Snapshot
	admitter Admitter
	// generations holds the retained generations, newest first.
	generations []generation
	targets     map[model.TargetID]*model.Target
	byData      map[netip.AddrPort]*model.Target
	// servedAt lists the services that have an address in any retained generation.
	servedAt map[netip.AddrPort][]string
	view     *membership.View
	// viewSince is when the view took effect.
	viewSince time.Time
	// past holds the previous views, newest first.
	past []pastView
	// hidden is nil while every zone is reachable.
	hidden *hidden
	zones  zoneOrder
}

// withLists returns a world with a snapshot as its newest lists. Targets of retained generations stay known,
// since open flows may still use them.
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

// pastView is a membership view and the time during which it was in effect.
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

// owner returns the daemon that owns a flow, or nil if no daemon is live and ready.
func (w *world) owner(h model.FlowHash) *model.EntryVM {
	var buf [maxZones]model.Zone
	return w.view.Owner(h, w.zones.of(h, buf[:0]))
}

// formerly returns the last daemon other than self that owned a flow in the past views, or 0. A daemon that
// owned it for less than momentOfOwnership has hardly received packets of the flow and is returned only if
// there is no other. Daemons with the last rank are skipped.
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

// runs reports whether the given incarnation of a daemon is reachable.
func (w *world) runs(p flow.Peer) bool {
	m, ok := w.view.Member(p.ID)
	return ok && m.Here && m.Incarnation == p.Incarnation
}

// owners appends the owners of a flow in the order in which they would take it over.
func (w *world) owners(h model.FlowHash, buf []*model.EntryVM) []*model.EntryVM {
	var zones [maxZones]model.Zone
	return w.view.Owners(h, w.zones.of(h, zones[:0]), buf)
}
