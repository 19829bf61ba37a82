package placement

import (
	"math"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// DefaultMargin is the margin of a service that publishes none, as a share of the mean load.
const DefaultMargin = 0.05

// LoadAwareConfig configures LoadAware. Zero values select the defaults.
type LoadAwareConfig struct {
	// ReferenceFlows is the mean number of open flows per unit of weight at which the service's margin applies as
	// published; default 300. With fewer flows the margin grows with the square root of ReferenceFlows
	// divided by the mean.
	ReferenceFlows float64
	// MaxMargin is the upper bound of the widened margin, as a share of the mean; default 1.
	MaxMargin float64
	// ZoneMargin is the addition to the margin for a target outside the home zone, as a share of the mean;
	// default 0.01.
	ZoneMargin float64
	// ReportWeight is the weight of a fresh load report against the owner's own count, 0 to 1;
	// default 0.75. A negative value ignores reports.
	ReportWeight float64
	// ReportLifetime is the age at which the weight of a report has fallen to half; default 10 s.
	ReportLifetime time.Duration
	// FullWeightFlows is the owner's mean number of open flows per unit of weight at and above which its own count has
	// its full weight against a report; default 100.
	FullWeightFlows float64
	// UnansweredLimit is the share of unanswered connection attempts at and above which a target is skipped
	// while another one can take the flow, 0 to 1; default 0.5.
	UnansweredLimit float64
	// SlowHandshake is the multiple of the service's mean handshake time above which a target counts as
	// loaded; default 4.
	SlowHandshake float64
	// LimitHeadroom is the factor applied to an owner's share of a target's connection limit while no load
	// report is known; default 1.25.
	LimitHeadroom float64
}

func (c LoadAwareConfig) withDefaults() LoadAwareConfig {
	if c.ReferenceFlows <= 0 {
		c.ReferenceFlows = 300
	}
	if c.MaxMargin <= 0 {
		c.MaxMargin = 1
	}
	if c.ZoneMargin <= 0 {
		c.ZoneMargin = 0.01
	}
	if c.ReportWeight == 0 {
		c.ReportWeight = 0.75
	}
	if c.ReportLifetime <= 0 {
		c.ReportLifetime = 10 * time.Second
	}
	if c.FullWeightFlows <= 0 {
		c.FullWeightFlows = 100
	}
	if c.UnansweredLimit <= 0 {
		c.UnansweredLimit = 0.5
	}
	if c.SlowHandshake <= 0 {
		c.SlowHandshake = 4
	}
	if c.LimitHeadroom <= 0 {
		c.LimitHeadroom = 1.25
	}
	return c
}

// LoadAware is a load-aware rendezvous policy, the default of package core. It compares the first two targets of the
// flow's home zone that can take new flows and the first such target in the other zones of the region. It prefers
// the first target unless its load exceeds that of another one by more than the service's margin.
//
// Load pattern: owners that see the same stale load report. Each flow compares only a few targets given by its
// hash, so the owners do not all send their flows to the target that looks least loaded: no target can attract
// more than three times its share.
type LoadAware struct {
	cfg LoadAwareConfig
}

// NewLoadAware returns the policy.
func NewLoadAware(cfg LoadAwareConfig) *LoadAware {
	return &LoadAware{cfg: cfg.withDefaults()}
}

// choice is a target that can take the flow, with the observation that it was evaluated on.
type choice struct {
	target   *model.Target
	observed Observation
	// ramp is the share of its weight up to which a recently joined target takes flows, 0 to 1.
	ramp float64
}

// choices holds the targets compared for one flow: two of the home zone and one outside it. A choice that
// does not exist has a nil target.
type choices struct {
	first, second, outside choice
}

// Choose implements Policy.
func (c *LoadAware) Choose(now time.Time, h model.FlowHash, st *ServiceTable, l Loads) (*model.Target, errkind.Kind) {
	var scratch [stackTargets]*model.Target
	order := st.Order(h, scratch[:0])
	for _, pass := range admissionPasses {
		found := c.choices(now, h, order, st, l, pass)
		if found.first.target != nil {
			return c.best(now, &found, st, l), errkind.None
		}
	}
	return nil, c.refusalKind(now, order, l)
}

// admissionPass states which impaired targets are admitted in one pass over the order: those that shed load,
// those still in their ramp and those with many unanswered connection attempts. The passes run from the strictest
// to the one that admits every target not known to be unable to serve.
type admissionPass struct {
	allowShedding, allowRamping, allowUnanswered bool
}

var admissionPasses = []admissionPass{
	{},
	{allowShedding: true, allowRamping: true},
	{allowShedding: true, allowRamping: true, allowUnanswered: true},
}

// choices returns the targets to compare, in the flow's order. It stops at the first usable target of
// another zone and at the end of the home zone's region.
func (c *LoadAware) choices(now time.Time, h model.FlowHash, order []*model.Target, st *ServiceTable, l Loads, p admissionPass) choices {
	var found choices
	for _, t := range order {
		outside := found.first.target != nil && t.Zone != found.first.target.Zone
		if outside && t.Zone.Region != found.first.target.Zone.Region {
			return found
		}
		if !outside && found.second.target != nil {
			continue
		}
		ch, ok := c.choice(now, h, t, st, l, p)
		switch {
		case !ok:
		case found.first.target == nil:
			found.first = ch
		case outside:
			found.outside = ch
			return found
		default:
			found.second = ch
		}
	}
	return found
}

// best returns the first choice, or another one whose load is lower by more than the margin.
func (c *LoadAware) best(now time.Time, found *choices, st *ServiceTable, l Loads) *model.Target {
	if found.second.target == nil && found.outside.target == nil {
		return found.first.target
	}
	m := st.means(now, l)
	best, bestLoad := found.first, c.load(&found.first, m)
	margin := c.margin(st.service.Margin, m, &found.first)
	if c.preferable(&found.second) {
		if load := c.load(&found.second, m); bestLoad-load > margin {
			best, bestLoad = found.second, load
		}
	}
	if c.preferable(&found.outside) {
		if load := c.load(&found.outside, m); bestLoad-load > margin+c.cfg.ZoneMargin {
			best = found.outside
		}
	}
	return best.target
}

// preferable reports whether a target may be preferred for its low load. A target that is ramping or warming up may
// not, nor one whose last connection attempt was not answered, because a failed target looks idle as well.
func (c *LoadAware) preferable(ch *choice) bool {
	return ch.target != nil && ch.ramp == 1 && !ch.observed.Warming && ch.observed.ConsecutiveMisses == 0
}

// choice returns the choice for a target and whether the target can take the flow in the given pass.
func (c *LoadAware) choice(now time.Time, h model.FlowHash, t *model.Target, st *ServiceTable, l Loads, p admissionPass) (choice, bool) {
	ch := choice{target: t, ramp: 1}
	if !t.TakesNewFlows() {
		return ch, false
	}
	ch.observed = l.Observe(now, t.ID)
	if ch.observed.Down {
		return ch, false
	}
	if c.atConnectionLimit(t, ch.observed, l.Owners()) {
		return ch, false
	}
	if ch.observed.Shedding && !p.allowShedding {
		return ch, false
	}
	if ch.observed.Unanswered >= c.cfg.UnansweredLimit && !p.allowUnanswered {
		return ch, false
	}
	ch.ramp = rampShare(now, ch.observed, st.service.Ramp)
	if ch.ramp < 1 && !p.allowRamping {
		return ch, unitInterval(h, t.ID) < ch.ramp
	}
	return ch, true
}

// rampShare returns the share of its weight up to which a target takes flows at now, 0 to 1. It grows linearly
// over the ramp that starts when the target joins.
func rampShare(now time.Time, o Observation, ramp time.Duration) float64 {
	if o.JoinedAt.IsZero() || ramp <= 0 {
		return 1
	}
	return min(max(float64(now.Sub(o.JoinedAt))/float64(ramp), 0), 1)
}

// unitInterval maps a flow and a target to a deterministic number in [0, 1).
func unitInterval(h model.FlowHash, t model.TargetID) float64 {
	return float64(mix(uint64(h), uint64(t)<<32|uint64(t))>>11) / (1 << 53)
}

// atConnectionLimit reports whether the target's connection limit allows no further flow of this owner. With a
// load report, the upper estimate of all owners' flows is compared with the limit; without one, this owner's count
// is compared with its share of the limit.
func (c *LoadAware) atConnectionLimit(t *model.Target, o Observation, owners int) bool {
	if t.MaxConnections == 0 {
		return false
	}
	if o.FleetKnown {
		return o.FleetOpenMax >= int(t.MaxConnections)
	}
	share := float64(t.MaxConnections) / float64(owners)
	if owners > 1 {
		share *= c.cfg.LimitHeadroom
	}
	return float64(o.Open) >= share
}

// lossAllowance is the share of unanswered attempts that packet loss can explain and that adds no load.
const lossAllowance = 0.15

// load returns the load of a target as a multiple of the service's mean load. It blends the owner's own count
// with the load report and adds a penalty for slow handshakes and for unanswered connection attempts.
func (c *LoadAware) load(ch *choice, m means) float64 {
	weight := float64(max(ch.target.Weight, 1))
	reportWeight := c.reportWeight(&ch.observed, m)
	own := float64(ch.observed.Open) / weight / max(m.own, 1)
	fleet := float64(ch.observed.FleetOpen) / weight / max(m.fleet, 1)
	load := own*(1-reportWeight) + fleet*reportWeight + max(ch.observed.Unanswered-lossAllowance, 0)
	if m.handshake > 0 && float64(ch.observed.Handshake) > c.cfg.SlowHandshake*float64(m.handshake) {
		load += c.cfg.MaxMargin
	}
	return load
}

// reportWeight returns the weight of a target's load report against the owner's own count, 0 to 1. A count of few
// flows is dominated by random variation, so the weight of the own count falls with the owner's mean count.
func (c *LoadAware) reportWeight(o *Observation, m means) float64 {
	if !o.FleetKnown || c.cfg.ReportWeight < 0 {
		return 0
	}
	report := c.cfg.ReportWeight / (1 + float64(o.ReportAge)/float64(c.cfg.ReportLifetime))
	own := (1 - report) * min(m.own/c.cfg.FullWeightFlows, 1)
	return report / (report + own)
}

// margin returns the load difference that justifies another target, as a share of the mean. The fewer flows
// the mean counts, the more of a difference is random variation, so the margin grows.
func (c *LoadAware) margin(published float64, m means, ch *choice) float64 {
	reportWeight := c.reportWeight(&ch.observed, m)
	own := math.Sqrt(c.cfg.ReferenceFlows / max(m.own, 1))
	fleet := math.Sqrt(c.cfg.ReferenceFlows / max(m.fleet, 1))
	return min(published*(own*(1-reportWeight)+fleet*reportWeight), c.cfg.MaxMargin)
}

// refusalKind returns the error kind for a flow that no target can take.
func (c *LoadAware) refusalKind(now time.Time, order []*model.Target, l Loads) errkind.Kind {
	for _, t := range order {
		o := l.Observe(now, t.ID)
		if t.TakesNewFlows() && !o.Down && c.atConnectionLimit(t, o, l.Owners()) {
			return errkind.ServiceFull
		}
	}
	return noTargetKind(order)
}
