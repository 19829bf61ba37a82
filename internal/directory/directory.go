package directory

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// ServiceSpec is a published service.
type ServiceSpec struct {
	Name string
	// MaxConnections bounds the open flows of each target; 0 means no bound.
	MaxConnections uint32
	// HealthPath is the HTTP path of a target's health checks; empty if it has none.
	HealthPath string
	// WarmupRate is as in model.Target.
	WarmupRate float64
}

// ShareSpec is a service's share of the flows of a route, in proportion to its weight.
type ShareSpec struct {
	Service string
	Weight  uint32
}

// RouteSpec is a published route.
type RouteSpec struct {
	Name    string
	Address netip.AddrPort
	Shares  []ShareSpec
	Kind    model.RequestKind
	// Priority, TimeBudget, LatencyGoal and Regions are as in model.Route.
	Priority                uint32
	TimeBudget, LatencyGoal time.Duration
	Regions                 []string
}

// Plan is one published version of routes and services. It has been checked: each share names a service of the plan.
type Plan struct {
	Version  uint64
	Routes   []RouteSpec
	Services []ServiceSpec
}

// Registration is the published entry of a target.
type Registration struct {
	Name    string
	Service string
	// Zone is the name of the target's availability zone.
	Zone    string
	Address netip.AddrPort
	// Guard and Slots are as in model.Target.
	Guard    uint64
	Slots    uint32
	Draining bool
	// Warmup is how much longer the target is slow after its start, counted from its registration.
	Warmup    time.Duration
	StartedAt time.Time
	// Sequence is the target's count of the writes of its registration since StartedAt; 0 if unknown.
	Sequence uint64
	// Created and CreatedEra are as in model.Target, but of the latest registration.
	Created, CreatedEra uint64
}

// Config holds the settings of a Directory.
type Config struct {
	// Regions maps the name of each availability zone to its region.
	Regions map[string]string
	// ExpiryGrace is how long a target whose registration ended without notice is still used as a last resort. Default
	// 2.5 s: registrations that the platform dropped by mistake are back within two seconds.
	ExpiryGrace time.Duration
	// PreviousLifetime is how long a target without a registration stays known for its open flows. Default 75 s, which
	// is above the longest lifetime of a flow.
	PreviousLifetime time.Duration
}

const (
	defaultExpiryGrace      = 2500 * time.Millisecond
	defaultPreviousLifetime = 75 * time.Second
)

// Directory holds the published plan and targets. It is not safe for concurrent use.
type Directory struct {
	cfg     Config
	plan    *Plan
	targets map[string]*record
	// lastID is the id of the target that was registered last for the first time.
	lastID model.TargetID
	// lists counts the lists that were built.
	lists uint64
	// drainingZones holds the names of the availability zones that operators drain.
	drainingZones map[string]bool
	changes       uint64
}

// record is a target with the state of its registration.
type record struct {
	Registration
	// id is the number of the target in the order of first registrations. No number is given out twice: flow records and
	// evidence may outlive the target that they are about.
	id model.TargetID
	// firstLists is as in model.Target.
	firstLists uint64
	warmUntil  time.Time
	// ended is when the registration ended; zero if it has not.
	ended time.Time
	// cached is the target as of the last Snapshot; it is reused while nothing of it has changed.
	cached *model.Target
}

// New returns an empty Directory.
func New(cfg Config) *Directory {
	cfg.ExpiryGrace = cmp.Or(cfg.ExpiryGrace, defaultExpiryGrace)
	cfg.PreviousLifetime = cmp.Or(cfg.PreviousLifetime, defaultPreviousLifetime)
	return &Directory{cfg: cfg, targets: make(map[string]*record), drainingZones: make(map[string]bool)}
}

// SetPlan replaces the plan if p has a higher version. Otherwise it keeps the current plan and returns false.
func (d *Directory) SetPlan(p *Plan) bool {
	if d.plan != nil && p.Version <= d.plan.Version {
		return false
	}
	d.plan = p
	d.changes++
	return true
}

// Len returns the number of known targets, including those whose registration has ended.
func (d *Directory) Len() int {
	return len(d.targets)
}

// Plan returns the current plan, or nil.
func (d *Directory) Plan() *Plan {
	return d.plan
}

// Register sets the registration of a target.
func (d *Directory) Register(now time.Time, r Registration) {
	rec := &record{Registration: r, firstLists: d.lists + 1}
	known := d.targets[r.Name]
	if known == nil {
		d.lastID++
		rec.id = d.lastID
	} else {
		rec.id = known.id
	}
	if known != nil && known.StartedAt.Equal(r.StartedAt) {
		rec.firstLists, rec.Created, rec.CreatedEra = known.firstLists, known.Created, known.CreatedEra
	}
	if r.Warmup > 0 {
		rec.warmUntil = now.Add(r.Warmup)
	}
	d.targets[r.Name] = rec
	d.changes++
}

// ID returns the id of the known target with a name, or 0. The target keeps it until Config.PreviousLifetime after the
// end of its registration; one that registers later gets another id.
func (d *Directory) ID(name string) model.TargetID {
	if rec := d.targets[name]; rec != nil {
		return rec.id
	}
	return 0
}

// EndRegistration records the end of a target's registration.
func (d *Directory) EndRegistration(now time.Time, name string) {
	rec := d.targets[name]
	if rec == nil || !rec.ended.IsZero() {
		return
	}
	rec.ended = now
	d.changes++
}

// SetZoneDraining records whether operators drain an availability zone, and reports whether that changed.
func (d *Directory) SetZoneDraining(zone string, draining bool) bool {
	if d.drainingZones[zone] == draining {
		return false
	}
	if draining {
		d.drainingZones[zone] = true
	} else {
		delete(d.drainingZones, zone)
	}
	d.changes++
	return true
}

// DrainingZones returns the names of the availability zones that operators drain, sorted.
func (d *Directory) DrainingZones() []string {
	return slices.Sorted(maps.Keys(d.drainingZones))
}

// NextChange returns the next time at which the result of Snapshot changes without an event, or false if it does not.
func (d *Directory) NextChange(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, rec := range d.targets {
		if rec.ended.IsZero() {
			continue
		}
		at := rec.ended.Add(d.cfg.ExpiryGrace)
		if !rec.expired(now, d.cfg) {
			at = rec.ended.Add(d.cfg.PreviousLifetime)
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// expired reports whether the registration ended without notice (the target was not draining) less than
// Config.ExpiryGrace ago.
func (r *record) expired(now time.Time, cfg Config) bool {
	return !r.ended.IsZero() && !r.Draining && now.Before(r.ended.Add(cfg.ExpiryGrace))
}

// Snapshot returns the published lists as of now, or nil if there is no plan. It drops previous targets whose lifetime
// is over.
func (d *Directory) Snapshot(now time.Time) *model.Snapshot {
	d.dropOutdated(now)
	if d.plan == nil {
		return nil
	}
	d.lists++
	b := builder{d: d, now: now, services: make(map[string]*model.Service)}
	b.addServices()
	b.addTargets()
	b.addRoutes()
	defaultPlan := &model.Plan{Name: "published", Services: b.serviceList}
	return model.NewRoutedSnapshot(model.Parts{
		Revisions:       model.Revisions{Customers: 1, Plans: d.plan.Version, Machines: d.changes},
		Customers:       []*model.Customer{{Name: "all", Plan: defaultPlan, Prefixes: allPrefixes}},
		Plans:           []*model.Plan{defaultPlan},
		Services:        b.serviceList,
		Routes:          b.routes,
		DrainingZones:   d.DrainingZones(),
		PreviousTargets: b.previous,
	})
}

// Targets returns the known targets without routes, which is all that open flows need before there is a plan.
func (d *Directory) Targets(now time.Time) *model.Snapshot {
	d.lists++
	b := builder{d: d, now: now, services: make(map[string]*model.Service), specs: make(map[string]ServiceSpec)}
	for _, rec := range d.targets {
		if b.services[rec.Service] == nil {
			s := &model.Service{Name: rec.Service}
			b.services[rec.Service] = s
			b.serviceList = append(b.serviceList, s)
		}
	}
	b.addTargets()
	return model.NewRoutedSnapshot(model.Parts{
		Revisions:       model.Revisions{Machines: d.changes},
		Services:        b.serviceList,
		PreviousTargets: b.previous,
	})
}

// allPrefixes holds the prefixes of the only customer of a platform that publishes none: it admits every caller.
var allPrefixes = []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0"), netip.MustParsePrefix("::/0")}

func (d *Directory) dropOutdated(now time.Time) {
	for name, rec := range d.targets {
		if !rec.ended.IsZero() && !now.Before(rec.ended.Add(d.cfg.PreviousLifetime)) {
			delete(d.targets, name)
		}
	}
}

// builder builds one Snapshot.
type builder struct {
	d           *Directory
	now         time.Time
	serviceList []*model.Service
	services    map[string]*model.Service
	specs       map[string]ServiceSpec
	routes      []*model.Route
	previous    []*model.Target
}

func (b *builder) addServices() {
	b.specs = make(map[string]ServiceSpec)
	for _, spec := range b.d.plan.Services {
		s := &model.Service{Name: spec.Name}
		b.serviceList = append(b.serviceList, s)
		b.services[spec.Name] = s
		b.specs[spec.Name] = spec
	}
}

// addTargets adds the targets sorted by name, so that all daemons hold them in the same order.
func (b *builder) addTargets() {
	names := make([]string, 0, len(b.d.targets))
	for name := range b.d.targets {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		rec := b.d.targets[name]
		t := b.target(rec)
		s := b.services[rec.Service]
		if s == nil || !rec.ended.IsZero() && !t.Expired {
			b.previous = append(b.previous, t)
			continue
		}
		s.Targets = append(s.Targets, t)
	}
}

func (b *builder) target(rec *record) *model.Target {
	expired, spec := rec.expired(b.now, b.d.cfg), b.specs[rec.Service]
	zoneDraining := b.d.drainingZones[rec.Zone]
	if t := rec.cached; t != nil && t.Expired == expired && t.ZoneDraining == zoneDraining && t.MaxConnections == spec.MaxConnections &&
		t.HealthPath == spec.HealthPath && t.WarmupRate == spec.WarmupRate {
		return t
	}
	rec.cached = &model.Target{
		ID:             rec.id,
		Name:           rec.Name,
		Service:        rec.Service,
		Zone:           model.Zone{Region: b.d.cfg.Regions[rec.Zone], Name: rec.Zone},
		Draining:       rec.Draining,
		Data:           rec.Address,
		Weight:         max(rec.Slots, 1),
		MaxConnections: spec.MaxConnections,
		HealthPath:     spec.HealthPath,
		Slots:          rec.Slots,
		Guard:          rec.Guard,
		StartedAt:      rec.StartedAt,
		FirstLists:     rec.firstLists,
		Created:        rec.Created,
		CreatedEra:     rec.CreatedEra,
		WarmUntil:      rec.warmUntil,
		WarmupRate:     spec.WarmupRate,
		ZoneDraining:   zoneDraining,
		Expired:        expired,
	}
	return rec.cached
}

// addRoutes adds the routes. Each route's address goes to the service of its first share, since admission finds
// services by their addresses.
func (b *builder) addRoutes() {
	for _, spec := range b.d.plan.Routes {
		r := &model.Route{
			Name:        spec.Name,
			Address:     spec.Address,
			Kind:        spec.Kind,
			Priority:    spec.Priority,
			TimeBudget:  spec.TimeBudget,
			LatencyGoal: spec.LatencyGoal,
			Regions:     spec.Regions,
		}
		for _, share := range spec.Shares {
			if s := b.services[share.Service]; s != nil && share.Weight > 0 {
				r.Shares = append(r.Shares, model.Share{Service: s, Weight: share.Weight})
			}
		}
		if len(r.Shares) == 0 {
			continue
		}
		first := r.Shares[0].Service
		first.Addresses = append(first.Addresses, r.Address)
		b.routes = append(b.routes, r)
	}
}
