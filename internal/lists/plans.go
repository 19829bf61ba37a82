package lists

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/internal/yamldoc"
	"github.com/fireflypin/fireflypin/model"
)

// Defaults of a service and of a plan.
const (
	DefaultMargin = 0.05
	DefaultRamp   = 30 * time.Second

	maxRamp        = time.Hour
	maxRevokeGrace = 24 * time.Hour
)

// Plans is a checked document of kind plans.
type Plans struct {
	Revision uint64
	Name     string          // of the document
	services []model.Service // without Targets
	plans    []planRow
}

type planRow struct {
	plan     model.Plan // without Services
	services []string
}

// ReadPlans checks a document of kind plans by itself.
func ReadPlans(d Document) (*Plans, Findings) {
	p := &Plans{Name: d.Name}
	revision, findings := read(d, KindPlans, func(m *yamldoc.Map) {
		services := p.readServices(m)
		p.readPlans(m, services)
	})
	p.Revision = revision
	return p, findings
}

func (p *Plans) readServices(m *yamldoc.Map) nameLines {
	seen := make(nameLines)
	owners := make(map[netip.AddrPort]firstUse)
	m.Entries("services", func(e *yamldoc.Entry) {
		e.Read(func(m *yamldoc.Map) {
			s := readService(m, owners)
			seen.add(e, m.LineOf("name"), "name", s.Name, "service")
			p.services = append(p.services, s)
		})
	})
	return seen
}

func readService(m *yamldoc.Map, owners map[netip.AddrPort]firstUse) model.Service {
	s := model.Service{
		Name:   m.Name("name"),
		Margin: m.Fraction("margin", DefaultMargin),
		Ramp:   m.Duration("ramp", DefaultRamp, 0, maxRamp),
	}
	if m.Choice("return", "through", "direct") == 0 {
		s.Return = model.ReturnThrough
	}
	s.Regions = readRegions(m)
	items := m.Texts("addresses", true)
	if len(items) == 0 && m.Has("addresses") {
		m.AddFinding("addresses", "must name at least one address")
	}
	for i := range items {
		it := &items[i]
		a, problem := yamldoc.ParseAddress(it.Text)
		if problem != "" {
			it.AddFinding("%s", problem)
			continue
		}
		if o, taken := owners[a]; taken {
			it.AddFinding("%s already belongs to service %q, in line %d", a, o.owner, o.line)
			continue
		}
		owners[a] = firstUse{owner: s.Name, line: it.Line}
		s.Addresses = append(s.Addresses, a)
	}
	return s
}

// readRegions returns the regions whose targets may serve a service; none if the key is absent, which allows all.
func readRegions(m *yamldoc.Map) []string {
	items := m.Texts("regions", false)
	if len(items) == 0 && m.Has("regions") {
		m.AddFinding("regions", "must name at least one region")
	}
	var regions []string
	for i := range items {
		it := &items[i]
		switch {
		case !yamldoc.ValidName(it.Text):
			it.AddFinding("%q is not a valid name", it.Text)
		case slices.Contains(regions, it.Text):
			it.AddFinding("region %q appears twice in the service", it.Text)
		default:
			regions = append(regions, it.Text)
		}
	}
	return regions
}

func (p *Plans) readPlans(m *yamldoc.Map, services nameLines) {
	seen := make(nameLines)
	m.Entries("plans", func(e *yamldoc.Entry) {
		e.Read(func(m *yamldoc.Map) {
			row := readPlan(m, services)
			seen.add(e, m.LineOf("name"), "name", row.plan.Name, "plan")
			p.plans = append(p.plans, row)
		})
	})
}

func readPlan(m *yamldoc.Map, services nameLines) planRow {
	row := planRow{plan: model.Plan{
		Name:              m.Name("name"),
		NewFlowsPerSecond: uint32(m.Uint("new_flows_per_second", 0, 0, math.MaxUint32)),
		OpenFlows:         uint32(m.Uint("open_flows", 0, 0, math.MaxUint32)),
		RevokeGrace:       m.Duration("revoke_grace", 0, 0, maxRevokeGrace),
	}}
	if m.Choice("on_revoke", "finish", "reset") == 1 {
		row.plan.OnRevoke = model.RevokeReset
	} else if m.Has("revoke_grace") {
		m.AddFinding("revoke_grace", "has an effect only with \"on_revoke: reset\"")
	}
	row.services = readPlanServices(m, services)
	return row
}

func readPlanServices(m *yamldoc.Map, services nameLines) []string {
	items := m.Texts("services", true)
	if len(items) == 0 && m.Has("services") {
		m.AddFinding("services", "must name at least one service")
	}
	seen := make(map[string]bool, len(items))
	allowed := make([]string, 0, len(items))
	for i := range items {
		it := &items[i]
		switch _, known := services[it.Text]; {
		case !known:
			it.AddFinding("there is no service %q", it.Text)
		case seen[it.Text]:
			it.AddFinding("service %q appears twice in the plan", it.Text)
		default:
			seen[it.Text] = true
			allowed = append(allowed, it.Text)
		}
	}
	return allowed
}
