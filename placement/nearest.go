package placement

import (
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// NearestConfig configures Nearest. Zero values select the defaults.
type NearestConfig struct {
	// Zone is the availability zone of the daemon.
	Zone model.Zone
	// Samples is the number of targets that are compared for a flow; default 3. A higher number makes daemons
	// with the same view more likely to choose the same target at the same moment.
	Samples int
	// LocalShare is the fraction of an even share of the service's slots that a zone must hold to keep all flows
	// of its own callers, 0 to 1; default 1. A zone with less spills flows into other zones in proportion, so
	// that the targets of small zones are loaded no more than others.
	LocalShare float64
	// LocalRecent is the mean number of recently placed flows (see Observation.Recent) per slot of the daemon's
	// own zone above which flows spill into other zones in proportion; default 0.5. Such rates occur when callers
	// of other zones use this daemon because the daemons of their own zone are unavailable.
	LocalRecent float64
	// SuspectMisses is the number of consecutive unanswered attempts that makes a target suspect; default 2.
	// Suspect targets are avoided.
	SuspectMisses int
	// SuspectTime is how long a target stays suspect after its last unanswered attempt; default 1 s. The next flow
	// then tests the target. The time grows in proportion to the consecutive misses beyond SuspectMisses, up to
	// MaxSuspectTime; default 4 s, which is about the time in which a failed target's registration expires.
	SuspectTime, MaxSuspectTime time.Duration
	// ColdFactor is the factor by which the load of a target that is warming up is multiplied; default 2.
	ColdFactor float64
}

func (c NearestConfig) withDefaults() NearestConfig {
	if c.Samples <= 0 {
		c.Samples = 3
	}
	if c.LocalShare <= 0 {
		c.LocalShare = 1
	}
	if c.LocalRecent <= 0 {
		c.LocalRecent = 0.5
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
	if c.ColdFactor <= 0 {
		c.ColdFactor = 2
	}
	return c
}

// suspectTime returns how long a target with the given number of consecutive misses stays suspect.
func (c NearestConfig) suspectTime(misses int) time.Duration {
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

// tier is a target's health class, the best first. Targets of a tier are chosen only when no target of a better
// tier can take the flow.
type tier uint8

const (
	// tierSound holds targets without any sign of failure.
	tierSound tier = iota
	// tierTold holds targets that another daemon reported as not found and that this daemon has not itself found
	// to be unresponsive.
	tierTold
	// tierSuspect holds targets that recently left attempts or a probe of this daemon unanswered.
	tierSuspect
	// tierLapsed holds targets whose registration expired without notice.
	tierLapsed
	tierCount
)

// standing is the evaluation of one target for one flow.
type standing struct {
	rank   tier
	usable bool
	local  bool
	// recent is the target's Observation.Recent.
	recent float64
}

// supply summarizes the usable targets of a tier.
type supply struct {
	// local and remote are the numbers of targets inside and outside the daemon's own zone.
	local, remote int
	// localSlots and slots are the numbers of slots in the daemon's own zone and in all zones.
	localSlots, slots uint32
	// localRecent is the sum of Observation.Recent over the targets of the daemon's own zone.
	localRecent float64
}

// survey is the evaluation of all targets of a service for one flow; standings runs parallel to the targets. full
// is true when at least one target is excluded only by its connection limit.
type survey struct {
	standings []standing
	tiers     [tierCount]supply
	full      bool
}

// Choose implements Policy.
func (p *Nearest) Choose(now time.Time, h model.FlowHash, st *ServiceTable, l Loads) (*model.Target, errkind.Kind) {
	if st == nil {
		return nil, errkind.NoTargetReachable
	}
	var scratch [stackTargets * 2]standing
	v := survey{standings: scratch[:0]}
	for _, t := range st.targets {
		v.add(t, p.look(now, t, l, &v.full))
	}
	if v.tiers[tierTold].slots > v.tiers[tierSound].slots {
		v.trustToldTargets(st)
	}
	for rank := range tierCount {
		if s := &v.tiers[rank]; s.local+s.remote > 0 {
			return p.draw(now, h, st, l, rank, &v), errkind.None
		}
	}
	if v.full {
		return nil, errkind.ServiceFull
	}
	return nil, errkind.NoTargetReachable
}

func (v *survey) add(t *model.Target, s standing) {
	v.standings = append(v.standings, s)
	if !s.usable {
		return
	}
	tier := &v.tiers[s.rank]
	tier.slots += max(t.Slots, 1)
	if !s.local {
		tier.remote++
		return
	}
	tier.local++
	tier.localSlots += max(t.Slots, 1)
	tier.localRecent += s.recent
}

// trustToldTargets treats the targets reported by other daemons as sound.
//
// Load pattern: a daemon that is cut off from most targets reports them as not found. If the other daemons
// believed it, all their flows would go to the few remaining targets.
func (v *survey) trustToldTargets(st *ServiceTable) {
	standings := v.standings
	v.standings, v.tiers = standings[:0], [tierCount]supply{}
	for i, t := range st.targets {
		s := standings[i]
		if s.rank == tierTold {
			s.rank = tierSound
		}
		v.add(t, s)
	}
}

// look evaluates a target and sets full when only its connection limit excludes it.
func (p *Nearest) look(now time.Time, t *model.Target, l Loads, full *bool) standing {
	s := standing{local: t.Zone == p.cfg.Zone}
	if t.Leaving {
		return s
	}
	o := l.Observe(now, t.ID)
	if o.Down {
		return s
	}
	if t.MaxConnections > 0 && o.Open >= int(t.MaxConnections) {
		*full = true
		return s
	}
	s.usable = true
	s.recent = o.Recent
	switch {
	case t.Lapsed:
		s.rank = tierLapsed
	case o.Absent && now.Sub(o.AbsentAt) < p.cfg.MaxSuspectTime,
		o.MissesInRow >= p.cfg.SuspectMisses && now.Sub(o.LastMiss) < p.cfg.suspectTime(o.MissesInRow):
		s.rank = tierSuspect
	case !o.ToldAt.IsZero() && now.Sub(o.ToldAt) < p.cfg.MaxSuspectTime:
		s.rank = tierTold
	}
	return s
}

// stays reports whether a flow goes to a target of the daemon's own zone.
func (p *Nearest) stays(h model.FlowHash, st *ServiceTable, s *supply) bool {
	if s.local == 0 || s.remote == 0 {
		return s.remote == 0
	}
	even := float64(s.slots) / float64(len(st.zones))
	keep := float64(s.localSlots) / (even * p.cfg.LocalShare)
	if pressure := s.localRecent / float64(s.localSlots) / p.cfg.LocalRecent; pressure > 1 {
		keep = min(keep, 1) / pressure
	}
	return keep >= 1 || unitInterval(h, model.TargetID(zoneDraw)) < keep
}

// zoneDraw and targetDraw are salts that make the hash values for one flow independent of each other.
const (
	zoneDraw   = 0x5a6f6e65
	targetDraw = 0x54617267
)

// draw returns the least loaded of up to Samples targets of a tier, selected by the flow's hash.
func (p *Nearest) draw(now time.Time, h model.FlowHash, st *ServiceTable, l Loads, rank tier, v *survey) *model.Target {
	s := &v.tiers[rank]
	local := p.stays(h, st, s)
	count := s.remote
	if local {
		count = s.local
	}
	var best *model.Target
	var bestLoad float64
	for i := range p.cfg.Samples {
		n := int(unitInterval(h, model.TargetID(targetDraw+i)) * float64(count))
		t := st.targets[v.nth(rank, local, n)]
		load := p.load(now, t, l)
		if best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	return best
}

// nth returns the index of the n-th usable target of a tier, counted from 0, inside or outside the daemon's own
// zone. There must be more than n of them.
func (v *survey) nth(rank tier, local bool, n int) int {
	for i, s := range v.standings {
		if !s.usable || s.rank != rank || s.local != local {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return 0
}

// load returns the target's open flows per slot, the flow to be placed included, multiplied by ColdFactor while the
// target is warming up.
func (p *Nearest) load(now time.Time, t *model.Target, l Loads) float64 {
	load := float64(l.Open(t.ID)+1) / float64(max(t.Slots, 1))
	if now.Before(t.WarmUntil) {
		load *= p.cfg.ColdFactor
	}
	return load
}
