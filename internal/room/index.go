// What the gate needs of the published lists.

package room

import (
	"slices"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/rejection"
	"github.com/fireflypin/fireflypin/model"
)

// index holds the routes and targets of one set of lists. It is immutable.
type index struct {
	routes map[flow.PackedAddrPort]*route
	// placeOf holds the service and the zone of each target.
	placeOf  map[model.TargetID]place
	services map[string]*service
}

// route is the state of one route. Its service's lock guards sizes and times.
type route struct {
	// level is the importance of the route within its service, 0 for the highest.
	level int
	sizes rejection.Sizes
	times times
}

type place struct {
	service *service
	zone    model.Zone
}

// gated reports whether a route's requests may be held back: its callers have a time within which they want their
// response.
func gated(r *model.Route) bool {
	return r.LatencyGoal > 0
}

// newIndex returns the index of a snapshot; previous provides the services that it keeps.
func newIndex(s *model.Snapshot, previous *index, own model.Zone, daemons int) *index {
	x := &index{
		routes:   make(map[flow.PackedAddrPort]*route, len(s.Routes)),
		placeOf:  make(map[model.TargetID]place),
		services: make(map[string]*service),
	}
	for _, svc := range s.Services {
		x.addService(svc, previous, own, daemons)
	}
	priorities := make(map[string][]uint32)
	for _, r := range s.Routes {
		for _, share := range r.Shares {
			priorities[share.Service.Name] = append(priorities[share.Service.Name], r.Priority)
		}
	}
	for name, p := range priorities {
		slices.Sort(p)
		priorities[name] = slices.Compact(p)
	}
	for _, r := range s.Routes {
		if len(r.Shares) == 0 {
			continue
		}
		level := slices.Index(priorities[r.Shares[0].Service.Name], r.Priority)
		x.addRoute(flow.PackAddrPort(r.Address), lo.Clamp(level, 0, levels-1), previous)
	}
	return x
}

func (x *index) addService(svc *model.Service, previous *index, own model.Zone, daemons int) {
	var s *service
	if previous != nil {
		s = previous.services[svc.Name]
	}
	if s == nil {
		s = newService(svc.Name)
	}
	x.services[svc.Name] = s
	for _, t := range svc.Targets {
		x.placeOf[t.ID] = place{service: s, zone: t.Zone}
	}
	s.setTargets(svc.Targets, own, daemons)
}

func (x *index) addRoute(address flow.PackedAddrPort, level int, previous *index) {
	if previous != nil {
		if r := previous.routes[address]; r != nil && r.level == level {
			x.routes[address] = r
			return
		}
	}
	x.routes[address] = &route{level: level}
}

// level returns the importance of a route within its service; that of a route that was just removed is the least.
func (x *index) level(r *model.Route) int {
	if known := x.routes[flow.PackAddrPort(r.Address)]; known != nil {
		return known.level
	}
	return levels - 1
}
