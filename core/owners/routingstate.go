package owners

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
)

const (
	// maxResolvers is the maximum number of retained resolvers, that is, of distinct sets of default targets
	// that a daemon can resolve.
	maxResolvers = 16
	// maxGenerations is the maximum number of retained generations; many share a resolver.
	maxGenerations = 256
	// maxPastViews is the number of past membership views in which a flow's previous owner is looked up.
	maxPastViews = 16
	// minOwnershipTime is how long a daemon has to own flows until it has received packets of most of the
	// active ones.
	minOwnershipTime = 10 * time.Second
)

// routingState is the state that decisions about packets depend on and that changes rarely. It is immutable.
type routingState struct {
	snapshot *model.Snapshot
	admitter core.Admitter
	// generations holds the retained generations, newest first.
	generations   []generation
	targets       map[model.TargetID]*model.Target
	targetsByAddr map[netip.AddrPort]*model.Target
	// servicesByAddr lists the services that have an address in any retained generation.
	servicesByAddr map[netip.AddrPort][]string
	view           *membership.View
	// viewSince is when the view took effect.
	viewSince time.Time
	// pastViews holds the previous views, newest first.
	pastViews []pastView
	// unreachablePeers is nil while every zone is reachable.
	unreachablePeers *unreachablePeers
	zones            zoneOrder
}

// withLists returns a routingState with a snapshot as its newest lists. Targets of retained generations stay
// known, since open flows may still use them.
func (rs *routingState) withLists(s *model.Snapshot, a core.Admitter) *routingState {
	next := *rs
	next.snapshot = s
	next.admitter = a
	next.zones = newZoneOrder(s.Entries)
	if len(rs.generations) == 0 || rs.generations[0].id != s.Generation() {
		next.generations = rs.withGeneration(s)
	}
	next.indexTargets()
	return &next
}

func (rs *routingState) indexTargets() {
	rs.targets = make(map[model.TargetID]*model.Target)
	rs.targetsByAddr = make(map[netip.AddrPort]*model.Target)
	rs.servicesByAddr = make(map[netip.AddrPort][]string)
	resolvers := rs.resolvers()
	for i := len(resolvers) - 1; i >= 0; i-- {
		rs.indexTargetsOf(resolvers[i].snapshot)
	}
	rs.indexTargetsOf(rs.snapshot)
}

func (rs *routingState) indexTargetsOf(s *model.Snapshot) {
	for _, svc := range s.Services {
		for _, a := range svc.Addresses {
			rs.servicesByAddr[a] = append(rs.servicesByAddr[a], svc.Name)
		}
		for _, t := range svc.Targets {
			rs.targets[t.ID] = t
			rs.targetsByAddr[t.Data] = t
		}
	}
}

// pastView is a membership view and the time during which it was in effect.
type pastView struct {
	view        *membership.View
	unreachable *unreachablePeers
	from, until time.Time
}

// withView returns a routingState with another view of the members.
func (rs *routingState) withView(now time.Time, mark flow.Mark, v *membership.View) *routingState {
	next := *rs
	next.view = v
	next.viewSince = now
	next.pastViews = append([]pastView{{view: rs.view, unreachable: rs.unreachablePeers, from: rs.viewSince, until: now}}, rs.pastViews[:min(len(rs.pastViews), maxPastViews-1)]...)
	next.unreachablePeers = newUnreachablePeers(mark, v, rs.unreachablePeers)
	return &next
}

// owner returns the daemon that owns a flow, or nil if no daemon is live and ready.
func (rs *routingState) owner(h model.FlowHash) *model.EntryVM {
	var buf [maxZones]model.Zone
	return rs.view.Owner(h, rs.zones.forFlow(h, buf[:0]))
}

// lastOtherOwner returns the last daemon other than self that owned a flow in the past views, or 0. A daemon
// that owned it for less than minOwnershipTime has hardly received packets of the flow and is returned only
// if there is no other. Daemons with the last rank are skipped. With beyond, the owner beyond a partition counts
// where self owned the flow on its own side.
func (rs *routingState) lastOtherOwner(h model.FlowHash, self model.MachineID, rank flow.Rank, beyond bool) model.MachineID {
	var buf [maxZones]model.Zone
	zones := rs.zones.forFlow(h, buf[:0])
	var last, current model.MachineID
	var until time.Time
	for _, p := range rs.pastViews {
		o := p.view.Owner(h, zones)
		if beyond && o != nil && o.ID == self {
			o = rs.rejoinedOwner(h, p, rank)
		}
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
		if until.Sub(p.from) >= minOwnershipTime {
			return current
		}
	}
	return last
}

// rejoinedOwner returns the first in a flow's owner order among the daemons that were unreachable in a past
// view and are owners now; or nil. If one of them has the last rank, their side does not know the flow, and
// there is none.
func (rs *routingState) rejoinedOwner(h model.FlowHash, p pastView, rank flow.Rank) *model.EntryVM {
	if p.unreachable == nil {
		return nil
	}
	var first *model.EntryVM
	before := lastRank
	for _, u := range p.unreachable.entries {
		m, ok := rs.view.Member(u.ID)
		if !ok || !m.Owner {
			continue
		}
		r := rank(u.ID)
		if r == lastRank {
			return nil
		}
		if r < before {
			first, before = m.Entry, r
		}
	}
	return first
}

// isReachable reports whether the given incarnation of a daemon is reachable.
func (rs *routingState) isReachable(p flow.Peer) bool {
	m, ok := rs.view.Member(p.ID)
	return ok && m.Reachable && m.Incarnation == p.Incarnation
}

// owners appends the owners of a flow in the order in which they would take it over.
func (rs *routingState) owners(h model.FlowHash, buf []*model.EntryVM) []*model.EntryVM {
	var zones [maxZones]model.Zone
	return rs.view.Owners(h, rs.zones.forFlow(h, zones[:0]), buf)
}
