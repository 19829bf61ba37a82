package lists

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fireflypin/fireflypin/model"
)

// Build joins three checked documents into a Snapshot. The findings are inconsistencies between the
// documents: a customer whose plan, or a target whose service, is not in the document of kind plans.
//
// Build does not change the documents, so they may be used for further calls. All Snapshots built from
// one Machines share its entry VMs, endpoint VMs and targets, except the targets in drained zones.
func Build(c *Customers, p *Plans, m *Machines) (*model.Snapshot, Findings) {
	b := builder{
		services: make(map[string]*model.Service, len(p.services)),
		plans:    make(map[string]*model.Plan, len(p.plans)),
	}
	services := b.buildServices(p)
	plans := b.buildPlans(p)
	customers := b.buildCustomers(c)
	endpoints := b.assignTargets(m)
	if len(b.findings) > 0 {
		b.findings.Sort()
		return nil, b.findings
	}
	sortTargets(services)
	return model.NewRoutedSnapshot(model.Parts{
		Revisions:     model.Revisions{Customers: c.Revision, Plans: p.Revision, Machines: m.Revision},
		Customers:     customers,
		Plans:         plans,
		Services:      services,
		Entries:       m.entries,
		Endpoints:     endpoints,
		DrainingZones: m.drainingZoneNames(),
	}), nil
}

// builder links the objects of the three documents by their names.
type builder struct {
	services map[string]*model.Service
	plans    map[string]*model.Plan
	findings Findings
}

func (b *builder) buildServices(p *Plans) []*model.Service {
	services := make([]*model.Service, 0, len(p.services))
	for i := range p.services {
		s := p.services[i]
		b.services[s.Name] = &s
		services = append(services, &s)
	}
	return services
}

func (b *builder) buildPlans(p *Plans) []*model.Plan {
	plans := make([]*model.Plan, 0, len(p.plans))
	for i := range p.plans {
		plan := p.plans[i].plan
		for _, name := range p.plans[i].services {
			plan.Services = append(plan.Services, b.services[name])
		}
		b.plans[plan.Name] = &plan
		plans = append(plans, &plan)
	}
	return plans
}

func (b *builder) buildCustomers(c *Customers) []*model.Customer {
	customers := make([]*model.Customer, 0, len(c.rows))
	for i, entry := range c.rows {
		row := entry.row
		plan := b.plans[row.plan]
		if plan == nil {
			b.findings = append(b.findings, Finding{
				File: c.Name, Line: entry.line + row.planLine, Key: fmt.Sprintf("customers[%d].plan", i),
				Message: fmt.Sprintf("there is no plan %q", row.plan),
			})
		}
		customers = append(customers, &model.Customer{Name: row.name, Plan: plan, Prefixes: row.prefixes})
	}
	return customers
}

// assignTargets adds the targets to their services and returns the endpoint VMs.
func (b *builder) assignTargets(m *Machines) []*model.EndpointVM {
	endpoints := make([]*model.EndpointVM, 0, len(m.endpoints))
	for i, entry := range m.endpoints {
		endpoints = append(endpoints, &entry.row.vm)
		for j := range entry.row.targets {
			row := &entry.row.targets[j]
			s := b.services[row.target.Service]
			if s == nil {
				b.findings = append(b.findings, Finding{
					File: m.Name, Line: entry.line + row.serviceLine, Key: fmt.Sprintf("endpoints[%d].targets[%d].service", i, j),
					Message: fmt.Sprintf("there is no service %q", row.target.Service),
				})
				continue
			}
			s.Targets = append(s.Targets, m.published(row.target))
		}
	}
	return endpoints
}

func sortTargets(services []*model.Service) {
	for _, s := range services {
		slices.SortFunc(s.Targets, func(a, b *model.Target) int {
			return strings.Compare(a.Name, b.Name)
		})
	}
}
