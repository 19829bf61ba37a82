package edge

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

const (
	// probeInterval is the minimum time between two probes of one target because flows of this daemon missed
	// responses.
	probeInterval = 400 * time.Millisecond
	// reportedProbeInterval is the minimum time between two probes of one target if the second follows a report of
	// another daemon, and between two reports of it to others: about the time after which a failed target's
	// registration ends.
	reportedProbeInterval = 4 * time.Second
	// maxConcurrentProbes bounds the concurrent probes, maxQueuedProbes the queued ones. Further suspects are dropped.
	maxConcurrentProbes = 32
	maxQueuedProbes     = 256
	// massFailureTargets targets that this daemon's own probes find absent within massFailureWindow indicate that
	// more failed with them: a rack, or a group that is being replaced. The daemon then probes its other targets of
	// that zone, at most once per reportedProbeInterval.
	massFailureTargets = 3
	massFailureWindow  = time.Second
)

// probeReason is the reason for a probe.
type probeReason uint8

const (
	// reasonMissed: flows of this daemon missed responses from the target.
	reasonMissed probeReason = iota
	// reasonReported: another daemon did not find the target.
	reasonReported
	// reasonZone: other targets of the same zone failed.
	reasonZone
)

// String returns the reason's name in logs.
func (r probeReason) String() string {
	return [...]string{"missed", "told", "near"}[r]
}

// suspect is a target to be probed.
type suspect struct {
	target *model.Target
	reason probeReason
}

// probeQueue holds the queue of targets to be probed, and limits reports to other daemons and probes of whole zones.
type probeQueue struct {
	suspects chan suspect

	mu sync.Mutex
	// reported holds when each target was last reported to other daemons.
	reported map[model.TargetID]time.Time
	// failures holds when this daemon's own probes last found targets absent; zoneProbedAt is when it last probed
	// the other targets of a zone for that reason.
	failures     []time.Time
	zoneProbedAt time.Time
}

func newProbeQueue() *probeQueue {
	return &probeQueue{suspects: make(chan suspect, maxQueuedProbes), reported: make(map[model.TargetID]time.Time)}
}

// mayReport reports whether a target is to be reported to other daemons now, and records the report.
func (q *probeQueue) mayReport(now time.Time, id model.TargetID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if before, reported := q.reported[id]; reported && now.Sub(before) < reportedProbeInterval {
		return false
	}
	q.reported[id] = now
	return true
}

// recordFailure records that a target was found absent, and reports whether the other targets of its zone are to be
// probed.
func (q *probeQueue) recordFailure(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.failures = append(q.failures, now)
	q.failures = q.failures[max(len(q.failures)-massFailureTargets, 0):]
	if len(q.failures) < massFailureTargets || now.Sub(q.failures[0]) > massFailureWindow || now.Sub(q.zoneProbedAt) < reportedProbeInterval {
		return false
	}
	q.zoneProbedAt = now
	return true
}

// request requests a probe of a target from which flows of this daemon missed responses. It does not block.
func (q *probeQueue) request(t *model.Target) {
	q.enqueue(suspect{target: t})
}

func (q *probeQueue) enqueue(s suspect) {
	select {
	case q.suspects <- s:
	default:
		// The queue is full; the next missed response requests the probe again.
	}
}

// probeSuspects probes suspected targets until ctx ends.
func (d *Daemon) probeSuspects(ctx context.Context) error {
	var running errgroup.Group
	running.SetLimit(maxConcurrentProbes)
	last := make(map[model.TargetID]time.Time)
	for {
		select {
		case <-ctx.Done():
			return running.Wait()
		case s := <-d.probeQueue.suspects:
			now := time.Now()
			minInterval := probeInterval
			if s.reason == reasonReported {
				minInterval = reportedProbeInterval
			}
			if before, probed := last[s.target.ID]; probed && now.Sub(before) < minInterval {
				continue
			}
			last[s.target.ID] = now
			running.Go(func() error {
				// A panic is logged by Contain. The next missed response requests a probe again.
				_ = d.guard.Contain("probe", nil, func() { d.probeSuspect(ctx, s) })
				return nil
			})
		}
	}
}

// probeSuspect probes a suspected target and acts on the result.
func (d *Daemon) probeSuspect(ctx context.Context, s suspect) {
	s.target = d.currentTarget(s.target)
	start := time.Now()
	attempts := probeAttempts
	if s.reason == reasonReported {
		attempts = reportedProbeAttempts
	}
	result := d.probeTarget(ctx, s.target, attempts)
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	d.metrics.probes.Inc(1)
	d.log.Info("target probed", "op", "targets", "event", "probed", "target", s.target.Name, "address", s.target.Data,
		"connected", result == targetFound, "refused", result == targetReplaced, "conclusive", result != targetUnknown, "why", s.reason, "took_ms", now.Sub(start).Milliseconds())
	if result == targetUnknown || d.currentTarget(s.target).Data != s.target.Data {
		return
	}
	d.recordProbe(start, s, result)
	if result != targetFound && s.reason != reasonReported {
		d.reportAbsent(ctx, now, s)
	}
}

// currentTarget returns a target as it is in the lists in use: it may have restarted at another address since it was
// suspected.
func (d *Daemon) currentTarget(t *model.Target) *model.Target {
	if known := d.engine.Target(t.ID); known != nil {
		return known
	}
	return t
}

// recordProbe passes the result of a probe to the engine. began is the start of the probe: evidence from flows after it
// is newer than the result.
func (d *Daemon) recordProbe(began time.Time, s suspect, result probeResult) {
	outcome := placement.ProbeNoAnswer
	switch result {
	case targetFound:
		outcome = placement.ProbeConnected
	case targetReplaced:
		outcome = placement.ProbeRefused
	}
	if s.reason == reasonMissed || outcome == placement.ProbeConnected {
		d.engine.Probed(began, s.target.ID, outcome)
		return
	}
	d.engine.NotFound(began, s.target.ID, outcome)
}

// reportAbsent reports a target that was not found to the daemons of the zone, and probes more targets after several
// failures.
func (d *Daemon) reportAbsent(ctx context.Context, now time.Time, s suspect) {
	if d.probeQueue.mayReport(now, s.target.ID) {
		d.post(ctx, func(now time.Time) []news.Action { return d.controlLoop.news.ReportAbsentTarget(now, s.target.Name) })
	}
	if s.reason == reasonMissed && d.probeQueue.recordFailure(now) {
		d.probeZone(s.target)
	}
}

// probeZone requests probes of the targets in a failed target's zone that have flows of this daemon. Load pattern: a
// rack fails with many targets, each with few flows; callers would run into one failed target after the other.
func (d *Daemon) probeZone(failed *model.Target) {
	lists := d.engine.Lists()
	if lists == nil {
		return // without lists only open flows are forwarded
	}
	for _, svc := range lists.Services {
		for _, t := range svc.Targets {
			if t.Zone == failed.Zone && !t.Expired && t.ID != failed.ID && d.engine.Loads().Open(t.ID) > 0 {
				d.probeQueue.enqueue(suspect{target: t, reason: reasonZone})
			}
		}
	}
}
