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

// A target that dies without a word leaves its callers to wait until their time is up. Their repeated packets
// tell of it seconds before its registration ends. The thresholds are on the side of a target that lives: what
// it sends on any flow clears it.
const (
	// silentMisses and silentFlows are the packets without an answer, and the flows that they belong to, from
	// which a target counts as silent where probes cannot be made. One flow alone may have lost its path.
	silentMisses = 3
	silentFlows  = 2
	// silentStrong of the misses are ones that a busy target would have answered: a SYN, or data that was
	// repeated twice. A target that works on a request acknowledges the first repetition.
	silentStrong  = 1
	strongRepeats = 2
	// silentTime is how long the misses must span: more than one retransmission, so that a moment's loss of a
	// link does not pass for a death.
	silentTime = 200 * time.Millisecond
	// missDelay is the time from a packet to the miss that it causes: the first retransmission.
	missDelay = 200 * time.Millisecond
	// handshakeTime is how long a caller has to acknowledge a target's answer: several times the way to another zone
	// and back, and less than the time after which it repeats its SYN. Of a target whose handshakes lately took more than
	// a handshakeFactor-th of it, in another region or busy, callers have handshakeTimeFar.
	handshakeTime    = 60 * time.Millisecond
	handshakeTimeFar = 120 * time.Millisecond
	handshakeFactor  = 4
	// lateTick is the time between two ticks from which the daemon did not get its turn: twice the usual.
	lateTick = 100 * time.Millisecond
	// probeEvery is the least time between two probes of one target.
	probeEvery = 500 * time.Millisecond
	// absentFor is how long a probe that did not find a target counts, from its beginning: the half second for which a
	// target must be silent, and some ticks. The next one then has to tell.
	absentFor = 700 * time.Millisecond
	// heardFor is how far back answers of other targets count against the cause being here: longer than the longest time
	// between two retransmissions, 1.6 s.
	heardFor = 2 * time.Second
	// lateWeight is the weight of one opening in the share of those that were not answered in time; from lateShare on
	// the cause is here or everywhere: a rack is less of a service than that.
	lateWeight = 0.1
	lateShare  = 0.25
	// zoneAnswers targets of a zone must have answered to show that it is reached; one may be this VM's neighbour.
	zoneAnswers = 2
	// endedMisses and endedTime hold for a target whose registration has ended, where probes cannot be made.
	endedMisses = 2
	endedTime   = 150 * time.Millisecond
	// idleAfter is how long a caller that waits for nothing has sent nothing: data without an answer is
	// repeated sooner.
	idleAfter = 300 * time.Millisecond
	// recordFor is how long after its last packet here a flow is reset in its target's place: half of the time that records
	// are kept, and longer than callers mostly pause. Later the flow may go on by way of another daemon, or have ended and
	// its ends be used by another one.
	recordFor = defaultTagIdleTimeout / 2
	// silentFor is how long misses without a probe count; a live target answers its next packet.
	silentFor = 10 * time.Second
)

// suspects are targets that missed answers and of which it is not known yet whether they are gone, each with the time at
// which a probe of it was last asked for; zero where none was.
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

// mayAsk reports whether a probe of a suspect may be asked for now, and notes that it is.
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

// isSilent reports whether the evidence says that a target is gone. Where probes can be made, only a recent one that did
// not find the target says so, since misses may have other causes.
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

// missesTell reports whether the misses say so by themselves.
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

// settled reports whether a suspect need not be probed any longer: it has answered, a probe found it, or its callers have
// missed nothing lately.
func settled(now time.Time, ev placement.Evidence) bool {
	return ev.MissesInRow == 0 || ev.Probed() && ev.Connected || now.Sub(ev.LastMiss) > absentFor
}

// missed notes a packet of a flow that its target did not answer in time.
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

// ask asks for a probe of a suspect, whose registration may have ended; not while many answers are late. It answers the
// load pattern of a mass return of power, when probes would add connections to targets that are full already.
func (e *TagEngine) ask(now time.Time, id model.TargetID, ev placement.Evidence) {
	if e.cfg.Suspect == nil || e.opened.oftenLate() || now.Sub(ev.ProbedAt) < probeEvery {
		return
	}
	if t := e.Target(id); t != nil && e.suspects.mayAsk(now, id) {
		e.cfg.Suspect(t)
	}
}

// judgeOpenings takes flows whose callers have not acknowledged an answer in time for misses. It answers the load
// pattern of a target that crashed and whose machine refuses what comes: callers are told at once and repeat nothing
// on that flow, but ask again on new ones until they have used up their tries.
func (e *TagEngine) judgeOpenings(now time.Time) {
	gap := now.Sub(e.ticked)
	e.ticked = now
	if gap > lateTick {
		return // what callers sent meanwhile may not be read yet
	}
	late := e.judgeDue(now, &e.opened, handshakeTime, &e.openedFar)
	late = append(late, e.judgeDue(now, &e.openedFar, handshakeTimeFar, nil)...)
	for _, id := range lo.Uniq(late) {
		e.ask(now, id, e.loads.Evidence(id))
	}
}

// judgeDue judges the openings that have waited for a time, and returns the targets of those that are late. Those
// whose targets need longer go to next, if there is one.
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

// Probed notes what a probe of a suspected target met that began at a time. One that it did not find, while its flows
// miss answers and those of other targets do not, is silent.
func (e *TagEngine) Probed(began time.Time, id model.TargetID, found placement.Finding) {
	e.loads.Probed(began, id, found)
	if found != placement.FoundTarget {
		e.suspects.add(id)
	}
}

// hampered reports whether the cause of silence is more likely here than at the target or on the way to it: since the
// first packet that it did not answer, and lately, no more targets have answered than have not, in all and in each zone. A
// zone that answers while others do not answers the load pattern of a zone that is cut off: flows across the cut would hang
// until their callers give up.
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

// NotFound notes that another daemon, and a probe of this one that began at a time, did not find a target: the word of the
// other stands for a miss, unless the target has answered since. It answers the load pattern of many daemons with few
// flows each, of which every one would have to lose some to a dead target before it knows.
func (e *TagEngine) NotFound(began time.Time, id model.TargetID, found placement.Finding) {
	if e.loads.NotFound(began, id, elsewhere, found) {
		e.suspects.add(id)
	}
}

// Told notes that another daemon did not find a target on which this one has no flows: new flows avoid it for a while, and
// nothing is looked for. It answers the load pattern of many targets that die in a zone of many daemons: if each daemon looked
// for each of them, and for another target to compare with, the probes would take more of the living targets than the flows
// do.
func (e *TagEngine) Told(now time.Time, id model.TargetID) {
	e.loads.Told(now, id)
}

// elsewhere stands for the flows of other daemons among misses.
const elsewhere model.FlowHash = 1

// ended reports whether a target's registration has ended.
func (w *tagWorld) ended(id model.TargetID) bool {
	t := w.snapshot.Target(id)
	return t == nil || t.Lapsed
}

// Ended reports whether a target's registration has ended, as the lists in force say.
func (e *TagEngine) Ended(id model.TargetID) bool {
	w := e.world.Load()
	return w == nil || w.ended(id)
}

// givesUp reports whether a repeated packet is answered with a reset in its target's place. A request that may
// run again is given up as soon as the target counts as silent, so that its caller asks again in time; another
// one when the target is known to be gone.
func (e *TagEngine) givesUp(w *tagWorld, now time.Time, dst netip.AddrPort, f *tagFlow) bool {
	ended := w.ended(f.target)
	ev := e.loads.Evidence(f.target)
	if !e.isSilent(now, ev, ended) || e.hampered(now, ev) {
		return false
	}
	route := w.snapshot.RouteAt(dst)
	return e.gone(ev, ended) || route != nil && route.Kind.Idempotent()
}

// gone reports whether a silent target can no longer answer for a request that is under way: its registration has ended,
// and something else answers in its place. One that is silent alone may stand still and go on: it answers the load pattern
// of a machine that is suspended or cut off until the platform drops its registration. Without a prober nothing tells them
// apart.
func (e *TagEngine) gone(ev placement.Evidence, ended bool) bool {
	return ended && (ev.Refused || e.cfg.Suspect == nil)
}

// end marks a flow as over.
func (e *TagEngine) end(now time.Time, h model.FlowHash) {
	if f, ok := e.flows.remove(h); ok {
		e.released(now, f)
	}
}

// TagReset asks to reset a flow at its caller.
type TagReset struct {
	Caller, Service netip.AddrPort
	// ISN is the number that the flow's SYN carried; 0 where another daemon saw that.
	ISN uint32
	// Ack is the last number that the caller has acknowledged.
	Ack    uint32
	Kind   errkind.Kind
	Target model.TargetID
}

// resetSilent returns the flows of targets that fell silent whose callers are better off with a new flow: those
// that wait for nothing, and those whose request may run again. It answers the load pattern of a target that
// dies with many idle flows, on which callers would send their next request into the void. Suspects of which nothing is
// known yet stay suspects, and are probed as soon as that may be.
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

// resetFlows ends the flows of a silent target; all of them where it is gone.
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

// abandons reports whether a flow of a silent target is reset. One whose request must run once and is under way only where
// the target is gone, as with givesUp.
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

// takeOf removes and returns the records of a target's flows that meet a condition.
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
