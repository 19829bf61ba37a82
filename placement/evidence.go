package placement

import (
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// ProbeResult is the result of a probe of a target.
type ProbeResult uint8

const (
	// ProbeNoAnswer means that the probe got no answer. The target may have failed, be stalled or be unreachable
	// from this daemon.
	ProbeNoAnswer ProbeResult = iota
	// ProbeConnected means that the target answered the probe.
	ProbeConnected
	// ProbeRefused means that the target's machine, or another target at its address, answered instead. The target
	// no longer exists.
	ProbeRefused
)

// Evidence records how a target responded to this daemon's connection attempts and probes, and when another
// daemon last reported it as not found. A missed response is an attempt that the target did not answer in time.
type Evidence struct {
	// ConsecutiveMisses is the number of missed responses since the last answer.
	ConsecutiveMisses int
	// LastAnswer and LastMiss are the times of the last answer and the last missed response; zero when there was none.
	LastAnswer, LastMiss time.Time
	// FirstMiss is the time of the first missed response since the last answer.
	FirstMiss time.Time
	// MissedFlows counts the missed responses since the last answer that were on a different flow than the
	// preceding one.
	MissedFlows int
	// StrongMisses counts the missed responses since the last answer that a busy target would have answered.
	StrongMisses int
	// ProbedAt is when the last probe of the target began; zero when there was none. The probe is no evidence about
	// earlier times. Connected is true when the probe reached the target, Refused when something else answered in
	// the target's place.
	ProbedAt           time.Time
	Connected, Refused bool
	// PeerReportAt is when another daemon last reported that it did not find the target. An answer to this daemon
	// clears it; zero when there is no such report.
	PeerReportAt   time.Time
	lastMissedFlow model.FlowHash
	// instanceSince is when this daemon learned of the current instance of the target; zero for the first instance.
	// Probes that began earlier belong to a previous instance.
	instanceSince time.Time
}

// Probed reports whether the last probe began at or after the first missed response, so that its result applies to
// the present run of missed responses.
func (e *Evidence) Probed() bool {
	return e.ConsecutiveMisses > 0 && !e.ProbedAt.Before(e.FirstMiss)
}

// probeFailed reports whether the last probe began at or after the first missed response and did not reach the target.
func (e *Evidence) probeFailed() bool {
	return e.Probed() && !e.Connected
}

func (e *Evidence) recordAnswer(now time.Time) {
	e.ConsecutiveMisses, e.MissedFlows, e.StrongMisses, e.lastMissedFlow = 0, 0, 0, 0
	e.LastAnswer = now
	e.PeerReportAt = time.Time{}
}

func (e *Evidence) recordMiss(now time.Time, h model.FlowHash, strong bool) {
	if strong {
		e.StrongMisses++
	}
	if e.ConsecutiveMisses == 0 || now.Before(e.FirstMiss) {
		e.FirstMiss = now
	}
	if h != e.lastMissedFlow {
		e.MissedFlows++
		e.lastMissedFlow = h
	}
	e.ConsecutiveMisses++
	if now.After(e.LastMiss) {
		e.LastMiss = now
	}
}

// recordProbe records the result of a probe that began at the given time. Probes may complete in a different order
// than they began, so a result older than the recorded one is ignored, and so is one of a previous instance.
func (e *Evidence) recordProbe(began time.Time, result ProbeResult) {
	if began.Before(e.ProbedAt) || began.Before(e.instanceSince) {
		return
	}
	e.ProbedAt, e.Connected, e.Refused = began, result == ProbeConnected, result == ProbeRefused
}

// currentEvidence returns a copy of the target's evidence.
func (t *targetLoad) currentEvidence() Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evidence
}

// LastAnsweredTarget returns the target of a zone that answered most recently and has missed no response since,
// leaving out the target except. It returns false when there is none.
func (l *LoadTable) LastAnsweredTarget(zone model.Zone, except model.TargetID) (model.TargetID, bool) {
	var best model.TargetID
	var at time.Time
	for id, t := range *l.targets.Load() {
		if t.zone != zone || id == except {
			continue
		}
		e := t.currentEvidence()
		if e.ConsecutiveMisses == 0 && e.LastAnswer.After(at) {
			best, at = id, e.LastAnswer
		}
	}
	return best, !at.IsZero()
}

// ResponseCounts counts the targets of a zone by the outcome of their last recent attempt.
type ResponseCounts struct {
	// Responding is the number of targets that answered their last attempt, Unresponsive the number of those that
	// did not.
	Responding, Unresponsive int
}

// MostlyResponding reports whether more of the targets answered than did not.
func (c ResponseCounts) MostlyResponding() bool {
	return c.Responding > c.Unresponsive
}

// ResponseCounts returns, for each zone, how many targets answered and how many did not answer their last attempt after
// since. Targets without an attempt after since are not counted.
func (l *LoadTable) ResponseCounts(since time.Time) map[model.Zone]ResponseCounts {
	out := make(map[model.Zone]ResponseCounts)
	for _, t := range *l.targets.Load() {
		e := t.currentEvidence()
		h := out[t.zone]
		switch {
		case e.ConsecutiveMisses > 0 && e.LastMiss.After(since):
			h.Unresponsive++
		case e.ConsecutiveMisses == 0 && e.LastAnswer.After(since):
			h.Responding++
		default:
			continue
		}
		out[t.zone] = h
	}
	return out
}
