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

// Question names a flow.
type Question struct {
	Caller netip.Addr
	// Port is the caller's port; 0 asks for all ports together.
	Port        uint16
	Destination netip.AddrPort
}

// Answer says how a flow is treated.
type Answer struct {
	Revisions model.Revisions `json:"revisions"`
	Customer  string          `json:"customer"`
	Plan      string          `json:"plan"`
	Service   string          `json:"service"`
	Allowed   bool            `json:"allowed"`
	// Reason and Meaning say why a flow is refused.
	Reason  string `json:"reason,omitempty"`
	Meaning string `json:"meaning,omitempty"`
	// NewFlowsPerSecond and OpenFlows are the plan's limits; 0 for none.
	NewFlowsPerSecond uint32 `json:"new_flows_per_second"`
	OpenFlows         uint32 `json:"open_flows"`
	// Port is the caller's port of the question.
	Port uint16 `json:"port"`
	// Targets are in the order in which they are tried, or by share for a question without a port.
	Targets []Target `json:"targets"`
}

// Target is a candidate of a flow.
type Target struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Data    netip.AddrPort `json:"data"`
	Leaving bool           `json:"leaving"`
	// Share is the share of the caller's ports whose new flows try it first, for a question without a port.
	Share float64 `json:"share,omitempty"`
}

// samplePorts is the number of the caller's ports that shares are computed from.
const samplePorts = 2048

// firstSamplePort is the lowest of them.
const firstSamplePort = 32768

// Flow answers a question from a set of lists.
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

func hash(q Question, port uint16) model.FlowHash {
	return packet.FlowKey{Caller: netip.AddrPortFrom(q.Caller, port), Service: q.Destination}.Hash()
}

func describe(t *model.Target) Target {
	return Target{Name: t.Name, Zone: t.Zone.String(), Data: t.Data, Leaving: t.Leaving}
}

// inOrder lists the targets of one flow in the order in which a new one tries them: leaving ones last,
// since they keep only the flows that they have.
func inOrder(table *placement.ServiceTable, q Question) []Target {
	order := newFlowOrder(table, hash(q, q.Port))
	targets := make([]Target, 0, len(order))
	for _, t := range order {
		targets = append(targets, describe(t))
	}
	return targets
}

// newFlowOrder returns the targets of a flow with the leaving ones moved to the end.
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

// byShare lists all targets, the one that most new flows try first at the front.
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
