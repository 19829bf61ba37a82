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

// Question identifies a flow, or all flows from a caller address to a destination.
type Question struct {
	Caller netip.Addr
	// Port is the caller's port; 0 stands for all ports.
	Port        uint16
	Destination netip.AddrPort
}

// Answer describes how a daemon handles a flow.
type Answer struct {
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
	// Port is the caller's port in the question; 0 for all ports.
	Port uint16 `json:"port"`
	// Targets are in the order in which a new flow tries them or, if Port is 0, by descending share.
	Targets []Target `json:"targets"`
}

// Target is a candidate target of a flow.
type Target struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Data    netip.AddrPort `json:"data"`
	Leaving bool           `json:"leaving"`
	// Share is the fraction, from 0 to 1, of the caller's ports whose new flows try this target first. It is
	// set only if the question has no port.
	Share float64 `json:"share,omitempty"`
}

// samplePorts is the number of consecutive caller ports from which shares are computed.
const samplePorts = 2048

// firstSamplePort is the lowest sampled port.
const firstSamplePort = 32768

// Flow returns how a daemon with the lists of s handles the flow of a question.
func Flow(s *model.Snapshot, q Question) Answer {
	a := Answer{Revisions: s.Revisions, Port: q.Port, Targets: []Target{}}
	customer, service, kind := admission.NewTable(s).Admit(q.Caller, q.Destination)
	if customer != nil {
		a.Customer, a.Plan = customer.Name, customer.Plan.Name
		a.NewFlowsPerSecond, a.OpenFlows = customer.Plan.NewFlowsPerSecond, customer.Plan.OpenFlows
	}
	if service != nil {
		a.Service = service.Name
	}
	if kind != errkind.None {
		row := errkind.RowOf(kind)
		a.Reason, a.Meaning = row.Name, row.Meaning
		return a
	}
	a.Allowed = true
	if len(service.Targets) == 0 {
		return a
	}
	table := placement.NewTable(s).Service(service)
	if q.Port == 0 {
		a.Targets = byShare(table, q)
	} else {
		a.Targets = inOrder(table, q)
	}
	return a
}

// hash returns the hash of the flow from a given port of the caller.
func hash(q Question, port uint16) model.FlowHash {
	return packet.FlowKey{Caller: netip.AddrPortFrom(q.Caller, port), Service: q.Destination}.Hash()
}

func describe(t *model.Target) Target {
	return Target{Name: t.Name, Zone: t.Zone.String(), Data: t.Data, Leaving: t.Leaving}
}

// inOrder returns the targets in the order in which a new flow tries them. Draining targets come last
// because they keep their flows and take no new ones.
func inOrder(table *placement.ServiceTable, q Question) []Target {
	order := newFlowOrder(table, hash(q, q.Port))
	targets := make([]Target, 0, len(order))
	for _, t := range order {
		targets = append(targets, describe(t))
	}
	return targets
}

// newFlowOrder returns the targets in the flow's order of preference, with draining ones moved to the end.
func newFlowOrder(table *placement.ServiceTable, h model.FlowHash) []*model.Target {
	order := table.Order(h, nil)
	slices.SortStableFunc(order, func(a, b *model.Target) int {
		switch {
		case a.Leaving == b.Leaving:
			return 0
		case a.Leaving:
			return 1
		}
		return -1
	})
	return order
}

// byShare returns all targets by descending share of new flows.
func byShare(table *placement.ServiceTable, q Question) []Target {
	counts := make(map[*model.Target]int)
	for i := range samplePorts {
		first := newFlowOrder(table, hash(q, uint16(firstSamplePort+i)))[0]
		if !first.Leaving {
			counts[first]++
		}
	}
	all := slices.Clone(table.Service().Targets)
	slices.SortStableFunc(all, func(a, b *model.Target) int { return counts[b] - counts[a] })
	targets := make([]Target, 0, len(all))
	for _, t := range all {
		target := describe(t)
		target.Share = float64(counts[t]) / samplePorts
		targets = append(targets, target)
	}
	return targets
}
