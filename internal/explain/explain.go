package explain

import (
	"net/netip"
	"slices"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/admission"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
	"github.com/fireflypin/fireflypin/placement"
)

// Query identifies a flow, or all flows from a caller address to a destination.
type Query struct {
	Caller netip.Addr
	// Port is the caller's port; 0 stands for all ports.
	Port        uint16
	Destination netip.AddrPort
}

// Result describes how a daemon handles a flow.
type Result struct {
	Revisions model.Revisions `json:"revisions"`
	Customer  string          `json:"customer"`
	Plan      string          `json:"plan"`
	Service   string          `json:"service"`
	Allowed   bool            `json:"allowed"`
	// Reason and Meaning are the name and the description of the error that a refused flow gets; empty for an
	// allowed flow.
	Reason  string `json:"reason,omitempty"`
	Meaning string `json:"meaning,omitempty"`
	// NewFlowsPerSecond and OpenFlows are the plan's limits; 0 is unlimited.
	NewFlowsPerSecond uint32 `json:"new_flows_per_second"`
	OpenFlows         uint32 `json:"open_flows"`
	// Port is the caller's port in the query; 0 for all ports.
	Port uint16 `json:"port"`
	// Targets are in the order in which a new flow tries them or, if Port is 0, by descending share.
	Targets []Target `json:"targets"`
}

// Target is a candidate target of a flow.
type Target struct {
	Name     string         `json:"name"`
	Zone     string         `json:"zone"`
	Data     netip.AddrPort `json:"data"`
	Draining bool           `json:"leaving"`
	// ZoneDraining is true if operators drain the target's zone.
	ZoneDraining bool `json:"zone_draining"`
	// Share is the fraction, from 0 to 1, of the caller's ports whose new flows try this target first. It is
	// set only if the query has no port.
	Share float64 `json:"share,omitempty"`
}

// samplePorts is the number of consecutive caller ports from which shares are computed.
const samplePorts = 2048

// firstSamplePort is the lowest sampled port.
const firstSamplePort = 32768

// Flow returns how a daemon with the lists of s handles the flow of a query.
func Flow(s *model.Snapshot, q Query) Result {
	res := Result{Revisions: s.Revisions, Port: q.Port, Targets: []Target{}}
	customer, service, kind := admission.NewTable(s).Admit(q.Caller, q.Destination)
	if customer != nil {
		res.Customer, res.Plan = customer.Name, customer.Plan.Name
		res.NewFlowsPerSecond, res.OpenFlows = customer.Plan.NewFlowsPerSecond, customer.Plan.OpenFlows
	}
	if service != nil {
		res.Service = service.Name
	}
	if kind != errkind.None {
		row := errkind.RowOf(kind)
		res.Reason, res.Meaning = row.Name, row.Meaning
		return res
	}
	res.Allowed = true
	table := placement.NewTable(s).Service(service)
	if len(table.Targets()) == 0 {
		return res
	}
	if q.Port == 0 {
		res.Targets = targetsByShare(table, q)
	} else {
		res.Targets = targetsByPreference(table, q)
	}
	return res
}

// flowHash returns the hash of the flow from a given port of the caller.
func flowHash(q Query, port uint16) model.FlowHash {
	return packet.FlowKey{Caller: netip.AddrPortFrom(q.Caller, port), Service: q.Destination}.Hash()
}

func newTarget(t *model.Target) Target {
	return Target{Name: t.Name, Zone: t.Zone.String(), Data: t.Data, Draining: t.Draining, ZoneDraining: t.ZoneDraining}
}

// targetsByPreference returns the targets in the order in which a new flow tries them. Draining targets come
// last because they keep their flows and take no new ones.
func targetsByPreference(table *placement.ServiceTable, q Query) []Target {
	order := newFlowOrder(table, flowHash(q, q.Port))
	targets := make([]Target, 0, len(order))
	for _, t := range order {
		targets = append(targets, newTarget(t))
	}
	return targets
}

// newFlowOrder returns the targets in the flow's order of preference, with draining ones moved to the end.
func newFlowOrder(table *placement.ServiceTable, h model.FlowHash) []*model.Target {
	order := table.Order(h, nil)
	slices.SortStableFunc(order, func(a, b *model.Target) int {
		switch {
		case a.TakesNewFlows() == b.TakesNewFlows():
			return 0
		case b.TakesNewFlows():
			return 1
		}
		return -1
	})
	return order
}

// targetsByShare returns all targets by descending share of new flows.
func targetsByShare(table *placement.ServiceTable, q Query) []Target {
	counts := make(map[*model.Target]int)
	for i := range samplePorts {
		first := newFlowOrder(table, flowHash(q, uint16(firstSamplePort+i)))[0]
		if first.TakesNewFlows() {
			counts[first]++
		}
	}
	sorted := slices.Clone(table.Targets())
	slices.SortStableFunc(sorted, func(a, b *model.Target) int { return counts[b] - counts[a] })
	targets := make([]Target, 0, len(sorted))
	for _, t := range sorted {
		target := newTarget(t)
		target.Share = float64(counts[t]) / samplePorts
		targets = append(targets, target)
	}
	return targets
}
