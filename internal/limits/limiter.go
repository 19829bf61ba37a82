package limits

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// minDepth is the least number of flows that an owner admits at once, so that flows of a small limit
// that happen to meet at one owner are not refused.
const minDepth = 4

// minGrowth is the number of flows by which an owner may grow per window while few are asked for. A burst
// out of nothing can therefore overshoot a limit of less than minGrowth flows for each owner.
const minGrowth = 2

// Limiter decides over new flows of customers and targets. All methods may be called from several
// goroutines; times must not go back by more than the window.
type Limiter struct {
	cfg Config

	mu     sync.Mutex
	zones  map[model.Zone]Owners
	plans  map[*model.Plan]Owners // derived from zones
	usages map[key]*usage
	turn   int // where the next summary goes on
}

// New returns a Limiter that is the only owner.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:    cfg.withDefaults(),
		zones:  map[model.Zone]Owners{cfg.Zone: {Live: 1, Published: 1}},
		plans:  make(map[*model.Plan]Owners),
		usages: make(map[key]*usage),
	}
}

// SetOwners says how many daemons own flows in each zone. A zone that cannot be reached has no live ones.
func (l *Limiter) SetOwners(zones []ZoneOwners) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.zones)
	for _, z := range zones {
		l.zones[z.Zone] = z.Owners
	}
	clear(l.plans)
}

// planOwners returns the owners that flows of a plan can have: those of the zones with targets of the
// services that it allows, or, where none of them is live, those of every zone.
func (l *Limiter) planOwners(p *model.Plan) Owners {
	if owners, known := l.plans[p]; known {
		return owners
	}
	seen := make(map[model.Zone]bool)
	var sum Owners
	for _, s := range p.Services {
		for _, t := range s.Targets {
			if !seen[t.Zone] {
				seen[t.Zone] = true
				sum = sum.add(l.zones[t.Zone])
			}
		}
	}
	if sum.Live == 0 {
		sum = l.allOwners()
	}
	l.plans[p] = sum
	return sum
}

func (l *Limiter) allOwners() Owners {
	var sum Owners
	for _, o := range l.zones {
		sum = sum.add(o)
	}
	return sum
}

// Open counts a new flow of a customer, or returns the kind of the limit that it would exceed.
func (l *Limiter) Open(now time.Time, c *model.Customer) errkind.Kind {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(now, customerKey(c))
	u.limits = limitPair{open: c.Plan.OpenFlows, rate: c.Plan.NewFlowsPerSecond}
	u.owners = l.planOwners(c.Plan)
	u.ask()
	if u.limits.open > 0 && !l.openFits(u) {
		return errkind.CustomerOpenLimit
	}
	if u.limits.rate > 0 && !l.rateFits(now, u) {
		return errkind.CustomerRateLimit
	}
	u.admit()
	return errkind.None
}

// Close counts the end of a customer's flow.
func (l *Limiter) Close(now time.Time, c *model.Customer) {
	l.ended(now, customerKey(c))
}

// TakeOver counts a customer's open flow that another owner had admitted. It never refuses.
func (l *Limiter) TakeOver(now time.Time, c *model.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage(now, customerKey(c)).own.open++
}

// OpenTarget counts a new flow to a target, or returns false when the target has no room for it.
func (l *Limiter) OpenTarget(now time.Time, t *model.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(now, targetKey(t))
	u.limits = limitPair{open: t.MaxConnections}
	u.owners = l.zones[l.cfg.Zone]
	u.ask()
	if !l.openFits(u) {
		return false
	}
	u.admit()
	return true
}

// TakeOverTarget counts an open flow to a target that another owner had placed. It never refuses.
func (l *Limiter) TakeOverTarget(now time.Time, t *model.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage(now, targetKey(t)).own.open++
}

// CloseTarget counts the end of a flow to a target.
func (l *Limiter) CloseTarget(now time.Time, t *model.Target) {
	l.ended(now, targetKey(t))
}

func (l *Limiter) ended(now time.Time, k key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage(now, k).end()
}

// usage returns the usage of a limit with its window moved to now.
func (l *Limiter) usage(now time.Time, k key) *usage {
	u := l.usages[k]
	if u == nil {
		u = &usage{peers: make(map[model.MachineID]report), zones: make(map[model.Zone]report)}
		l.usages[k] = u
	}
	u.advance(now, l.cfg.Window)
	return u
}

// openFits reports whether one more open flow keeps within the own part of what is left of a limit.
//
// What others know of an owner is at least the fewest flows that it held in the window. So each owner
// takes at most an even part of the rest on top of its own fewest: all owners together then hold at most
// the sum of the fewest and of the rest, which is the limit.
func (l *Limiter) openFits(u *usage) bool {
	limit := float64(u.limits.open) * u.owners.part(l.cfg.FleetFloor)
	before := float64(u.leastOpen())
	rest := limit - before - float64(u.others.open)
	if rest <= 0 || float64(u.own.open)+float64(u.others.open)+1 > limit {
		return false
	}
	return float64(u.own.open)+1 <= before+l.allowance(u, rest, float64(max(u.owners.Live, 1)))
}

// allowance returns by how many flows an owner may grow per window when rest flows are left for all. A
// part below one flow is rounded at random, with one draw per window. While there is a whole flow for
// each one that was asked for in the last window, that many are allowed, at most minGrowth: a limit with
// few flows for each owner could not be used otherwise.
func (l *Limiter) allowance(u *usage, rest, owners float64) float64 {
	contenders := min(float64(max(u.own.asked, 1)+u.others.asked), owners)
	part := max(rest/owners, min(minGrowth, rest/contenders))
	if window := u.slot / slots; u.extraAt != window {
		u.extraAt, u.extra = window, l.cfg.Rand.Float64()
	}
	return float64(int(part + u.extra))
}

// rateFits takes a token of the own part of a rate limit.
func (l *Limiter) rateFits(now time.Time, u *usage) bool {
	rate := l.ownRate(u)
	depth := max(minDepth, rate*l.cfg.Burst.Seconds())
	return u.bucket.take(now, rate, depth)
}

// ownRate returns the own part of a rate limit in flows a second: what the own summary told last plus an
// even part of what nobody told to use. Over all owners these parts add up to the limit.
func (l *Limiter) ownRate(u *usage) float64 {
	owners := u.owners.share(l.cfg.FleetFloor)
	limit := float64(u.limits.rate) * u.owners.part(l.cfg.FleetFloor)
	window := l.cfg.Window.Seconds()
	own := float64(u.told.admitted) / window
	total := own + float64(u.others.admitted)/window
	even := float64(u.limits.rate) / owners
	if total > limit {
		return (1-l.cfg.Leveling)*own*limit/total + l.cfg.Leveling*even
	}
	rest := (limit - total) / float64(max(u.owners.Live, 1))
	return (1-l.cfg.Leveling)*(own+rest) + l.cfg.Leveling*even
}

// RetryAfter returns when a refused caller should come back, jittered from one to two times what the
// table of kinds says, so that callers do not return together. 0 means that asking again is useless.
func RetryAfter(k errkind.Kind, rng *rand.Rand) time.Duration {
	base := errkind.RowOf(k).RetryAfter
	if base <= 0 {
		return 0
	}
	return base + time.Duration(rng.Int64N(int64(base)))
}
