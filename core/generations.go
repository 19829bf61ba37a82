package core

import (
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// generation is one set of revisions and the route that it uses.
type generation struct {
	id    model.Generation
	route *route
}

// route resolves the default targets of all generations with the same services and targets.
type route struct {
	fingerprint uint64
	snapshot    *model.Snapshot
	table       *placement.Table
}

func newRoute(s *model.Snapshot) *route {
	return &route{fingerprint: fingerprintOf(s), snapshot: s, table: placement.NewTable(s)}
}

// fingerprintOf hashes everything that default targets and placement policies depend on.
func fingerprintOf(s *model.Snapshot) uint64 {
	d := xxhash.New()
	for _, svc := range s.Services {
		fmt.Fprintln(d, "service", svc.Name, svc.Addresses, svc.Return, svc.Margin, svc.Ramp)
		for _, t := range svc.Targets {
			fmt.Fprintln(d, *t)
		}
	}
	for _, e := range s.Entries {
		// The tables also depend on zones that have entry VMs but no targets.
		fmt.Fprintln(d, e.Zone)
	}
	return d.Sum64()
}

// service returns the service at a destination and its table; both are nil if there is none.
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

// newest returns the route of the current lists.
func (rs *routingState) newest() *route {
	return rs.generations[0].route
}

// routeOf returns the route of a generation, or nil if this daemon does not hold its lists.
func (rs *routingState) routeOf(g model.Generation) *route {
	for _, kept := range rs.generations {
		if kept.id == g {
			return kept.route
		}
	}
	return nil
}

// routes returns the distinct retained routes, newest first.
func (rs *routingState) routes() []*route {
	all := lo.Map(rs.generations, func(g generation, _ int) *route { return g.route })
	return lo.Uniq(all)
}

// withGeneration returns the retained generations with that of a snapshot in front. If a retained route has
// the snapshot's fingerprint, it is reused.
func (rs *routingState) withGeneration(s *model.Snapshot) []generation {
	fingerprint := fingerprintOf(s)
	r, found := lo.Find(rs.routes(), func(r *route) bool { return r.fingerprint == fingerprint })
	if !found {
		r = newRoute(s)
	}
	kept := append([]generation{{id: s.Generation(), route: r}}, rs.generations...)
	kept = kept[:min(len(kept), maxGenerations)]
	routes := make(map[*route]bool)
	for i, g := range kept {
		routes[g.route] = true
		if len(routes) > maxRoutes {
			return kept[:i]
		}
	}
	return kept
}
