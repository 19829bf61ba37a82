package placement

import (
	"math"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// ChosenConfig configures Chosen. Zero values take the defaults.
type ChosenConfig struct {
	// ReferenceShare is the number of open flows per target and owner at which the service's margin
	// applies as published; default 1,000. The margin widens with the square root as the share shrinks.
	ReferenceShare float64
	// MaxMargin bounds the widened margin, as a share of the mean; default 1.
	MaxMargin float64
	// ReportWeight is the weight of a fresh load report against the owner's own count, 0 to 1;
	// default 0.25. A negative value ignores reports.
	ReportWeight float64
	// ReportLifetime is the age at which a report counts half; default 2 s.
	ReportLifetime time.Duration
	// UnansweredLimit is the share of unanswered connection attempts from which a target is passed
	// over while another can take the flow, 0 to 1; default 0.5.
	UnansweredLimit float64
	// SlowHandshake is the multiple of the zone's mean handshake time from which a target counts as
	// loaded; default 4.
	SlowHandshake float64
	// LimitHeadroom widens an owner's share of a connection limit while no report is known; default 1.25.
	LimitHeadroom float64
}

func (c ChosenConfig) withDefaults() ChosenConfig {
	if c.ReferenceShare <= 0 {
		c.ReferenceShare = 1000
	}
	if c.MaxMargin <= 0 {
		c.MaxMargin = 1
	}
	if c.ReportWeight == 0 {
		c.ReportWeight = 0.25
	}
	if c.ReportLifetime <= 0 {
		c.ReportLifetime = 2 * time.Second
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

// Chosen is the policy of the product. It takes the first two targets of the flow's order that can
// take new flows and leaves the first for the second only when the first is ahead by the service's
// margin. Owners that see the same stale report thus spread their flows over as many pairs as there
// are targets, and none can draw more than two shares.
type Chosen struct {
	cfg ChosenConfig
}

// NewChosen returns the policy.
func NewChosen(cfg ChosenConfig) *Chosen {
	return &Chosen{cfg: cfg.withDefaults()}
}

// option is a target that can take the flow, with what is known of it.
type option struct {
	target *model.Target
	seen   Observation
	// ramp is the share of its weight that the target may take, 0 to 1.
	ramp float64
}

// Choose implements Policy.
func (c *Chosen) Choose(now time.Time, h model.FlowHash, st *ServiceTable, l Loads) (*model.Target, errkind.Kind) {
	var scratch [stackTargets]*model.Target
	order := st.Order(h, scratch[:0])
	for _, pass := range passes {
		first, second := c.firstTwo(now, h, order, st, l, pass)
		if first.target == nil {
			continue
		}
		if second.target != nil && c.prefersSecond(first, second, st, l) {
			return second.target, errkind.None
		}
		return first.target, errkind.None
	}
	return nil, c.refusal(now, order, l)
}

// pass says which targets one walk over the order admits. The walks run from the strictest to the
// one that takes any target that is not certainly unable to serve.
type pass struct {
	shedding, cold, unanswered bool
}

var passes = []pass{
	{},
	{shedding: true, cold: true},
	{shedding: true, cold: true, unanswered: true},
}

// firstTwo returns the first two options of the order. Both lie in the same zone: a link between
// zones costs more than an even spread gains.
func (c *Chosen) firstTwo(now time.Time, h model.FlowHash, order []*model.Target, st *ServiceTable, l Loads, p pass) (first, second option) {
	for _, t := range order {
		if first.target != nil && t.Zone != first.target.Zone {
			return first, second
		}
		o, ok := c.option(now, h, t, st, l, p)
		if !ok {
			continue
		}
		if first.target == nil {
			first = o
			continue
		}
		return first, o
	}
	return first, second
}

// option reports whether a target can take the flow in a pass.
func (c *Chosen) option(now time.Time, h model.FlowHash, t *model.Target, st *ServiceTable, l Loads, p pass) (option, bool) {
	o := option{target: t, ramp: 1}
	if t.Leaving {
		return o, false
	}
	o.seen = l.Observe(now, t.ID)
	if o.seen.Down {
		return o, false
	}
	if c.full(t, o.seen, l.Owners()) {
		return o, false
	}
	if o.seen.Shedding && !p.shedding {
		return o, false
	}
	if o.seen.Unanswered >= c.cfg.UnansweredLimit && !p.unanswered {
		return o, false
	}
	o.ramp = rampShare(now, o.seen, st.service.Ramp)
	if o.ramp < 1 && !p.cold {
		return o, unitInterval(h, t.ID) < o.ramp
	}
	return o, true
}

// rampShare returns the share of its weight that a target may take at now.
func rampShare(now time.Time, o Observation, ramp time.Duration) float64 {
	if o.Since.IsZero() || ramp <= 0 {
		return 1
	}
	return min(max(float64(now.Sub(o.Since))/float64(ramp), 0), 1)
}

// unitInterval maps a flow and a target to a fixed number in [0, 1).
func unitInterval(h model.FlowHash, t model.TargetID) float64 {
	return float64(mix(uint64(h), uint64(t)<<32|uint64(t))>>11) / (1 << 53)
}

// full reports whether the target's connection limit leaves no room for a flow of this owner.
func (c *Chosen) full(t *model.Target, o Observation, owners int) bool {
	if t.MaxConnections == 0 {
		return false
	}
	if o.FleetKnown {
		return o.FleetOpen >= int(t.MaxConnections)
	}
	share := float64(t.MaxConnections) / float64(owners)
	if owners > 1 {
		share *= c.cfg.LimitHeadroom
	}
	return float64(o.Open) >= share
}

// prefersSecond reports whether the first option is ahead of the second by more than the margin.
func (c *Chosen) prefersSecond(first, second option, st *ServiceTable, l Loads) bool {
	if second.ramp < 1 || second.seen.Warming {
		return false
	}
	mean := st.meanOpen(first.target.Zone, l)
	ahead := c.relativeLoad(first, second, mean) - c.relativeLoad(second, first, mean)
	return ahead > c.margin(st.service.Margin, mean)
}

// relativeLoad returns the load of o in means: the owner's own count, blended with the report.
func (c *Chosen) relativeLoad(o, other option, mean float64) float64 {
	weight := float64(max(o.target.Weight, 1))
	own := float64(o.seen.Open) / weight / max(mean, 1)
	trust := c.reportTrust(o.seen, other.seen)
	if trust == 0 {
		return own + c.slowness(o, other)
	}
	otherWeight := float64(max(other.target.Weight, 1))
	fleet := float64(o.seen.FleetOpen) / weight
	fleetMean := (fleet + float64(other.seen.FleetOpen)/otherWeight) / 2
	return own*(1-trust) + trust*fleet/max(fleetMean, 1) + c.slowness(o, other)
}

// reportTrust returns the weight of the reports of a pair of targets.
func (c *Chosen) reportTrust(a, b Observation) float64 {
	if !a.FleetKnown || !b.FleetKnown || c.cfg.ReportWeight < 0 {
		return 0
	}
	age := float64(max(a.ReportAge, b.ReportAge))
	lifetime := float64(c.cfg.ReportLifetime)
	return c.cfg.ReportWeight / (1 + age/lifetime)
}

// slowness returns an addition to the relative load for a target that answers much slower than the
// other or leaves attempts unanswered.
func (c *Chosen) slowness(o, other option) float64 {
	add := o.seen.Unanswered
	limit := time.Duration(c.cfg.SlowHandshake * float64(other.seen.Handshake))
	if other.seen.Handshake > 0 && o.seen.Handshake > limit {
		add += c.cfg.MaxMargin
	}
	return add
}

// margin returns the margin as a share of the mean, for a mean of own open flows per weight.
func (c *Chosen) margin(published, mean float64) float64 {
	widened := published * math.Sqrt(c.cfg.ReferenceShare/max(mean, 1))
	return min(widened, c.cfg.MaxMargin)
}

// refusal returns why no target can take a flow.
func (c *Chosen) refusal(now time.Time, order []*model.Target, l Loads) errkind.Kind {
	for _, t := range order {
		o := l.Observe(now, t.ID)
		if !t.Leaving && !o.Down && c.full(t, o, l.Owners()) {
			return errkind.ServiceFull
		}
	}
	return errkind.NoTargetReachable
}
