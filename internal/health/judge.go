package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// verdict is the evaluation of a target.
type verdict struct {
	state  *state
	reason Reason
	// certainty is above 0 if the target is to be ejected. It orders targets: those with own evidence
	// come first, then those with failed probes, then those that only other daemons report.
	certainty int
}

func (m *Monitor) judge(now time.Time, svc *model.Service) []Change {
	var bad []verdict
	var changes []Change
	present := 0
	for _, t := range svc.Targets {
		s := m.targets[t.ID]
		if t.Leaving {
			changes = m.settle(now, s, false, ReasonLeaving, changes)
			continue
		}
		present++
		v := m.verdict(now, s)
		if v.certainty > 0 {
			bad = append(bad, v)
			continue
		}
		changes = m.settle(now, s, false, v.reason, changes)
	}
	slices.SortFunc(bad, func(a, b verdict) int {
		return cmp.Or(cmp.Compare(b.certainty, a.certainty), cmp.Compare(a.state.target.ID, b.state.target.ID))
	})
	aside := int(m.cfg.PanicShare * float64(present))
	for i, v := range bad {
		if i < aside {
			changes = m.settle(now, v.state, true, v.reason, changes)
			continue
		}
		changes = m.settle(now, v.state, false, ReasonPanic, changes)
	}
	return changes
}

// settle stores a target's evaluation and appends to changes if Down has changed.
func (m *Monitor) settle(now time.Time, s *state, down bool, reason Reason, changes []Change) []Change {
	s.reason = reason
	if s.down == down {
		return changes
	}
	s.down = down
	s.since = now
	m.loads.SetDown(s.target.ID, down)
	return append(changes, Change{Target: s.target, Down: down, Reason: reason})
}

// The degrees of certainty of a verdict.
const (
	certaintyNone = iota
	certaintyPeers
	certaintyProbes
	certaintyOwn
)

func (m *Monitor) verdict(now time.Time, s *state) verdict {
	own := m.loads.Evidence(s.target.ID)
	told := m.hear(now, s)
	m.holdSilent(now, s, own, told)
	answers := own.MissesInRow == 0 && m.recent(now, own.LastAnswer)
	switch {
	case now.Before(s.holdUntil) && own.MissesInRow > 0:
		return verdict{state: s, reason: ReasonSilent, certainty: certaintyOwn}
	case now.Before(s.holdUntil):
		return verdict{state: s, reason: ReasonPeersSilent, certainty: certaintyPeers}
	case told.down && answers:
		return verdict{state: s, reason: ReasonAnswersAnyway}
	case told.down:
		return verdict{state: s, reason: ReasonProbesFail, certainty: certaintyProbes}
	default:
		return verdict{state: s, reason: m.doubt(s)}
	}
}

// recent reports whether evidence from time at still counts.
func (m *Monitor) recent(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < m.cfg.AnswerLifetime
}

// holdSilent starts an ejection if enough connection attempts in a row got no response. The time doubles
// if the target is still unresponsive when it is tried again. A response ends the ejection.
func (m *Monitor) holdSilent(now time.Time, s *state, own placement.Evidence, told opinion) {
	if own.LastAnswer.After(s.holdFrom) && own.MissesInRow == 0 {
		s.hold = 0
		s.holdUntil = time.Time{}
	}
	if now.Sub(s.holdUntil) >= m.cfg.MaxHold {
		s.hold = 0
	}
	if now.Before(s.holdUntil) || !m.silent(now, s, own, told) {
		return
	}
	s.hold = min(max(2*s.hold, m.cfg.Hold), m.cfg.MaxHold)
	s.holdFrom = now
	s.holdUntil = now.Add(s.hold)
}

// silent reports whether a target that is not ejected has missed too many responses.
func (m *Monitor) silent(now time.Time, s *state, own placement.Evidence, told opinion) bool {
	needed := m.cfg.SilentAfter
	if s.hold > 0 {
		needed = 1
	}
	if own.MissesInRow > 0 {
		// Attempts from before the ejection may still time out after it; they do not count.
		return own.LastMiss.After(s.holdUntil) && own.MissesInRow+told.misses >= needed
	}
	return told.missers >= 2 && told.misses >= needed && !m.recent(now, own.LastAnswer)
}

// opinion combines the results of the probers and the reports of the other daemons on a target.
type opinion struct {
	// down is true if most probers consider the target down.
	down bool
	// misses is the sum of the missed responses of other daemons; missers is the number of those daemons.
	misses, missers int
}

// hear combines the results that are recent enough and drops the others.
func (m *Monitor) hear(now time.Time, s *state) opinion {
	var o opinion
	votes, downs := 0, 0
	if m.current(now, s) {
		votes++
		downs += one(s.probeDown)
	}
	for from, h := range s.peers {
		if now.Sub(h.at) >= m.cfg.ResultLifetime {
			delete(s.peers, from)
			continue
		}
		votes += one(h.summary.Probed)
		downs += one(h.summary.Probed && h.summary.ProbeDown)
		if h.at.After(s.holdUntil) {
			o.misses += int(h.summary.Misses)
			o.missers += one(h.summary.Misses > 0)
		}
	}
	o.down = downs*2 > votes
	return o
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
