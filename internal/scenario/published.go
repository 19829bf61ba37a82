package scenario

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/fireflypin/fireflypin/internal/standin"
)

// EntryPlan is the name, location and addresses of one daemon.
type EntryPlan struct {
	Name, Region, Zone    string
	Data, Peer, Bulk, Ops netip.AddrPort
}

// TargetPlan is the name, location and addresses of one target.
type TargetPlan struct {
	Name, Service, Zone string
	Data, Report        netip.AddrPort
	service             *Service
}

// vmState is the state of a VM in the published machines list.
type vmState string

const (
	vmLive     vmState = "live"
	vmDraining vmState = "leaving"
)

// PublishedLists holds the content of the three published lists and produces new revisions of them.
type PublishedLists struct {
	scenario      *Scenario
	entries       []EntryPlan
	targets       []TargetPlan
	draining      map[string]bool
	drainDeadline map[string]time.Time
	unregistered  map[string]bool
	revision      map[standin.ListName]uint64
}

func newPublishedLists(s *Scenario, entries []EntryPlan, targets []TargetPlan) *PublishedLists {
	return &PublishedLists{
		scenario:      s,
		entries:       entries,
		targets:       targets,
		draining:      make(map[string]bool),
		drainDeadline: make(map[string]time.Time),
		unregistered:  make(map[string]bool),
		revision:      make(map[standin.ListName]uint64),
	}
}

type customersDoc struct {
	Kind      string        `yaml:"kind"`
	Revision  uint64        `yaml:"revision"`
	Customers []customerRow `yaml:"customers"`
}

type customerRow struct {
	Name     string   `yaml:"name"`
	Plan     string   `yaml:"plan"`
	Prefixes []string `yaml:"prefixes"`
}

type plansDoc struct {
	Kind     string       `yaml:"kind"`
	Revision uint64       `yaml:"revision"`
	Services []serviceRow `yaml:"services"`
	Plans    []planRow    `yaml:"plans"`
}

type serviceRow struct {
	Name      string   `yaml:"name"`
	Addresses []string `yaml:"addresses"`
	Return    string   `yaml:"return"`
	Margin    *float64 `yaml:"margin,omitempty"`
	Ramp      string   `yaml:"ramp,omitempty"`
}

type planRow struct {
	Name              string   `yaml:"name"`
	Services          []string `yaml:"services"`
	NewFlowsPerSecond int      `yaml:"new_flows_per_second,omitempty"`
	OpenFlows         int      `yaml:"open_flows,omitempty"`
}

type machinesDoc struct {
	Kind      string        `yaml:"kind"`
	Revision  uint64        `yaml:"revision"`
	Entries   []entryRow    `yaml:"entries"`
	Endpoints []endpointRow `yaml:"endpoints"`
}

type entryRow struct {
	Name   string  `yaml:"name"`
	Region string  `yaml:"region"`
	Zone   string  `yaml:"zone"`
	Data   string  `yaml:"data"`
	Peer   string  `yaml:"peer"`
	Bulk   string  `yaml:"bulk"`
	Ops    string  `yaml:"ops"`
	State  vmState `yaml:"state"`
}

type endpointRow struct {
	Name    string      `yaml:"name"`
	Region  string      `yaml:"region"`
	Zone    string      `yaml:"zone"`
	State   vmState     `yaml:"state"`
	LeaveBy string      `yaml:"leave_by,omitempty"`
	Targets []targetRow `yaml:"targets"`
}

type targetRow struct {
	Name           string `yaml:"name"`
	Service        string `yaml:"service"`
	Data           string `yaml:"data"`
	Report         string `yaml:"report"`
	Weight         int    `yaml:"weight"`
	MaxConnections int    `yaml:"max_connections,omitempty"`
	Slots          int    `yaml:"slots,omitempty"`
}

// Document increments the revision of a list and returns the new revision with its YAML text.
func (p *PublishedLists) Document(name standin.ListName) (uint64, []byte, error) {
	p.revision[name]++
	rev := p.revision[name]
	data, err := yaml.Marshal(p.document(name, rev))
	if err != nil {
		return 0, nil, fmt.Errorf("write list %s: %w", name, err)
	}
	return rev, data, nil
}

func (p *PublishedLists) document(name standin.ListName, rev uint64) any {
	switch name {
	case standin.ListCustomers:
		return p.customers(rev)
	case standin.ListPlans:
		return p.plans(rev)
	default:
		return p.machines(rev)
	}
}

func (p *PublishedLists) customers(rev uint64) customersDoc {
	doc := customersDoc{Kind: "customers", Revision: rev}
	for _, c := range p.scenario.Customers {
		doc.Customers = append(doc.Customers, customerRow{Name: c.Name, Plan: c.Plan, Prefixes: []string{c.Prefix}})
	}
	return doc
}

func (p *PublishedLists) plans(rev uint64) plansDoc {
	doc := plansDoc{Kind: "plans", Revision: rev}
	for _, s := range p.scenario.Services {
		row := serviceRow{Name: s.Name, Addresses: s.Addresses, Return: s.Return, Margin: s.Margin}
		if s.Ramp > 0 {
			row.Ramp = s.Ramp.String()
		}
		doc.Services = append(doc.Services, row)
	}
	for _, pl := range p.scenario.Plans {
		doc.Plans = append(doc.Plans, planRow(pl))
	}
	return doc
}

func (p *PublishedLists) machines(rev uint64) machinesDoc {
	doc := machinesDoc{Kind: "machines", Revision: rev}
	for _, e := range p.entries {
		if p.unregistered[e.Name] {
			continue
		}
		doc.Entries = append(doc.Entries, entryRow{
			Name: e.Name, Region: e.Region, Zone: e.Zone, State: p.state(e.Name),
			Data: e.Data.String(), Peer: e.Peer.String(), Bulk: e.Bulk.String(), Ops: e.Ops.String(),
		})
	}
	for _, t := range p.targets {
		if !p.unregistered[t.Name] {
			doc.Endpoints = append(doc.Endpoints, p.endpoint(t))
		}
	}
	return doc
}

func (p *PublishedLists) endpoint(t TargetPlan) endpointRow {
	row := endpointRow{
		Name: "vm-" + t.Name, Region: p.scenario.Region, Zone: t.Zone, State: p.state(t.Name),
		Targets: []targetRow{{
			Name: t.Name, Service: t.Service, Data: t.Data.String(), Report: t.Report.String(), Weight: 1,
			MaxConnections: t.service.MaxConnections, Slots: t.service.Slots,
		}},
	}
	if deadline := p.drainDeadline[t.Name]; !deadline.IsZero() {
		row.LeaveBy = deadline.UTC().Format(time.RFC3339)
	}
	return row
}

func (p *PublishedLists) state(name string) vmState {
	if p.draining[name] {
		return vmDraining
	}
	return vmLive
}
