package placement

import (
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/model"
)

// Table is the placement table of one Generation. It is immutable and safe for concurrent use.
type Table struct {
	generation model.Generation
	services   map[string]*ServiceTable
	// regional holds the tables of the routes with regions.
	regional map[regionalKey]*ServiceTable
}

// regionalKey identifies a service as a route with regions uses it.
type regionalKey struct {
	route   *model.Route
	service *model.Service
}

// NewTable returns the table of a Snapshot. It includes zones that have only entry VMs, so that a flow whose home
// zone has failed still gets an owner.
func NewTable(s *model.Snapshot) *Table {
	zones := entryZones(s.Entries)
	t := &Table{
		generation: s.Generation(),
		services:   make(map[string]*ServiceTable, len(s.Services)),
	}
	for _, svc := range s.Services {
		t.services[svc.Name] = newServiceTable(svc, zones)
	}
	t.addRegional(s.Routes, zones)
	return t
}

// addRegional adds the tables of the routes with regions. Routes with the same regions share them.
func (t *Table) addRegional(routes []*model.Route, zones []model.Zone) {
	shared := make(map[string]*ServiceTable)
	for _, r := range routes {
		if len(r.Regions) == 0 {
			continue
		}
		if t.regional == nil {
			t.regional = make(map[regionalKey]*ServiceTable)
		}
		for _, share := range r.Shares {
			key := share.Service.Name + "\x00" + strings.Join(slices.Sorted(slices.Values(r.Regions)), "\x00")
			if shared[key] == nil {
				shared[key] = newServiceTable(withinRegions(share.Service, r), zones)
			}
			t.regional[regionalKey{route: r, service: share.Service}] = shared[key]
		}
	}
}

// withinRegions returns a service with only the targets that may serve a route.
func withinRegions(s *model.Service, r *model.Route) *model.Service {
	within := *s
	within.Targets = lo.Filter(s.Targets, func(t *model.Target, _ int) bool { return r.InRegions(t.Zone) })
	return &within
}

// Generation returns the revisions that the table was derived from.
func (t *Table) Generation() model.Generation {
	return t.generation
}

// Service returns the table of the service with the name of s, or nil when the generation has none.
func (t *Table) Service(s *model.Service) *ServiceTable {
	if s == nil {
		return nil
	}
	return t.services[s.Name]
}

// ServiceOf returns the table of the service that takes a new flow of a route, with only the targets in the route's
// regions. The route must be one of the Snapshot that the table was derived from. It is nil if the generation has no such
// service.
func (t *Table) ServiceOf(r *model.Route, h model.FlowHash) *ServiceTable {
	s := r.ServiceOf(h)
	if len(r.Regions) == 0 {
		return t.Service(s)
	}
	return t.regional[regionalKey{route: r, service: s}]
}

// Services calls visit for the table of each service, in no particular order.
func (t *Table) Services(visit func(st *ServiceTable)) {
	for _, st := range t.services {
		visit(st)
	}
}
