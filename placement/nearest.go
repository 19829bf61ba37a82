package placement

import (
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// NearestConfig configures Nearest. Zero values select the defaults.
type NearestConfig struct {
	// Speeds knows which targets are slow. Default: none is.
	Speeds Speeds
	// Zone is the availability zone of the daemon.
	Zone model.Zone
	// Samples is the number of targets that are compared for a flow; default 3. A higher number makes daemons
	// with the same view more likely to choose the same target at the same moment.
	Samples int
	// LocalShare is the fraction of an even share of the service's slots that a zone must hold to keep all flows
	// of its own callers, 0 to 1; default 1. A zone that holds less spills flows into other zones in proportion, so
	// that the targets of small zones are loaded no more than others.
	LocalShare float64
	// MaxLocalRecent is the mean number of recently placed flows (see Observation.Recent) per slot of the daemon's
	// own zone above which flows spill into other zones in proportion; default 0.5. Such rates occur when callers
	// of other zones use this daemon because the daemons of their own zone are unavailable.
	MaxLocalRecent float64
	// SuspectMisses is the number of consecutive unanswered attempts that makes a target suspect; default 2.
	// Suspect targets are avoided.
	SuspectMisses int
	// SuspectTime is how long a target stays suspect after its last unanswered attempt; default 1 s. The next flow
	// then tests the target. The time grows in proportion to the consecutive missed responses beyond
	// SuspectMisses, up to MaxSuspectTime; default 4 s, which is about the time in which a failed target's
	// registration expires.
	SuspectTime, MaxSuspectTime time.Duration
	// WarmupFactor is the factor by which the load of a target that is warming up is multiplied; default 2.
	WarmupFactor float64
	// Warmup limits the flows to targets that warm up and have a published rate; nil limits none.
	Warmup WarmupGate
}

func (c NearestConfig) withDefaults() NearestConfig {
	if c.Samples <= 0 {
		c.Samples = 3
	}
	if c.LocalShare <= 0 {
		c.LocalShare = 1
	}
	if c.MaxLocalRecent <= 0 {
		c.MaxLocalRecent = 0.5
	}
	if c.SuspectMisses <= 0 {
		c.SuspectMisses = 2
	}
	if c.SuspectTime <= 0 {
		c.SuspectTime = time.Second
	}
	if c.MaxSuspectTime <= 0 {
		c.MaxSuspectTime = 4 * time.Second
	}
	if c.WarmupFactor <= 0 {
		c.WarmupFactor = 2
	}
	return c
}

// Speeds knows how fast targets respond. It must be safe for concurrent use.
type Speeds interface {
	// Slowness returns how many times longer a target takes than others that could take the flow; 1 or more.
	Slowness(id model.TargetID) float64
}

// suspectDuration returns how long a target with the given number of consecutive missed responses stays suspect.
func (c NearestConfig) suspectDuration(misses int) time.Duration {
	return min(c.SuspectTime*time.Duration(max(misses-c.SuspectMisses, 1)), c.MaxSuspectTime)
}

// Nearest is a zone-local policy. It keeps flows in the daemon's availability zone while that zone holds its
// share of the service's slots, and chooses the least loaded of a few targets selected by the flow's hash.
//
// Load pattern: many daemons, each of which sees only its own flows. Hashes select different targets in each
// daemon, so daemons with equal counts do not all choose the same target at once.
type Nearest struct {
	cfg NearestConfig
}

// NewNearest returns the policy.
func NewNearest(cfg NearestConfig) *Nearest {
	return &Nearest{cfg: cfg.withDefaults()}
}

// healthTier is a target's health class, the best first. Targets of a tier are chosen only when no target of a better
// tier can take the flow.
type healthTier uint8

const (
	// tierHealthy holds targets without any sign of failure.
	tierHealthy healthTier = iota
	// tierReportedNotFound holds targets that another daemon reported as not found and that this daemon has not
	// itself found to be unresponsive.
	tierReportedNotFound
	// tierSuspect holds targets that recently left attempts or a probe of this daemon unanswered.
	tierSuspect
	// tierExpired holds targets whose registration expired without notice.
	tierExpired
	tierCount
)

// targetState is the evaluation of one target for one flow.
type targetState struct {
	tier   healthTier
	usable bool
	local  bool
	// recentFlows is the target's Observation.Recent.
	recentFlows float64
}

// tierSummary summarizes the usable targets of a tier.
type tierSummary struct {
	// local and remote are the numbers of targets inside and outside the daemon's own zone.
	local, remote int
	// localSlots and slots are the numbers of slots in the daemon's own zone and in all zones.
	localSlots, slots uint32
	// localRecent is the sum of Observation.Recent over the targets of the daemon's own zone.
	localRecent float64
}

// evaluation is the evaluation of all targets of a service for one flow; states runs parallel to the targets.
// atLimit is true when at least one target is excluded only by its connection limit, warming when one is excluded only
// because it warms up.
type evaluation struct {
	states           []targetState
	tiers            [tierCount]tierSummary
	atLimit, warming bool
}

// Choose implements Policy.
func (p *Nearest) Choose(now time.Time, h model.FlowHash, st *ServiceTable, l Loads) (*model.Target, errkind.Kind) {
	if st == nil {
		return nil, errkind.NoTargetReachable
	}
	var scratch [stackTargets * 2]targetState
	v := evaluation{states: scratch[:0]}
	for _, t := range st.targets {
		v.add(t, p.evaluateTarget(now, t, l, &v))
	}
	if v.tiers[tierReportedNotFound].slots > v.tiers[tierHealthy].slots {
		v.ignorePeerReports(st)
	}
	for tier := range tierCount {
		if s := &v.tiers[tier]; s.local+s.remote > 0 {
			return p.leastLoadedSample(now, h, st, l, tier, &v), errkind.None
		}
	}
	switch {
	case v.warming:
		return nil, errkind.TargetsWarming
	case v.atLimit:
		return nil, errkind.ServiceFull
	}
	return nil, noTargetKind(st.targets)
}

func (v *evaluation) add(t *model.Target, s targetState) {
	v.states = append(v.states, s)
	if !s.usable {
		return
	}
	summary := &v.tiers[s.tier]
	summary.slots += max(t.Slots, 1)
	if !s.local {
		summary.remote++
		return
	}
	summary.local++
	summary.localSlots += max(t.Slots, 1)
	summary.localRecent += s.recentFlows
}

// ignorePeerReports treats the targets that other daemons reported as not found as healthy.
//
// Load pattern: a daemon that is cut off from most targets reports them as not found. If the other daemons
// believed it, all their flows would go to the few remaining targets.
func (v *evaluation) ignorePeerReports(st *ServiceTable) {
	states := v.states
	v.states, v.tiers = states[:0], [tierCount]tierSummary{}
	for i, t := range st.targets {
		s := states[i]
		if s.tier == tierReportedNotFound {
			s.tier = tierHealthy
		}
		v.add(t, s)
	}
}

// evaluateTarget evaluates a target and records in v when only its connection limit or its warm-up excludes it.
func (p *Nearest) evaluateTarget(now time.Time, t *model.Target, l Loads, v *evaluation) targetState {
	s := targetState{local: t.Zone == p.cfg.Zone}
	if !t.TakesNewFlows() {
		return s
	}
	o := l.Observe(now, t.ID)
	if o.Down {
		return s
	}
	if t.MaxConnections > 0 && o.Open >= int(t.MaxConnections) {
		v.atLimit = true
		return s
	}
	if p.cfg.Warmup != nil && !p.cfg.Warmup.MayOffer(now, t) {
		v.warming = true
		return s
	}
	s.usable = true
	s.recentFlows = o.Recent
	switch {
	case t.Expired:
		s.tier = tierExpired
	case o.ProbeFailed && now.Sub(o.FailedProbeAt) < p.cfg.MaxSuspectTime,
		o.ConsecutiveMisses >= p.cfg.SuspectMisses && now.Sub(o.LastMiss) < p.cfg.suspectDuration(o.ConsecutiveMisses):
		s.tier = tierSuspect
	case !o.PeerReportAt.IsZero() && now.Sub(o.PeerReportAt) < p.cfg.MaxSuspectTime:
		s.tier = tierReportedNotFound
	}
	return s
}

// keepsLocal reports whether a flow goes to a target of the daemon's own zone. The share of flows that stay is the
// zone's slots divided by LocalShare times an even share, reduced while more than MaxLocalRecent flows per slot
// were placed recently.
func (p *Nearest) keepsLocal(h model.FlowHash, st *ServiceTable, s *tierSummary) bool {
	if s.local == 0 || s.remote == 0 {
		return s.remote == 0
	}
	localFraction := float64(s.localSlots) / p.evenSlots(st, s)
	if pressure := s.localRecent / float64(s.localSlots) / p.cfg.MaxLocalRecent; pressure > 1 {
		localFraction = min(localFraction, 1) / pressure
	}
	return localFraction >= 1 || unitInterval(h, model.TargetID(zoneSalt)) < localFraction
}

// evenSlots returns LocalShare times a zone's even share of the slots. Zones whose targets are drained count, since
// their callers stay.
func (p *Nearest) evenSlots(st *ServiceTable, s *tierSummary) float64 {
	return float64(s.slots) / float64(len(st.zones)) * p.cfg.LocalShare
}

// zoneSalt and targetSalt are salts that make the hash values for one flow independent of each other.
const (
	zoneSalt   = 0x5a6f6e65
	targetSalt = 0x54617267
)

// leastLoadedSample returns the least loaded of up to Samples targets of a tier, selected by the flow's hash.
func (p *Nearest) leastLoadedSample(now time.Time, h model.FlowHash, st *ServiceTable, l Loads, tier healthTier, v *evaluation) *model.Target {
	c := p.candidatesFor(h, st, tier, v)
	var best *model.Target
	var bestLoad float64
	for i := range p.cfg.Samples {
		n := int(unitInterval(h, model.TargetID(targetSalt+i)) * float64(c.count))
		t := st.targets[v.nthCandidate(st, c, n)]
		load := p.load(now, t, l)
		if best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	return best
}

// load returns the target's open flows per slot, the flow to be placed included, multiplied by WarmupFactor
// while the target is warming up.
func (p *Nearest) load(now time.Time, t *model.Target, l Loads) float64 {
	load := float64(l.Open(t.ID)+1) / float64(max(t.Slots, 1))
	if now.Before(t.WarmUntil) {
		load *= p.cfg.WarmupFactor
	}
	if p.cfg.Speeds != nil {
		load *= p.cfg.Speeds.Slowness(t.ID)
	}
	return load
}
