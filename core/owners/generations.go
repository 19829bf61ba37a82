package owners

import (
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// generation is one set of revisions and the resolver of its default targets.
type generation struct {
	id       model.Generation
	resolver *resolver
}

// resolver resolves the default targets of all generations with the same services and targets.
type resolver struct {
	fingerprint uint64
	snapshot    *model.Snapshot
	table       *placement.Table
}

func newResolver(s *model.Snapshot) *resolver {
	return &resolver{fingerprint: fingerprintOf(s), snapshot: s, table: placement.NewTable(s)}
}

// fingerprintOf hashes everything that default targets and placement policies depend on.
func fingerprintOf(s *model.Snapshot) uint64 {
	d := xxhash.New()
	for _, svc := range s.Services {
		fmt.Fprintln(d, "service", svc.Name, svc.Addresses, svc.Return, svc.Margin, svc.Ramp, svc.Regions)
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
func (r *resolver) service(dst netip.AddrPort) (*model.Service, *placement.ServiceTable) {
	svc := r.snapshot.ServiceAt(dst)
	if svc == nil {
		return nil, nil
	}
	return svc, r.table.Service(svc)
}

// defaultTarget returns the default target of a flow, or nil.
func (r *resolver) defaultTarget(dst netip.AddrPort, h model.FlowHash) *model.Target {
	_, st := r.service(dst)
	if st == nil {
		return nil
	}
	return st.Default(h)
}

// newestResolver returns the resolver of the current lists.
func (rs *routingState) newestResolver() *resolver {
	return rs.generations[0].resolver
}

// resolverOf returns the resolver of a generation, or nil if this daemon does not hold its lists.
func (rs *routingState) resolverOf(g model.Generation) *resolver {
	for _, kept := range rs.generations {
		if kept.id == g {
			return kept.resolver
		}
	}
	return nil
}

// resolvers returns the distinct retained resolvers, newest first.
func (rs *routingState) resolvers() []*resolver {
	all := lo.Map(rs.generations, func(g generation, _ int) *resolver { return g.resolver })
	return lo.Uniq(all)
}

// withGeneration returns the retained generations with that of a snapshot in front. If a retained resolver has
// the snapshot's fingerprint, it is reused.
func (rs *routingState) withGeneration(s *model.Snapshot) []generation {
	fingerprint := fingerprintOf(s)
	r, found := lo.Find(rs.resolvers(), func(r *resolver) bool { return r.fingerprint == fingerprint })
	if !found {
		r = newResolver(s)
	}
	kept := append([]generation{{id: s.Generation(), resolver: r}}, rs.generations...)
	kept = kept[:min(len(kept), maxGenerations)]
	resolvers := make(map[*resolver]bool)
	for i, g := range kept {
		resolvers[g.resolver] = true
		if len(resolvers) > maxResolvers {
			return kept[:i]
		}
	}
	return kept
}
