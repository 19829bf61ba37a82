package limits

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// minBucketDepth is the minimum depth of an owner's token bucket, in flows. It avoids refusals when several flows
// under a small rate limit happen to arrive at the same owner.
const minBucketDepth = 4

// minGrowth is the number of open flows by which an owner may grow per window while few flows are requested. A
// sudden burst can therefore overshoot a limit of fewer than minGrowth flows per owner.
const minGrowth = 2

// Limiter admits or refuses new flows by the limits of their customers and targets. It is safe for concurrent use.
// The times passed to its methods must not go back by more than Config.Window.
type Limiter struct {
	cfg Config

	mu           sync.Mutex
	zones        map[model.Zone]Owners
	ownersByPlan map[*model.Plan]Owners // cache, derived from zones
	states       map[key]*limitState
	rotation     int // number of summaries sent, for the rotation of their entries
}

// New returns a Limiter that knows of no other owner.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:          cfg.withDefaults(),
		zones:        map[model.Zone]Owners{cfg.Zone: {Live: 1, Published: 1}},
		ownersByPlan: make(map[*model.Plan]Owners),
		states:       make(map[key]*limitState),
	}
}

// SetOwners sets how many daemons own flows in each zone. An unreachable zone has no live owners.
func (l *Limiter) SetOwners(zones []ZoneOwners) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.zones)
	for _, z := range zones {
		l.zones[z.Zone] = z.Owners
	}
	clear(l.ownersByPlan)
}

// planOwners returns the number of owners that flows of a plan can have: those in the zones with targets of the
// plan's services, or those of all zones when no owner in those zones is live.
func (l *Limiter) planOwners(p *model.Plan) Owners {
	if owners, known := l.ownersByPlan[p]; known {
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
	l.ownersByPlan[p] = sum
	return sum
}

func (l *Limiter) allOwners() Owners {
	var sum Owners
	for _, o := range l.zones {
		sum = sum.add(o)
	}
	return sum
}

// Open counts a new flow of a customer and returns errkind.None, or returns the error kind of the limit that the
// flow would exceed.
func (l *Limiter) Open(now time.Time, c *model.Customer) errkind.Kind {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limitState(now, customerKey(c))
	s.limits = limitPair{open: c.Plan.OpenFlows, rate: c.Plan.NewFlowsPerSecond}
	s.owners = l.planOwners(c.Plan)
	s.recordRequest()
	if s.limits.open > 0 && !l.openLimitAllows(s) {
		return errkind.CustomerOpenLimit
	}
	if s.limits.rate > 0 && !l.takeRateToken(now, s) {
		return errkind.CustomerRateLimit
	}
	s.recordAdmission()
	return errkind.None
}

// Close records the end of a customer's flow.
func (l *Limiter) Close(now time.Time, c *model.Customer) {
	l.closeFlow(now, customerKey(c))
}

// TakeOver counts a customer's open flow that another owner admitted. It never refuses.
func (l *Limiter) TakeOver(now time.Time, c *model.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limitState(now, customerKey(c)).own.open++
}

// OpenTarget counts a new flow to a target and returns true, or returns false when the flow would exceed the
// target's connection limit.
func (l *Limiter) OpenTarget(now time.Time, t *model.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limitState(now, targetKey(t))
	s.limits = limitPair{open: t.MaxConnections}
	s.owners = l.zones[l.cfg.Zone]
	s.recordRequest()
	if !l.openLimitAllows(s) {
		return false
	}
	s.recordAdmission()
	return true
}

// TakeOverTarget counts an open flow to a target that another owner placed. It never refuses.
func (l *Limiter) TakeOverTarget(now time.Time, t *model.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limitState(now, targetKey(t)).own.open++
}

// CloseTarget records the end of a flow to a target.
func (l *Limiter) CloseTarget(now time.Time, t *model.Target) {
	l.closeFlow(now, targetKey(t))
}

func (l *Limiter) closeFlow(now time.Time, k key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limitState(now, k).recordEnd()
}

// limitState returns the state of a limit with its window advanced to now.
func (l *Limiter) limitState(now time.Time, k key) *limitState {
	s := l.states[k]
	if s == nil {
		s = &limitState{peers: make(map[model.MachineID]report), zones: make(map[model.Zone]report)}
		l.states[k] = s
	}
	s.advance(now, l.cfg.Window)
	return s
}

// openLimitAllows reports whether one more open flow stays within this owner's part of the remainder of a limit.
//
// The other owners' information about an owner may be as old as the window, so the count that they know is at
// least the owner's minimum in the window. Each owner therefore holds at most that minimum plus an even part of the
// remainder. All owners together then hold at most the sum of the minima and the remainder, which is the limit.
func (l *Limiter) openLimitAllows(s *limitState) bool {
	limit := float64(s.limits.open) * s.owners.reachableShare(l.cfg.MinOwnerShare)
	minimum := float64(s.minOpenInWindow())
	remaining := limit - minimum - float64(s.others.open)
	if remaining <= 0 || float64(s.own.open)+float64(s.others.open)+1 > limit {
		return false
	}
	return float64(s.own.open)+1 <= minimum+l.growthAllowance(s, remaining, float64(max(s.owners.Live, 1)))
}

// growthAllowance returns by how many flows an owner may grow per window when all owners together may grow by
// remaining flows. The part is remaining divided by the number of owners or, up to minGrowth, by the number of flows
// requested in the last window when that is smaller; otherwise a limit of few flows per owner could not be used.
// Fractions of a flow are rounded at random, with one random number per window.
func (l *Limiter) growthAllowance(s *limitState, remaining, owners float64) float64 {
	contenders := min(float64(max(s.own.requested, 1)+s.others.requested), owners)
	part := max(remaining/owners, min(minGrowth, remaining/contenders))
	if window := s.slot / slots; s.roundingWindow != window {
		s.roundingWindow, s.rounding = window, l.cfg.Rand.Float64()
	}
	return float64(int(part + s.rounding))
}

// takeRateToken takes a token from the bucket of this owner's part of a rate limit and reports whether there was one.
func (l *Limiter) takeRateToken(now time.Time, s *limitState) bool {
	rate := l.ownRate(s)
	depth := max(minBucketDepth, rate*l.cfg.Burst.Seconds())
	return s.bucket.take(now, rate, depth)
}

// ownRate returns this owner's part of a rate limit in flows per second: the rate in its last summary plus an even
// part of the rate that no owner reported as used. While reports exceed the limit, the reported rates are scaled
// down to it. The parts of all owners add up to the limit.
func (l *Limiter) ownRate(s *limitState) float64 {
	owners := s.owners.splitCount(l.cfg.MinOwnerShare)
	limit := float64(s.limits.rate) * s.owners.reachableShare(l.cfg.MinOwnerShare)
	window := l.cfg.Window.Seconds()
	own := float64(s.reported.admitted) / window
	total := own + float64(s.others.admitted)/window
	even := float64(s.limits.rate) / owners
	if total > limit {
		return (1-l.cfg.EvenShare)*own*limit/total + l.cfg.EvenShare*even
	}
	remaining := (limit - total) / float64(max(s.owners.Live, 1))
	return (1-l.cfg.EvenShare)*(own+remaining) + l.cfg.EvenShare*even
}

// RetryAfter returns the time after which a refused caller should retry: the base time of the error kind, with
// random jitter of up to the same amount added, so that callers do not retry all at once. 0 means that a retry is
// useless.
func RetryAfter(k errkind.Kind, rng *rand.Rand) time.Duration {
	base := errkind.RowOf(k).RetryAfter
	if base <= 0 {
		return 0
	}
	return base + time.Duration(rng.Int64N(int64(base)))
}
