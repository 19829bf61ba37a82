package placement

import (
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// NearestConfig configures Nearest. Zero values take the defaults.
type NearestConfig struct {
	// Zone is the availability zone of the daemon.
	Zone model.Zone
	// Samples is the number of targets that are compared for a flow; default 3. More of them let daemons
	// with the same view choose the same target at the same moment.
	Samples int
	// LocalShare is the part of its even share of a service's slots that a zone must hold to take all of its
	// own callers' flows, 0 to 1; default 1. Below it, flows spill into other zones in proportion, so that zones
	// with fewer targets load them no more than others.
	LocalShare float64
	// LocalRecent is the number of flows that the daemon may have placed lately on each slot of its own zone;
	// default 0.5. Beyond it flows spill into other zones in proportion: callers of other zones come here
	// while their own daemons are away.
	LocalRecent float64
	// SuspectMisses is the number of attempts in a row without an answer that put a target aside; default 2.
	SuspectMisses int
	// SuspectTime is how long after its last unanswered attempt a target stays aside; default 1 s. The flow
	// that it gets then is the trial that decides about the next. It grows with the misses up to
	// MaxSuspectTime; default 4 s, about the time in which a dead target's registration ends.
	SuspectTime, MaxSuspectTime time.Duration
	// ColdFactor is how much more an open flow counts on a target that warms up; default 2.
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

// suspectTime returns how long a target with a number of misses in a row stays aside.
func (c NearestConfig) suspectTime(misses int) time.Duration {
	return min(c.SuspectTime*time.Duration(max(misses-c.SuspectMisses, 1)), c.MaxSuspectTime)
}

// Nearest keeps flows in the caller's availability zone while it has its share of a service's slots, and
// takes the least loaded of a few targets that the flow's hash draws. It answers the load pattern of many
// daemons that each see only their own flows: hashes draw different targets in each, so that daemons with
// equal counts do not choose the same target at once.
type Nearest struct {
	cfg NearestConfig
}

// NewNearest returns the policy.
func NewNearest(cfg NearestConfig) *Nearest {
	return &Nearest{cfg: cfg.withDefaults()}
}

// tier ranks targets by what speaks against them. A target of a lower tier is taken only where no better
// one can take the flow.
type tier uint8

const (
	tierSound tier = iota
	// tierTold is a target that another daemon did not find and of which this one knows nothing.
	tierTold
	tierSuspect
	tierLapsed
	tierCount
)

// standing is what one look at a target says of it.
type standing struct {
	rank   tier
	usable bool
	local  bool
	// recent is the target's Observation.Recent.
	recent float64
}

// supply is what one look over a service's targets finds for a tier.
type supply struct {
	// local and remote count the targets of the own zone and of the other ones.
	local, remote int
	// localSlots and slots are those of the own zone and of all zones.
	localSlots, slots uint32
	// localRecent sums up what was placed lately in the own zone.
	localRecent float64
}

// survey is one look over a service's targets; standings runs parallel to them.
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

// trustToldTargets takes the targets that others did not find for sound ones. It answers the load pattern of a daemon that is
// cut off from most targets and tells the others, whose flows would crowd on the few that are left.
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

// look returns what is known of a target, and sets full where only its connection limit speaks against it.
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

// stays reports whether a flow goes to a target of the own zone.
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

// zoneDraw and targetDraw keep the draws for one flow independent of each other.
const (
	zoneDraw   = 0x5a6f6e65
	targetDraw = 0x54617267
)

// draw returns the least loaded of a few targets of a tier that the flow's hash names.
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

// nth returns the index of the n-th usable target of a tier in the own zone or outside it; there are more than n.
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

// load returns the target's open flows for each slot, with the flow to be placed.
func (p *Nearest) load(now time.Time, t *model.Target, l Loads) float64 {
	load := float64(l.Open(t.ID)+1) / float64(max(t.Slots, 1))
	if now.Before(t.WarmUntil) {
		load *= p.cfg.ColdFactor
	}
	return load
}
