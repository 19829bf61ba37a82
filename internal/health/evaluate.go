package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// evaluation is the result of evaluating one target.
type evaluation struct {
	state  *state
	reason Reason
	// certainty is above 0 if the target is to be ejected. It orders targets: those with this daemon's
	// own evidence come first, then those with failed probes, then those that only other daemons report.
	certainty int
}

func (m *Monitor) evaluateService(now time.Time, svc *model.Service) []Change {
	var failing []evaluation
	var changes []Change
	total := 0
	for _, t := range svc.Targets {
		s := m.targets[t.ID]
		if t.Draining {
			changes = m.setHealth(now, s, false, ReasonDraining, changes)
			continue
		}
		total++
		v := m.evaluation(now, s)
		if v.certainty > 0 {
			failing = append(failing, v)
			continue
		}
		changes = m.setHealth(now, s, false, v.reason, changes)
	}
	slices.SortFunc(failing, func(a, b evaluation) int {
		return cmp.Or(cmp.Compare(b.certainty, a.certainty), cmp.Compare(a.state.target.ID, b.state.target.ID))
	})
	limit := int(m.cfg.MaxEjectedShare * float64(total))
	for i, v := range failing {
		if i < limit {
			changes = m.setHealth(now, v.state, true, v.reason, changes)
			continue
		}
		changes = m.setHealth(now, v.state, false, ReasonEjectionLimit, changes)
	}
	return changes
}

// setHealth stores a target's evaluation and appends to changes if Down has changed.
func (m *Monitor) setHealth(now time.Time, s *state, down bool, reason Reason, changes []Change) []Change {
	s.reason = reason
	if s.down == down {
		return changes
	}
	s.down = down
	s.since = now
	m.loads.SetDown(s.target.ID, down)
	return append(changes, Change{Target: s.target, Down: down, Reason: reason})
}

// The degrees of certainty of an evaluation.
const (
	certaintyNone = iota
	certaintyPeers
	certaintyProbes
	certaintyOwn
)

func (m *Monitor) evaluation(now time.Time, s *state) evaluation {
	own := m.loads.Evidence(s.target.ID)
	combined := m.combineResults(now, s)
	m.updateEjection(now, s, own, combined)
	responds := own.ConsecutiveMisses == 0 && m.recent(now, own.LastAnswer)
	switch {
	case now.Before(s.ejectedUntil) && own.ConsecutiveMisses > 0:
		return evaluation{state: s, reason: ReasonUnresponsive, certainty: certaintyOwn}
	case now.Before(s.ejectedUntil):
		return evaluation{state: s, reason: ReasonPeersUnresponsive, certainty: certaintyPeers}
	case combined.down && responds:
		return evaluation{state: s, reason: ReasonOnlyProbesFail}
	case combined.down:
		return evaluation{state: s, reason: ReasonProbesFail, certainty: certaintyProbes}
	default:
		return evaluation{state: s, reason: m.reportFault(s)}
	}
}

// recent reports whether evidence from time at still counts.
func (m *Monitor) recent(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < m.cfg.EvidenceLifetime
}

// updateEjection starts an ejection if enough connection attempts in a row got no response. The time doubles
// if the target is still unresponsive when it is tried again. A response ends the ejection.
func (m *Monitor) updateEjection(now time.Time, s *state, own placement.Evidence, combined combinedResults) {
	if own.LastAnswer.After(s.ejectedAt) && own.ConsecutiveMisses == 0 {
		s.ejectionTime = 0
		s.ejectedUntil = time.Time{}
	}
	if now.Sub(s.ejectedUntil) >= m.cfg.MaxEjectionTime {
		s.ejectionTime = 0
	}
	if now.Before(s.ejectedUntil) || !m.isUnresponsive(now, s, own, combined) {
		return
	}
	s.ejectionTime = min(max(2*s.ejectionTime, m.cfg.EjectionTime), m.cfg.MaxEjectionTime)
	s.ejectedAt = now
	s.ejectedUntil = now.Add(s.ejectionTime)
}

// isUnresponsive reports whether a target that is not ejected has missed too many responses.
func (m *Monitor) isUnresponsive(now time.Time, s *state, own placement.Evidence, combined combinedResults) bool {
	needed := m.cfg.EjectAfterMisses
	if s.ejectionTime > 0 {
		needed = 1
	}
	if own.ConsecutiveMisses > 0 {
		// Attempts from before the ejection may still time out after it; they do not count.
		return own.LastMiss.After(s.ejectedUntil) && own.ConsecutiveMisses+combined.misses >= needed
	}
	return combined.missReporters >= 2 && combined.misses >= needed && !m.recent(now, own.LastAnswer)
}

// combinedResults holds the results of the probers and the reports of the other daemons on a target.
type combinedResults struct {
	// down is true if most probers consider the target down.
	down bool
	// misses is the sum of the missed responses of other daemons; missReporters is the number of those daemons.
	misses, missReporters int
}

// combineResults combines the results that are recent enough and drops the others.
func (m *Monitor) combineResults(now time.Time, s *state) combinedResults {
	var combined combinedResults
	votes, downVotes := 0, 0
	if m.ownProbesCurrent(now, s) {
		votes++
		downVotes += boolToInt(s.probeDown)
	}
	for from, h := range s.peerSummaries {
		if now.Sub(h.at) >= m.cfg.ResultLifetime {
			delete(s.peerSummaries, from)
			continue
		}
		votes += boolToInt(h.summary.Probed)
		downVotes += boolToInt(h.summary.Probed && h.summary.ProbeDown)
		if h.at.After(s.ejectedUntil) {
			combined.misses += int(h.summary.Misses)
			combined.missReporters += boolToInt(h.summary.Misses > 0)
		}
	}
	combined.down = downVotes*2 > votes
	return combined
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
