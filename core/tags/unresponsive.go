package tags

import (
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// A target that fails without notice leaves its callers waiting until they time out. Their retransmissions show the
// failure seconds before the target's registration ends. The thresholds favour live targets: any packet from the
// target, on any flow, clears its missed responses.
const (
	// unresponsiveMisses is the number of missed responses, and unresponsiveFlows that of the flows they belong to,
	// from which a target counts as unresponsive if probes are not available. A single flow may have lost its network
	// path.
	unresponsiveMisses = 3
	unresponsiveFlows  = 2
	// unresponsiveStrong is how many of the missed responses must be strong, which means that a busy target would
	// have answered: a SYN, or data that was retransmitted strongRetransmits times. A target that works on a request
	// acknowledges the first retransmission.
	unresponsiveStrong = 1
	strongRetransmits  = 2
	// unresponsiveSpan is the time that the missed responses must span. It exceeds one retransmission, so that a
	// short loss on a link does not count as a failure.
	unresponsiveSpan = 200 * time.Millisecond
	// missDelay is the time from a packet to the missed response that it causes: the first retransmission timeout.
	missDelay = 200 * time.Millisecond
	// handshakeTimeout is how long a caller has to acknowledge a target's answer to the SYN: several round trips to
	// another zone, and less than the SYN retransmission timeout. If the target's recent handshakes took longer than
	// handshakeTimeout divided by slowHandshakeFactor, as in another region or under load, slowHandshakeTimeout
	// applies.
	handshakeTimeout     = 60 * time.Millisecond
	slowHandshakeTimeout = 120 * time.Millisecond
	slowHandshakeFactor  = 4
	// stalledTickGap is the time between two ticks from which the daemon counts as having been stalled: twice the
	// usual interval.
	stalledTickGap = 100 * time.Millisecond
	// probeInterval is the minimum time between two probes of one target.
	probeInterval = 500 * time.Millisecond
	// failedProbeTTL is how long the result of a probe that did not find the target is valid, from the probe's start:
	// the half second for which the target must be unresponsive, plus a few ticks. After that a new probe has to
	// decide.
	failedProbeTTL = 700 * time.Millisecond
	// answerWindow is how far back answers of other targets count as proof that this daemon's own network works. It
	// exceeds the longest time between two retransmissions, 1.6 s.
	answerWindow = 2 * time.Second
	// lateHandshakeWeight is the weight of one handshake in the moving average of late handshakes. From an average of
	// lateHandshakeLimit on, the cause is taken to be at this daemon or common to all targets: the loss of a whole
	// rack takes away less of a service.
	lateHandshakeWeight = 0.1
	lateHandshakeLimit  = 0.25
	// minZoneAnswers is how many targets of a zone must have answered to show that the zone is reachable. A single
	// one may be a neighbour of this VM, so its answers don't show it.
	minZoneAnswers = 2
	// unregisteredMisses and unregisteredSpan take the place of unresponsiveMisses and unresponsiveSpan for a target
	// whose registration has ended, if probes are not available.
	unregisteredMisses = 2
	unregisteredSpan   = 150 * time.Millisecond
	// missTTL is how long missed responses count without a probe. A live target answers its next packet.
	missTTL = 10 * time.Second
)

// suspects holds the targets with missed responses that may have failed, each with the time of its last probe
// request; zero if there was none.
type suspects struct {
	sync.Mutex
	probeRequestedAt map[model.TargetID]time.Time
}

func (s *suspects) add(id model.TargetID) {
	s.Lock()
	defer s.Unlock()
	if s.probeRequestedAt == nil {
		s.probeRequestedAt = make(map[model.TargetID]time.Time)
	}
	if _, suspected := s.probeRequestedAt[id]; !suspected {
		s.probeRequestedAt[id] = time.Time{}
	}
}

func (s *suspects) drop(id model.TargetID) {
	s.Lock()
	defer s.Unlock()
	delete(s.probeRequestedAt, id)
}

func (s *suspects) list() []model.TargetID {
	s.Lock()
	defer s.Unlock()
	return lo.Keys(s.probeRequestedAt)
}

// claimProbe reports whether a probe of a suspect may be requested now, and if so records the request.
func (s *suspects) claimProbe(now time.Time, id model.TargetID) bool {
	s.Lock()
	defer s.Unlock()
	at, suspected := s.probeRequestedAt[id]
	if !suspected || !at.IsZero() && now.Sub(at) < probeInterval {
		return false
	}
	s.probeRequestedAt[id] = now
	return true
}

// isUnresponsive reports whether the evidence shows that a target is unresponsive. If probes are available, only a
// recent one that did not find the target shows it, since missed responses may have other causes.
func (e *Engine) isUnresponsive(now time.Time, ev placement.Evidence, registrationEnded bool) bool {
	if ev.Probed() {
		if ev.Connected {
			return false
		}
		if now.Sub(ev.ProbedAt) <= failedProbeTTL {
			return true
		}
	}
	return e.cfg.RequestProbe == nil && missesSuffice(now, ev, registrationEnded)
}

// missesSuffice reports whether the missed responses alone show that a target is unresponsive.
func missesSuffice(now time.Time, ev placement.Evidence, registrationEnded bool) bool {
	span := now.Sub(ev.FirstMiss)
	if ev.ConsecutiveMisses == 0 || now.Sub(ev.LastMiss) > missTTL {
		return false
	}
	if registrationEnded {
		return ev.ConsecutiveMisses >= unregisteredMisses && span >= unregisteredSpan
	}
	return ev.ConsecutiveMisses >= unresponsiveMisses && ev.MissedFlows >= unresponsiveFlows && ev.StrongMisses >= unresponsiveStrong && span >= unresponsiveSpan
}

// suspicionCleared reports whether a suspect needs no further probe: it has answered, a probe found it, or it has had
// no missed response within failedProbeTTL.
func suspicionCleared(now time.Time, ev placement.Evidence) bool {
	return ev.ConsecutiveMisses == 0 || ev.Probed() && ev.Connected || now.Sub(ev.LastMiss) > failedProbeTTL
}

// handleMiss records that a target did not answer a flow's packet in time, and requests a probe of the target.
func (e *Engine) handleMiss(now time.Time, h model.FlowHash, id model.TargetID, strong bool) {
	e.requestProbe(now, id, e.recordMiss(now, h, id, strong))
}

func (e *Engine) recordMiss(now time.Time, h model.FlowHash, id model.TargetID, strong bool) placement.Evidence {
	ev := e.loads.Missed(now, id, h, strong)
	if e.cfg.RequestProbe != nil || e.isUnresponsive(now, ev, false) {
		e.suspects.add(id)
	}
	return ev
}

// requestProbe requests a probe of a suspect, whose registration may have ended, but not while many handshakes are
// late. Load pattern: many callers connect at once after a power outage; probes would add connections to targets that
// are already full.
func (e *Engine) requestProbe(now time.Time, id model.TargetID, ev placement.Evidence) {
	if e.cfg.RequestProbe == nil || e.halfOpen.oftenLate() || now.Sub(ev.ProbedAt) < probeInterval {
		return
	}
	if t := e.Target(id); t != nil && e.suspects.claimProbe(now, id) {
		e.cfg.RequestProbe(t)
	}
}

// checkHandshakes records a missed response for each flow whose caller has not acknowledged an answer in time. Load
// pattern: a target has crashed and its machine refuses connections. Callers see the refusal at once and retransmit
// nothing on that flow, but retry with new flows until they have used up their attempts.
func (e *Engine) checkHandshakes(now time.Time) {
	gap := now.Sub(e.lastTick)
	e.lastTick = now
	if gap > stalledTickGap {
		return // packets that callers sent during the stall may still be unread in the socket
	}
	late := e.checkDueHandshakes(now, &e.halfOpen, handshakeTimeout, &e.halfOpenSlow)
	late = append(late, e.checkDueHandshakes(now, &e.halfOpenSlow, slowHandshakeTimeout, nil)...)
	for _, id := range lo.Uniq(late) {
		e.requestProbe(now, id, e.loads.Evidence(id))
	}
}

// checkDueHandshakes checks the half-open flows that have waited for at least wait, and returns the targets of the
// late ones. Flows whose targets have slow handshakes move on to next, or are skipped if next is nil.
func (e *Engine) checkDueHandshakes(now time.Time, queue *halfOpenQueue, wait time.Duration, next *halfOpenQueue) []model.TargetID {
	var late []model.TargetID
	for _, o := range queue.due(now, wait) {
		f, known := e.records.get(o.hash)
		isLate := known && f.state == tagHandshake
		if isLate && slowHandshakeFactor*e.loads.Handshake(f.target) > wait {
			if next != nil {
				next.add(o.at, o.hash)
			}
			continue
		}
		e.halfOpen.recordOutcome(isLate)
		if isLate && f.synDuplicates == 0 {
			e.recordMiss(now, o.hash, f.target, true)
			late = append(late, f.target)
		}
	}
	return late
}

// Probed records the outcome of a probe of a suspected target; began is the probe's start. A target that the probe
// did not find counts as unresponsive if its flows miss responses while other targets answer.
func (e *Engine) Probed(began time.Time, id model.TargetID, result placement.ProbeResult) {
	e.loads.Probed(began, id, result)
	if result != placement.ProbeConnected {
		e.suspects.add(id)
	}
}

// localFaultLikely reports whether missed responses are more likely caused by this daemon's own network than by the
// target or the path to it. That is so if, since the first missed response and within answerWindow, no more targets
// have answered than have not, in total and in each zone. Load pattern: a zone is cut off, and flows across the cut
// would hang until their callers give up; a zone that answers shows that this daemon's network works.
func (e *Engine) localFaultLikely(now time.Time, ev placement.Evidence) bool {
	since := ev.FirstMiss
	if windowStart := now.Add(-answerWindow); since.Before(windowStart) {
		since = windowStart
	}
	var all placement.ResponseCounts
	for _, h := range e.loads.ResponseCounts(since.Add(-missDelay)) {
		if h.MostlyResponding() && h.Responding >= minZoneAnswers {
			return false
		}
		all.Responding += h.Responding
		all.Unresponsive += h.Unresponsive
	}
	return !all.MostlyResponding()
}

// NotFound records that another daemon, and then a probe of this one, did not find a target; began is the probe's
// start. It counts as one missed response, unless the target has answered since. Load pattern: many daemons with few
// flows each, all of which would have to lose flows to a failed target before they detect the failure.
func (e *Engine) NotFound(began time.Time, id model.TargetID, result placement.ProbeResult) {
	if e.loads.NotFound(began, id, otherDaemonsHash, result) {
		e.suspects.add(id)
	}
}

// PeerReportedNotFound records that another daemon did not find a target on which this one has no flows. New flows
// avoid the target for a while; this daemon sends no probe. Load pattern: many targets of a zone with many daemons
// fail at once. If each daemon probed each of them, and another target for comparison, the live targets would get
// more connections from probes than from callers.
func (e *Engine) PeerReportedNotFound(now time.Time, id model.TargetID) {
	e.loads.PeerReportedNotFound(now, id)
}

// otherDaemonsHash is the flow hash under which failures seen by other daemons are recorded as missed responses.
const otherDaemonsHash model.FlowHash = 1

// registrationEnded reports whether a target's registration has ended.
func (lists *tagLists) registrationEnded(id model.TargetID) bool {
	t := lists.snapshot.Target(id)
	return t == nil || t.Expired
}

// RegistrationEnded reports whether a target's registration has ended according to the current lists; true if there
// are none.
func (e *Engine) RegistrationEnded(id model.TargetID) bool {
	lists := e.activeLists.Load()
	return lists == nil || lists.registrationEnded(id)
}

// resetsRetransmission reports whether a retransmission is answered with a reset on behalf of the target. An
// idempotent request is reset as soon as the target is unresponsive, so that its caller can retry in time; any other
// request only once the target is known to have failed.
func (e *Engine) resetsRetransmission(lists *tagLists, now time.Time, dst netip.AddrPort, f *tagRecord) bool {
	registrationEnded := lists.registrationEnded(f.target)
	ev := e.loads.Evidence(f.target)
	if !e.isUnresponsive(now, ev, registrationEnded) || e.localFaultLikely(now, ev) {
		return false
	}
	route := lists.snapshot.RouteAt(dst)
	return e.hasFailed(ev, registrationEnded) || route != nil && route.Kind.Idempotent()
}

// hasFailed reports whether an unresponsive target can no longer answer a request in progress: its registration has
// ended and something else answers at its address. A target that is only unresponsive may resume. Load pattern: a
// machine is suspended or cut off until the platform ends its registration. Without probes the two cases cannot be
// told apart, so the end of the registration decides.
func (e *Engine) hasFailed(ev placement.Evidence, registrationEnded bool) bool {
	return registrationEnded && (ev.Refused || e.cfg.RequestProbe == nil)
}

// removeRecord removes a flow's record.
func (e *Engine) removeRecord(now time.Time, h model.FlowHash) {
	if f, ok := e.records.remove(h); ok {
		e.releaseCounts(now, f)
	}
}
