package core

import (
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// A target that fails without notice leaves its callers waiting until they time out. Their retransmissions show the
// failure seconds before the target's registration ends. The thresholds favour live targets: any packet from the
// target, on any flow, clears its missed responses.
const (
	// silentMisses is the number of missed responses, and silentFlows that of the flows they belong to, from which a
	// target counts as unresponsive if probes are not available. A single flow may have lost its network path.
	silentMisses = 3
	silentFlows  = 2
	// silentStrong is how many of the missed responses must be strong, which means that a busy target would have
	// answered: a SYN, or data that was retransmitted strongRepeats times. A target that works on a request
	// acknowledges the first retransmission.
	silentStrong  = 1
	strongRepeats = 2
	// silentTime is the time that the missed responses must span. It exceeds one retransmission, so that a short loss
	// on a link does not count as a failure.
	silentTime = 200 * time.Millisecond
	// missDelay is the time from a packet to the missed response that it causes: the first retransmission timeout.
	missDelay = 200 * time.Millisecond
	// handshakeTime is how long a caller has to acknowledge a target's answer to the SYN: several round trips to
	// another zone, and less than the SYN retransmission timeout. If the target's recent handshakes took longer than
	// handshakeTime divided by handshakeFactor, as in another region or under load, handshakeTimeFar applies.
	handshakeTime    = 60 * time.Millisecond
	handshakeTimeFar = 120 * time.Millisecond
	handshakeFactor  = 4
	// lateTick is the time between two ticks from which the daemon counts as having been stalled: twice the usual
	// interval.
	lateTick = 100 * time.Millisecond
	// probeEvery is the minimum time between two probes of one target.
	probeEvery = 500 * time.Millisecond
	// absentFor is how long the result of a probe that did not find the target is valid, from the probe's start: the
	// half second for which the target must be unresponsive, plus a few ticks. After that a new probe has to decide.
	absentFor = 700 * time.Millisecond
	// heardFor is how far back answers of other targets count as proof that this daemon's own network works. It
	// exceeds the longest time between two retransmissions, 1.6 s.
	heardFor = 2 * time.Second
	// lateWeight is the weight of one handshake in the moving average of late handshakes. From an average of
	// lateShare on, the cause is taken to be at this daemon or common to all targets: the loss of a whole rack takes
	// away less of a service.
	lateWeight = 0.1
	lateShare  = 0.25
	// zoneAnswers is how many targets of a zone must have answered to show that the zone is reachable. A single one
	// may be a neighbour of this VM, so its answers don't show it.
	zoneAnswers = 2
	// endedMisses and endedTime take the place of silentMisses and silentTime for a target whose registration has
	// ended, if probes are not available.
	endedMisses = 2
	endedTime   = 150 * time.Millisecond
	// idleAfter is how long a caller must have sent nothing to count as idle. Unacknowledged data is retransmitted
	// sooner.
	idleAfter = 300 * time.Millisecond
	// recordFor is how long after its last packet here a flow may be reset on behalf of its target: half of the time
	// for which records are kept, and longer than most pauses of callers. Later, the flow may continue through
	// another daemon, or a new flow may use its endpoints.
	recordFor = defaultTagIdleTimeout / 2
	// silentFor is how long missed responses count without a probe. A live target answers its next packet.
	silentFor = 10 * time.Second
)

// suspects holds the targets with missed responses that may have failed, each with the time of its last probe
// request; zero if there was none.
type suspects struct {
	sync.Mutex
	asked map[model.TargetID]time.Time
}

func (s *suspects) add(id model.TargetID) {
	s.Lock()
	defer s.Unlock()
	if s.asked == nil {
		s.asked = make(map[model.TargetID]time.Time)
	}
	if _, suspected := s.asked[id]; !suspected {
		s.asked[id] = time.Time{}
	}
}

func (s *suspects) drop(id model.TargetID) {
	s.Lock()
	defer s.Unlock()
	delete(s.asked, id)
}

func (s *suspects) list() []model.TargetID {
	s.Lock()
	defer s.Unlock()
	return lo.Keys(s.asked)
}

// mayAsk reports whether a probe of a suspect may be requested now, and if so records the request.
func (s *suspects) mayAsk(now time.Time, id model.TargetID) bool {
	s.Lock()
	defer s.Unlock()
	at, suspected := s.asked[id]
	if !suspected || !at.IsZero() && now.Sub(at) < probeEvery {
		return false
	}
	s.asked[id] = now
	return true
}

// isSilent reports whether the evidence shows that a target is unresponsive. If probes are available, only a recent
// one that did not find the target shows it, since missed responses may have other causes.
func (e *TagEngine) isSilent(now time.Time, ev placement.Evidence, ended bool) bool {
	if ev.Probed() {
		if ev.Connected {
			return false
		}
		if now.Sub(ev.ProbedAt) <= absentFor {
			return true
		}
	}
	return e.cfg.Suspect == nil && missesTell(now, ev, ended)
}

// missesTell reports whether the missed responses alone show that a target is unresponsive.
func missesTell(now time.Time, ev placement.Evidence, ended bool) bool {
	span := now.Sub(ev.FirstMiss)
	if ev.MissesInRow == 0 || now.Sub(ev.LastMiss) > silentFor {
		return false
	}
	if ended {
		return ev.MissesInRow >= endedMisses && span >= endedTime
	}
	return ev.MissesInRow >= silentMisses && ev.MissedFlows >= silentFlows && ev.Strong >= silentStrong && span >= silentTime
}

// settled reports whether a suspect needs no further probe: it has answered, a probe found it, or it has had no
// missed response lately.
func settled(now time.Time, ev placement.Evidence) bool {
	return ev.MissesInRow == 0 || ev.Probed() && ev.Connected || now.Sub(ev.LastMiss) > absentFor
}

// missed records that a target did not answer a flow's packet in time, and requests a probe of the target.
func (e *TagEngine) missed(now time.Time, h model.FlowHash, id model.TargetID, strong bool) {
	e.ask(now, id, e.noteMiss(now, h, id, strong))
}

func (e *TagEngine) noteMiss(now time.Time, h model.FlowHash, id model.TargetID, strong bool) placement.Evidence {
	ev := e.loads.Missed(now, id, h, strong)
	if e.cfg.Suspect != nil || e.isSilent(now, ev, false) {
		e.suspects.add(id)
	}
	return ev
}

// ask requests a probe of a suspect, whose registration may have ended, but not while many handshakes are late. Load
// pattern: many callers connect at once after a power outage; probes would add connections to targets that are
// already full.
func (e *TagEngine) ask(now time.Time, id model.TargetID, ev placement.Evidence) {
	if e.cfg.Suspect == nil || e.opened.oftenLate() || now.Sub(ev.ProbedAt) < probeEvery {
		return
	}
	if t := e.Target(id); t != nil && e.suspects.mayAsk(now, id) {
		e.cfg.Suspect(t)
	}
}

// judgeOpenings records a missed response for each flow whose caller has not acknowledged an answer in time. Load
// pattern: a target has crashed and its machine refuses connections. Callers see the refusal at once and retransmit
// nothing on that flow, but retry with new flows until they have used up their attempts.
func (e *TagEngine) judgeOpenings(now time.Time) {
	gap := now.Sub(e.ticked)
	e.ticked = now
	if gap > lateTick {
		return // packets that callers sent meanwhile may still be unread
	}
	late := e.judgeDue(now, &e.opened, handshakeTime, &e.openedFar)
	late = append(late, e.judgeDue(now, &e.openedFar, handshakeTimeFar, nil)...)
	for _, id := range lo.Uniq(late) {
		e.ask(now, id, e.loads.Evidence(id))
	}
}

// judgeDue checks the half-open flows that have waited for at least wait, and returns the targets of the late ones.
// Flows whose targets have slow handshakes move on to next, or are skipped if next is nil.
func (e *TagEngine) judgeDue(now time.Time, waiting *openings, wait time.Duration, next *openings) []model.TargetID {
	var late []model.TargetID
	for _, o := range waiting.due(now, wait) {
		f, known := e.flows.get(o.hash)
		isLate := known && f.state == tagOpening
		if isLate && handshakeFactor*e.loads.Handshake(f.target) > wait {
			if next != nil {
				next.add(o.at, o.hash)
			}
			continue
		}
		e.opened.judged(isLate)
		if isLate && f.copies == 0 {
			e.noteMiss(now, o.hash, f.target, true)
			late = append(late, f.target)
		}
	}
	return late
}

// Probed records the outcome of a probe of a suspected target; began is the probe's start. A target that the probe
// did not find counts as unresponsive if its flows miss responses while other targets answer.
func (e *TagEngine) Probed(began time.Time, id model.TargetID, found placement.Finding) {
	e.loads.Probed(began, id, found)
	if found != placement.FoundTarget {
		e.suspects.add(id)
	}
}

// hampered reports whether missed responses are more likely caused by this daemon's own network than by the target or
// the path to it. That is so if, since the first missed response and within heardFor, no more targets have answered
// than have not, in total and in each zone. Load pattern: a zone is cut off, and flows across the cut would hang
// until their callers give up; a zone that answers shows that this daemon's network works.
func (e *TagEngine) hampered(now time.Time, ev placement.Evidence) bool {
	since := ev.FirstMiss
	if lately := now.Add(-heardFor); since.Before(lately) {
		since = lately
	}
	var all placement.Heard
	for _, h := range e.loads.Heard(since.Add(-missDelay)) {
		if h.Mostly() && h.Answering >= zoneAnswers {
			return false
		}
		all.Answering += h.Answering
		all.Missing += h.Missing
	}
	return !all.Mostly()
}

// NotFound records that another daemon, and then a probe of this one, did not find a target; began is the probe's
// start. It counts as one missed response, unless the target has answered since. Load pattern: many daemons with few
// flows each, all of which would have to lose flows to a failed target before they detect the failure.
func (e *TagEngine) NotFound(began time.Time, id model.TargetID, found placement.Finding) {
	if e.loads.NotFound(began, id, elsewhere, found) {
		e.suspects.add(id)
	}
}

// Told records that another daemon did not find a target on which this one has no flows. New flows avoid the target
// for a while; this daemon sends no probe. Load pattern: many targets of a zone with many daemons fail at once. If
// each daemon probed each of them, and another target for comparison, the live targets would get more connections
// from probes than from callers.
func (e *TagEngine) Told(now time.Time, id model.TargetID) {
	e.loads.Told(now, id)
}

// elsewhere is the flow hash under which failures seen by other daemons are recorded as missed responses.
const elsewhere model.FlowHash = 1

// ended reports whether a target's registration has ended.
func (w *tagWorld) ended(id model.TargetID) bool {
	t := w.snapshot.Target(id)
	return t == nil || t.Lapsed
}

// Ended reports whether a target's registration has ended according to the present lists; true if there are none.
func (e *TagEngine) Ended(id model.TargetID) bool {
	w := e.world.Load()
	return w == nil || w.ended(id)
}

// givesUp reports whether a retransmission is answered with a reset on behalf of the target. An idempotent request is
// reset as soon as the target is unresponsive, so that its caller can retry in time; any other request only once the
// target is known to have failed.
func (e *TagEngine) givesUp(w *tagWorld, now time.Time, dst netip.AddrPort, f *tagFlow) bool {
	ended := w.ended(f.target)
	ev := e.loads.Evidence(f.target)
	if !e.isSilent(now, ev, ended) || e.hampered(now, ev) {
		return false
	}
	route := w.snapshot.RouteAt(dst)
	return e.gone(ev, ended) || route != nil && route.Kind.Idempotent()
}

// gone reports whether an unresponsive target can no longer answer a request in progress: its registration has ended
// and something else answers at its address. A target that is only unresponsive may resume. Load pattern: a machine
// is suspended or cut off until the platform ends its registration. Without probes the two cases cannot be told
// apart, so the end of the registration decides.
func (e *TagEngine) gone(ev placement.Evidence, ended bool) bool {
	return ended && (ev.Refused || e.cfg.Suspect == nil)
}

// end removes a flow's record.
func (e *TagEngine) end(now time.Time, h model.FlowHash) {
	if f, ok := e.flows.remove(h); ok {
		e.released(now, f)
	}
}

// TagReset is a request to reset a flow at its caller.
type TagReset struct {
	Caller, Service netip.AddrPort
	// ISN is the initial sequence number of the flow's SYN; 0 if another daemon saw the SYN.
	ISN uint32
	// Ack is the caller's highest acknowledgement number.
	Ack    uint32
	Kind   errkind.Kind
	Target model.TargetID
}

// resetSilent returns the flows to reset at their callers because their target is unresponsive: idle flows, and flows
// with idempotent requests. Load pattern: a target with many idle flows fails, and callers would send their next
// requests to it in vain. Suspects without a clear result stay suspects and are probed again as soon as the probe
// interval allows.
func (e *TagEngine) resetSilent(now time.Time) []TagReset {
	w := e.world.Load()
	if w == nil {
		return nil
	}
	var out []TagReset
	for _, id := range e.suspects.list() {
		ev := e.loads.Evidence(id)
		switch {
		case e.isSilent(now, ev, false) && !e.hampered(now, ev):
			e.suspects.drop(id)
			out = append(out, e.resetFlows(w, now, id, e.gone(ev, w.ended(id)))...)
		case settled(now, ev):
			e.suspects.drop(id)
		default:
			e.ask(now, id, ev)
		}
	}
	return out
}

// resetFlows removes the flows of an unresponsive target that are to be reset, and returns their resets. gone says
// that the target is known to have failed.
func (e *TagEngine) resetFlows(w *tagWorld, now time.Time, id model.TargetID, gone bool) []TagReset {
	var out []TagReset
	for _, f := range e.flows.takeOf(id, func(f tagFlow) bool { return e.abandons(w, now, f, gone) }) {
		e.released(now, f)
		out = append(out, TagReset{
			Caller:  f.caller.AddrPort(),
			Service: f.service.AddrPort(),
			ISN:     f.isn,
			Ack:     f.ack,
			Kind:    errkind.TargetLost,
			Target:  id,
		})
	}
	return out
}

// abandons reports whether a flow of an unresponsive target is reset. As in givesUp, a request that is not idempotent
// and may be in progress is reset only if the target is known to have failed.
func (e *TagEngine) abandons(w *tagWorld, now time.Time, f tagFlow, gone bool) bool {
	if f.state != tagOpen {
		return false
	}
	route := w.snapshot.RouteAt(f.service.AddrPort())
	if route == nil {
		return false
	}
	since := time.Duration(int32(e.flows.millis(now)-f.last)) * time.Millisecond
	if since > recordFor {
		return false
	}
	idle := !f.asked && since >= idleAfter
	return gone || idle || route.Kind.Idempotent()
}

// takeOf removes and returns the records of a target's flows that satisfy meets.
func (t *tagFlows) takeOf(id model.TargetID, meets func(tagFlow) bool) []tagFlow {
	var out []tagFlow
	for i := range t.shards {
		s := &t.shards[i]
		s.Lock()
		for h, f := range s.flows {
			if f.target == id && meets(f) {
				delete(s.flows, h)
				t.count.Add(-1)
				out = append(out, f)
			}
		}
		s.Unlock()
	}
	return out
}
