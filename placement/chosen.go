package placement

import (
	"math"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// DefaultMargin is the margin of a service that publishes none.
const DefaultMargin = 0.05

// ChosenConfig configures Chosen. Zero values take the defaults.
type ChosenConfig struct {
	// ReferenceShare is the number of open flows per target at which the service's margin applies as
	// published; default 300. The margin widens with the square root as the share shrinks.
	ReferenceShare float64
	// MaxMargin bounds the widened margin, as a share of the mean; default 1.
	MaxMargin float64
	// ZoneMargin is added to the margin for a target outside the home zone, as a share of the mean;
	// default 0.01.
	ZoneMargin float64
	// ReportWeight is the weight of a fresh load report against the owner's own count, 0 to 1;
	// default 0.75. A negative value ignores reports.
	ReportWeight float64
	// ReportLifetime is the age at which a report counts half; default 10 s.
	ReportLifetime time.Duration
	// OwnShare is the owner's number of open flows per target from which its own count has its full
	// weight against a report; default 100.
	OwnShare float64
	// UnansweredLimit is the share of unanswered connection attempts from which a target is passed
	// over while another can take the flow, 0 to 1; default 0.5.
	UnansweredLimit float64
	// SlowHandshake is the multiple of the other target's handshake time from which a target counts as
	// loaded; default 4.
	SlowHandshake float64
	// LimitHeadroom widens an owner's share of a connection limit while no report is known; default 1.25.
	LimitHeadroom float64
}

func (c ChosenConfig) withDefaults() ChosenConfig {
	if c.ReferenceShare <= 0 {
		c.ReferenceShare = 300
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
	if c.OwnShare <= 0 {
		c.OwnShare = 100
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

// Chosen is the policy of the product. It compares the first two targets of the flow's home zone that
// can take new flows, and the first of the other zones of its region, and leaves the first of them only
// when it is ahead by the service's margin. Owners that see the same stale report thus spread their
// flows over as many pairs as there are targets, and none can draw more than three shares.
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

// options are the targets that are compared for one flow; those that are missing have a nil target.
type options struct {
	first, second, outside option
}

// Choose implements Policy.
func (c *Chosen) Choose(now time.Time, h model.FlowHash, st *ServiceTable, l Loads) (*model.Target, errkind.Kind) {
	var scratch [stackTargets]*model.Target
	order := st.Order(h, scratch[:0])
	for _, pass := range passes {
		o := c.options(now, h, order, st, l, pass)
		if o.first.target != nil {
			return c.best(now, &o, st, l), errkind.None
		}
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

// options walks over the order until nothing more can be found.
func (c *Chosen) options(now time.Time, h model.FlowHash, order []*model.Target, st *ServiceTable, l Loads, p pass) options {
	var found options
	for _, t := range order {
		outside := found.first.target != nil && t.Zone != found.first.target.Zone
		if outside && t.Zone.Region != found.first.target.Zone.Region {
			return found
		}
		if !outside && found.second.target != nil {
			continue
		}
		o, ok := c.option(now, h, t, st, l, p)
		switch {
		case !ok:
		case found.first.target == nil:
			found.first = o
		case outside:
			found.outside = o
			return found
		default:
			found.second = o
		}
	}
	return found
}

// best returns the first option, or another one that is less loaded by more than the margin.
func (c *Chosen) best(now time.Time, o *options, st *ServiceTable, l Loads) *model.Target {
	if o.second.target == nil && o.outside.target == nil {
		return o.first.target
	}
	m := st.means(now, l)
	best, bestLoad := o.first, c.load(&o.first, m)
	margin := c.margin(st.service.Margin, m, &o.first)
	if c.draws(&o.second) {
		if load := c.load(&o.second, m); bestLoad-load > margin {
			best, bestLoad = o.second, load
		}
	}
	if c.draws(&o.outside) {
		if load := c.load(&o.outside, m); bestLoad-load > margin+c.cfg.ZoneMargin {
			best = o.outside
		}
	}
	return best.target
}

// draws reports whether a target may be preferred for being empty. A cold one may not, nor one whose
// last attempt got no answer: a dead target looks empty too.
func (c *Chosen) draws(o *option) bool {
	return o.target != nil && o.ramp == 1 && !o.seen.Warming && o.seen.MissesInRow == 0
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
		return o.FleetMost >= int(t.MaxConnections)
	}
	share := float64(t.MaxConnections) / float64(owners)
	if owners > 1 {
		share *= c.cfg.LimitHeadroom
	}
	return float64(o.Open) >= share
}

// lossShare is the share of unanswered attempts that a lost packet may explain.
const lossShare = 0.15

// load returns the load of a target in means: the owner's own count blended with the report, and an
// addition for a target that answers slowly or leaves attempts unanswered.
func (c *Chosen) load(o *option, m means) float64 {
	weight := float64(max(o.target.Weight, 1))
	trust := c.trust(&o.seen, m)
	own := float64(o.seen.Open) / weight / max(m.own, 1)
	fleet := float64(o.seen.FleetOpen) / weight / max(m.fleet, 1)
	load := own*(1-trust) + fleet*trust + max(o.seen.Unanswered-lossShare, 0)
	if m.handshake > 0 && float64(o.seen.Handshake) > c.cfg.SlowHandshake*float64(m.handshake) {
		load += c.cfg.MaxMargin
	}
	return load
}

// trust returns the weight of a target's report. An own count of few flows is mostly chance, so its
// weight shrinks with the owner's share.
func (c *Chosen) trust(o *Observation, m means) float64 {
	if !o.FleetKnown || c.cfg.ReportWeight < 0 {
		return 0
	}
	report := c.cfg.ReportWeight / (1 + float64(o.ReportAge)/float64(c.cfg.ReportLifetime))
	own := (1 - report) * min(m.own/c.cfg.OwnShare, 1)
	return report / (report + own)
}

// margin returns the margin as a share of the mean. The fewer flows a share counts, the more of its
// lead is chance, so the margin widens.
func (c *Chosen) margin(published float64, m means, o *option) float64 {
	trust := c.trust(&o.seen, m)
	own := math.Sqrt(c.cfg.ReferenceShare / max(m.own, 1))
	fleet := math.Sqrt(c.cfg.ReferenceShare / max(m.fleet, 1))
	return min(published*(own*(1-trust)+fleet*trust), c.cfg.MaxMargin)
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
