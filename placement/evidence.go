package placement

import (
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Finding is what a probe of a target met.
type Finding uint8

const (
	// FoundNothing is a target that did not answer: it may be gone, cut off from here, or stand still.
	FoundNothing Finding = iota
	// FoundTarget is a target that is there.
	FoundTarget
	// FoundOther is an answer in the target's place, by its machine or by another target: it is gone.
	FoundOther
)

// Evidence is what this daemon's own connection attempts to a target met.
type Evidence struct {
	// MissesInRow is the number of attempts without an answer since the last answer.
	MissesInRow int
	// LastAnswer and LastMiss are the times of the last attempts with and without an answer; zero when
	// there was none.
	LastAnswer, LastMiss time.Time
	// FirstMiss is the time of the first attempt without an answer since the last answer.
	FirstMiss time.Time
	// MissedFlows is how often the flow of an attempt without an answer was another one than the flow before,
	// since the last answer.
	MissedFlows int
	// Strong counts the attempts since the last answer that a busy target would have answered.
	Strong int
	// ProbedAt is when the last probe of the target began, which tells of no time before; zero when there was none.
	// Connected is true where it found the target, Refused where something answered in its place.
	ProbedAt           time.Time
	Connected, Refused bool
	// ToldAt is when another daemon last said that it did not find the target, which has answered nothing here since; zero
	// when none did.
	ToldAt     time.Time
	lastMissed model.FlowHash
	// since is when this daemon learned of the target's present life; zero for the first one. Probes that began before
	// tell of another.
	since time.Time
}

// Probed reports whether a probe began since the first miss, so that it tells of the target in its silence.
func (e *Evidence) Probed() bool {
	return e.MissesInRow > 0 && !e.ProbedAt.Before(e.FirstMiss)
}

// absent reports whether a probe after the first miss found no target.
func (e *Evidence) absent() bool {
	return e.Probed() && !e.Connected
}

func (e *Evidence) answered(now time.Time) {
	e.MissesInRow, e.MissedFlows, e.Strong, e.lastMissed = 0, 0, 0, 0
	e.LastAnswer = now
	e.ToldAt = time.Time{}
}

func (e *Evidence) missed(now time.Time, h model.FlowHash, strong bool) {
	if strong {
		e.Strong++
	}
	if e.MissesInRow == 0 || now.Before(e.FirstMiss) {
		e.FirstMiss = now
	}
	if h != e.lastMissed {
		e.MissedFlows++
		e.lastMissed = h
	}
	e.MissesInRow++
	if now.After(e.LastMiss) {
		e.LastMiss = now
	}
}

// probed notes a probe that began at a time. Answers of probes may come in another order than they began.
func (e *Evidence) probed(began time.Time, found Finding) {
	if began.Before(e.ProbedAt) || began.Before(e.since) {
		return
	}
	e.ProbedAt, e.Connected, e.Refused = began, found == FoundTarget, found == FoundOther
}

// seen returns what attempts to the target met.
func (t *targetLoad) seen() Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evidence
}

// LatestAnswer returns the target of a zone that answered last, other than a given one and without a miss since; false
// where there is none.
func (l *LoadTable) LatestAnswer(zone model.Zone, except model.TargetID) (model.TargetID, bool) {
	var best model.TargetID
	var at time.Time
	for id, t := range *l.targets.Load() {
		if t.zone != zone || id == except {
			continue
		}
		e := t.seen()
		if e.MissesInRow == 0 && e.LastAnswer.After(at) {
			best, at = id, e.LastAnswer
		}
	}
	return best, !at.IsZero()
}

// Heard is how many targets of a zone answered lately.
type Heard struct {
	// Answering is the number of targets whose last attempt was answered, Missing that of the others.
	Answering, Missing int
}

// Mostly reports whether more of them answered than did not.
func (h Heard) Mostly() bool {
	return h.Answering > h.Missing
}

// Heard returns, for each zone, how many targets answered or left attempts unanswered since a time.
func (l *LoadTable) Heard(since time.Time) map[model.Zone]Heard {
	out := make(map[model.Zone]Heard)
	for _, t := range *l.targets.Load() {
		e := t.seen()
		h := out[t.zone]
		switch {
		case e.MissesInRow > 0 && e.LastMiss.After(since):
			h.Missing++
		case e.MissesInRow == 0 && e.LastAnswer.After(since):
			h.Answering++
		default:
			continue
		}
		out[t.zone] = h
	}
	return out
}
