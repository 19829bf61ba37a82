package tags

import (
	"net/netip"
	"testing"
	"time"

	"github.com/samber/lo"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/internal/consent"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
	"github.com/fireflypin/fireflypin/placement"
)

// probedSite is a failedTargetSite whose daemon has completed enough handshakes to request probes. probeRequests
// lists the targets for which it has requested one.
type probedSite struct {
	*failedTargetSite
	probeRequests []string
}

func newProbedSite(dst netip.AddrPort, flows int) *probedSite {
	s := &probedSite{failedTargetSite: &failedTargetSite{tagSite: newTagSite(4)}}
	s.engine = s.engineIn("a", func(t *model.Target) { s.probeRequests = append(s.probeRequests, t.Name) })
	for range flows {
		s.flows = append(s.flows, s.caller(dst).open(s.engine))
	}
	s.failed = s.flows[0].target
	s.now = s.now.Add(time.Second)
	s.tick(s.engine)
	return s
}

// sendAndRetransmit makes flows of the failed target send a request and retransmit it after each of the waits. It
// asserts that none of these packets is answered with a reset.
func (s *probedSite) sendAndRetransmit(flows []*caller, waits ...time.Duration) {
	for _, c := range flows {
		So(c.send(s.engine, 100).Op, ShouldEqual, core.OpForward)
	}
	for _, wait := range waits {
		s.advance(wait)
		for _, c := range flows {
			So(c.send(s.engine, 100).Op, ShouldEqual, core.OpForward)
		}
	}
}

// advance advances the clock by d, while the other targets answer.
func (s *probedSite) advance(d time.Duration) {
	start := s.now
	s.answerOthers()
	s.now = start.Add(d)
}

// flowOfOtherDaemon returns a flow of the failed target that another daemon opened.
func (s *probedSite) flowOfOtherDaemon(dst netip.AddrPort) *caller {
	other := s.tagSite.engine()
	for {
		if c := s.caller(dst).open(other); c.target == s.failed {
			return c
		}
	}
}

// endRegistration ends the registration of the failed target and advances the clock by since before the lists are
// published.
func (s *probedSite) endRegistration(since time.Duration) {
	s.directory.EndRegistration(s.now, s.engine.Target(s.failed).Name)
	s.now = s.now.Add(since)
	s.publish(s.engine)
}

const (
	// firstRetransmit is the first retransmission timeout of a sender, secondRetransmit the next one.
	firstRetransmit  = 200 * time.Millisecond
	secondRetransmit = 400 * time.Millisecond
)

func TestOutdatedProbeDoesNotResetFlows(t *testing.T) {
	Convey("A target that a probe did not find some seconds ago and that serves again keeps its flows", t, func() {
		s := newTagSite(4)
		e := s.engine()
		var flows []*caller
		for range 40 {
			flows = append(flows, s.caller(safeAddr).open(e))
		}
		failed := flows[0].target
		s.now = s.now.Add(500 * time.Millisecond)
		e.NotFound(s.now, failed, placement.ProbeNoAnswer)
		s.now = s.now.Add(8 * time.Second)
		// Another daemon opened this flow of the target; its request takes 250 ms.
		other := s.engine()
		var flow *caller
		for flow == nil || flow.target != failed {
			flow = s.caller(safeAddr).open(other)
		}
		for _, c := range flows {
			if c.target != failed {
				c.request(e)
			}
		}
		So(flow.send(e, 100).Op, ShouldEqual, core.OpForward)
		s.now = s.now.Add(200 * time.Millisecond)
		So(flow.send(e, 100).Op, ShouldEqual, core.OpForward)
		So(s.tick(e), ShouldBeEmpty)
	})
	Convey("A target that a probe did not find 2 s ago and that is slow now", t, func() {
		s := newProbedSite(unsafeAddr, 40)
		s.sendAndRetransmit(s.flowsOfFailed()[:1], firstRetransmit)
		So(s.probeRequests, ShouldHaveLength, 1)
		s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
		s.now = s.now.Add(2 * time.Second)
		flow := s.flowOfOtherDaemon(safeAddr)
		s.sendAndRetransmit([]*caller{flow}, firstRetransmit)
		Convey("loses neither that flow nor idle ones, and is probed again", func() {
			So(s.tick(s.engine), ShouldBeEmpty)
			So(s.probeRequests, ShouldHaveLength, 2)
		})
		Convey("loses its flows after the new probe did not find it either", func() {
			s.tick(s.engine)
			s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
			So(len(s.tick(s.engine)), ShouldBeGreaterThan, 1)
		})
	})
}

func TestProbeBeforeLastAnswerIsIgnored(t *testing.T) {
	Convey("A probe that began before the target's latest answer is ignored", t, func() {
		s := newProbedSite(safeAddr, 40)
		s.advance(time.Second)
		began := s.now
		s.now = s.now.Add(50 * time.Millisecond)
		s.engine.Loads().Alive(s.now, s.failed)
		s.now = s.now.Add(80 * time.Millisecond)
		s.answerOthers()
		s.engine.NotFound(began, s.failed, placement.ProbeNoAnswer)
		So(s.tick(s.engine), ShouldBeEmpty)
	})
	Convey("A later probe that found the target overrides one that did not", t, func() {
		s := newProbedSite(safeAddr, 40)
		s.advance(time.Second)
		s.sendAndRetransmit(s.flowsOfFailed()[:1], firstRetransmit)
		s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
		s.engine.Probed(s.now.Add(10*time.Millisecond), s.failed, placement.ProbeConnected)
		// The result of an earlier probe that arrives late is ignored.
		s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
		s.now = s.now.Add(20 * time.Millisecond)
		So(s.tick(s.engine), ShouldBeEmpty)
	})
}

func TestEndedRegistrationNeedsProbeToReset(t *testing.T) {
	for _, c := range []struct {
		name  string
		since time.Duration
	}{
		{"just now", 0},
		{"some seconds ago", 5 * time.Second},
	} {
		Convey("A live target whose registration ended "+c.name, t, func() {
			s := newProbedSite(unsafeAddr, 40)
			s.endRegistration(c.since)
			name := s.engine.Target(s.failed).Name
			s.sendAndRetransmit(s.flowsOfFailed()[:2], firstRetransmit)
			Convey("keeps its flows and is probed", func() {
				So(s.tick(s.engine), ShouldBeEmpty)
				So(s.probeRequests, ShouldContain, name)
				s.sendAndRetransmit(s.flowsOfFailed()[:2], firstRetransmit, secondRetransmit)
			})
			Convey("keeps them if the probe finds it", func() {
				s.engine.Probed(s.now, s.failed, placement.ProbeConnected)
				s.sendAndRetransmit(s.flowsOfFailed()[:2], firstRetransmit, secondRetransmit)
				So(s.tick(s.engine), ShouldBeEmpty)
			})
			Convey("loses all of them, including those with requests in progress, if something else answers the probe", func() {
				flows := len(s.flowsOfFailed())
				s.engine.Probed(s.now, s.failed, placement.ProbeRefused)
				So(s.tick(s.engine), ShouldHaveLength, flows)
			})
			Convey("loses only the idle ones if the probe gets no answer, since the target may resume", func() {
				flows := len(s.flowsOfFailed())
				s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
				So(s.tick(s.engine), ShouldHaveLength, flows-2)
				s.sendAndRetransmit(s.flowsOfFailed()[:2], secondRetransmit)
			})
		})
	}
}

func TestFlowWithAcknowledgedRequestIsNotIdle(t *testing.T) {
	Convey("A request that is not idempotent and that the target has acknowledged is not reset when the target becomes unresponsive, although its caller retransmits nothing", t, func() {
		s := newProbedSite(unsafeAddr, 40)
		flows := s.flowsOfFailed()
		waiting, missing := flows[:2], flows[2:3]
		for _, c := range waiting {
			So(c.send(s.engine, 100).Op, ShouldEqual, core.OpForward)
		}
		s.sendAndRetransmit(missing, firstRetransmit, secondRetransmit)
		s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
		So(s.tick(s.engine), ShouldHaveLength, len(flows)-len(waiting)-len(missing))
		s.sendAndRetransmit(waiting, secondRetransmit)
	})
}

func TestMissedResponsesAloneDoNotReset(t *testing.T) {
	Convey("Flows of a busy target that a probe found are not reset until the next probe", t, func() {
		s := newProbedSite(safeAddr, 40)
		waiting := s.flowsOfFailed()[:3]
		s.sendAndRetransmit(waiting[:1], firstRetransmit)
		s.engine.Probed(s.now, s.failed, placement.ProbeConnected)
		s.engine.Loads().Alive(s.now, s.failed)
		s.sendAndRetransmit(waiting, firstRetransmit, secondRetransmit/2)
		So(s.tick(s.engine), ShouldBeEmpty)
	})
	Convey("Flows of a target with missed responses are not reset while there is no probe result", t, func() {
		s := newProbedSite(safeAddr, 40)
		s.sendAndRetransmit(s.flowsOfFailed()[:3], firstRetransmit, secondRetransmit, 2*secondRetransmit)
		So(s.tick(s.engine), ShouldBeEmpty)
		So(s.probeRequests, ShouldNotBeEmpty)
	})
	Convey("A daemon that has just started resets no flow for missed responses, and requests no probe", t, func() {
		s := newProbedSite(safeAddr, 40)
		started := s.engineIn("a", func(*model.Target) { So("a probe was requested", ShouldBeEmpty) })
		for _, c := range s.flows {
			c.request(started)
		}
		s.engine = started
		s.sendAndRetransmit(s.flowsOfFailed()[:3], firstRetransmit, secondRetransmit)
		So(s.tick(started), ShouldBeEmpty)
	})
	Convey("Flows of a target are not reset when its answers to SYNs were lost on the callers' links", t, func() {
		s := newProbedSite(safeAddr, 40)
		var lost []*caller
		for len(lost) < 3 {
			c := s.caller(safeAddr)
			if c.syn(s.engine); c.target == s.failed {
				lost = append(lost, c)
			}
		}
		s.advance(firstRetransmit)
		for _, c := range lost {
			So(c.syn(s.engine).Op, ShouldEqual, core.OpForward)
			s.advance(150 * time.Millisecond)
		}
		So(s.tick(s.engine), ShouldBeEmpty)
		s.advance(secondRetransmit)
		So(s.tick(s.engine), ShouldBeEmpty)
	})
}

func TestOldAnswersDoNotExcludeLocalFault(t *testing.T) {
	Convey("Answers of other targets that came after the first missed response, but not recently, do not prove that the daemon's own network works", t, func() {
		s := newProbedSite(safeAddr, 40)
		s.sendAndRetransmit(s.flowsOfFailed()[:1], firstRetransmit)
		s.engine.Probed(s.now, s.failed, placement.ProbeConnected)
		s.advance(time.Second)
		s.answerOthers()
		s.now = s.now.Add(8 * time.Second)
		waiting := s.flowsOfFailed()[1]
		waiting.send(s.engine, 100)
		s.now = s.now.Add(firstRetransmit)
		So(waiting.send(s.engine, 100).Op, ShouldEqual, core.OpForward)
		s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
		So(s.tick(s.engine), ShouldBeEmpty)
	})
}

func TestFlowWithoutRecentPacketsIsNotReset(t *testing.T) {
	Convey("A flow without recent packets is not reset when its target fails, since it may continue through another daemon", t, func() {
		s := newProbedSite(safeAddr, 40)
		old := s.flowsOfFailed()
		s.now = s.now.Add(resetMaxAge)
		recent := s.caller(safeAddr).open(s.engine)
		for recent.target != s.failed {
			recent = s.caller(safeAddr).open(s.engine)
		}
		s.sendAndRetransmit([]*caller{recent}, firstRetransmit)
		s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
		resets := s.tick(s.engine)
		So(len(resets), ShouldBeLessThan, len(old))
		for _, r := range resets {
			for _, c := range old {
				So(r.Caller, ShouldNotEqual, c.src)
			}
		}
		So(lo.ContainsBy(resets, func(r FlowReset) bool { return r.Caller == recent.src }), ShouldBeTrue)
	})
}

func TestResetWaitsForProbe(t *testing.T) {
	Convey("A target that fails right after a probe found it", t, func() {
		s := newProbedSite(safeAddr, 40)
		flows := len(s.flowsOfFailed())
		s.sendAndRetransmit(s.flowsOfFailed()[:1], firstRetransmit)
		s.engine.Probed(s.now, s.failed, placement.ProbeConnected)
		s.engine.Loads().Alive(s.now, s.failed)
		probeRequests := len(s.probeRequests)
		s.sendAndRetransmit(s.flowsOfFailed()[:3], firstRetransmit)
		Convey("is probed again as soon as the probe interval allows, without a further packet", func() {
			s.advance(probeInterval)
			So(s.tick(s.engine), ShouldBeEmpty)
			So(len(s.probeRequests), ShouldBeGreaterThan, probeRequests)
		})
		Convey("has its flows reset at the first tick after other targets have answered", func() {
			s.now = s.now.Add(probeInterval)
			s.missAll()
			s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
			So(s.tick(s.engine), ShouldBeEmpty)
			s.advance(200 * time.Millisecond)
			So(s.tick(s.engine), ShouldHaveLength, flows)
		})
	})
}

// missAll records a missed response for each target.
func (s *probedSite) missAll() {
	for _, t := range s.engine.Lists().Services[0].Targets {
		s.engine.Loads().Missed(s.now, t.ID, 7, true)
	}
}

// TestYield guards against answers that let another daemon reset a flow which goes on here.
func TestYield(t *testing.T) {
	const elapsed = 2 * time.Second
	for _, c := range []struct {
		name  string
		asked func(c *caller) flow.LastPacket
		later bool
	}{
		{"an older packet", func(c *caller) flow.LastPacket { return flow.LastPacket{Ack: c.ack, Since: 3 * time.Second} }, true},
		{"a packet at about the same time", func(c *caller) flow.LastPacket {
			return flow.LastPacket{Ack: c.ack, Since: elapsed - laterSlack/2}
		}, true},
		{"a later packet", func(c *caller) flow.LastPacket { return flow.LastPacket{Ack: c.ack, Since: time.Second} }, false},
		{"a later packet that acknowledges less, since it waited", func(c *caller) flow.LastPacket {
			return flow.LastPacket{Ack: c.ack - 1, Since: time.Second}
		}, true},
	} {
		Convey("When the daemon that asks received "+c.name, t, func() {
			s := newTagSite(1)
			e := s.engine()
			known := s.caller(safeAddr).open(e)
			s.now = s.now.Add(elapsed)
			asked := c.asked(known)
			asked.Flow = known.meta(0, 0).Key().Hash()
			So(e.Yield(s.now, []flow.LastPacket{asked}), ShouldResemble, []bool{c.later})
			Convey("the flow's packets are dropped only if this daemon yields, and for a limited time", func() {
				v := known.send(e, 100)
				So(v.Op == core.OpForward, ShouldEqual, c.later)
				s.now = s.now.Add(consent.YieldTime)
				So(known.send(e, 100).Op, ShouldEqual, core.OpForward)
			})
		})
	}
	Convey("A daemon yields flows that it does not know, and drops their packets too", t, func() {
		s := newTagSite(1)
		e := s.engine()
		unknown := s.caller(safeAddr).open(s.engine())
		So(e.Yield(s.now, []flow.LastPacket{{Flow: unknown.meta(0, 0).Key().Hash()}}), ShouldResemble, []bool{false})
		So(unknown.send(e, 100).Op, ShouldEqual, core.OpDrop)
	})
	Convey("A daemon through which a caller closed its side 4 s ago still knows the flow's last packet", t, func() {
		s := newTagSite(1)
		e := s.engine()
		closing := s.caller(safeAddr).open(e)
		e.FromCaller(s.now, closing.meta(packet.FIN|packet.ACK, 0), closing.tag)
		for range 16 {
			s.now = s.now.Add(4 * time.Second / 16)
			e.Tick(s.now)
		}
		So(e.OpenFlows(), ShouldEqual, 0)
		So(e.Yield(s.now, []flow.LastPacket{{Flow: closing.meta(0, 0).Key().Hash(), Ack: closing.ack, Since: 5 * time.Second}}), ShouldResemble, []bool{true})
	})
	Convey("A daemon that has reset a flow still knows the flow's last packet", t, func() {
		s := newProbedSite(safeAddr, 40)
		flows := s.flowsOfFailed()
		s.sendAndRetransmit(flows[:1], firstRetransmit)
		s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
		So(len(s.tick(s.engine)), ShouldEqual, len(flows))
		idle := flows[1]
		So(s.engine.Yield(s.now, []flow.LastPacket{{Flow: idle.meta(0, 0).Key().Hash(), Ack: idle.ack - 1, Since: resetMaxAge}}), ShouldResemble, []bool{true})
	})
}

// TestDelayedPacketIsNoRepeat guards against a reset with the number of a packet that was under way for long, while its flow went
// on: a sender that repeats a packet puts its current acknowledgement into it.
func TestDelayedPacketIsNoRepeat(t *testing.T) {
	Convey("A packet that arrives late is not answered with a reset, a repeated one is", t, func() {
		s := newProbedSite(safeAddr, 40)
		flows := s.flowsOfFailed()
		delayed, missing := flows[0], flows[1:2]
		seq, ack := delayed.seq, delayed.ack
		delayed.request(s.engine)
		delayed.send(s.engine, 100)
		s.sendAndRetransmit(missing, firstRetransmit)
		s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
		current := *delayed
		delayed.seq, delayed.ack = seq, ack
		So(delayed.send(s.engine, 100).Op, ShouldEqual, core.OpForward)
		So(current.send(s.engine, 100).Op, ShouldEqual, core.OpReset)
	})
}

// TestResponseWhileOthersAreAsked guards against resets of the flows of a target that responds while the answers of the other
// daemons are on their way.
func TestResponseWhileOthersAreAsked(t *testing.T) {
	for _, c := range []struct {
		name    string
		respond func(s *probedSite)
		kept    bool
	}{
		{"the target does not respond", func(*probedSite) {}, false},
		{"a caller acknowledges data of the target", func(s *probedSite) { s.engine.Loads().Alive(s.now, s.failed) }, true},
		{"a probe finds the target", func(s *probedSite) { s.engine.Probed(s.now, s.failed, placement.ProbeConnected) }, true},
	} {
		Convey("When "+c.name, t, func() {
			s := newProbedSite(safeAddr, 40)
			s.sendAndRetransmit(s.flowsOfFailed()[:1], firstRetransmit)
			s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
			So(s.engine.Tick(s.now), ShouldContain, s.failed)
			request := s.engine.ResetCandidates(s.now, s.failed)
			So(request.Flows, ShouldNotBeEmpty)
			s.now = s.now.Add(20 * time.Millisecond)
			c.respond(s)
			So(len(s.engine.ResetConfirmed(s.now, request)) == 0, ShouldEqual, c.kept)
		})
	}
}

func TestReach(t *testing.T) {
	Convey("The reach is the time since the start, or since a flow got no record", t, func() {
		s := newTagSite(1)
		e := New(Config{Policy: placement.NewNearest(placement.NearestConfig{}), Epoch: s.now, MaxFlows: 2})
		s.publish(e)
		e.SetCurrent(true)
		start := s.now
		s.caller(safeAddr).open(e)
		s.caller(safeAddr).open(e)
		s.now = start.Add(time.Minute)
		e.Tick(s.now)
		So(e.Reach(s.now), ShouldEqual, time.Minute)
		s.caller(safeAddr).open(e)
		So(e.Reach(s.now), ShouldEqual, 0)
		e.Tick(s.now)
		So(e.Reach(s.now.Add(time.Second)), ShouldBeLessThanOrEqualTo, time.Second)
	})
	Convey("After a stall, flows whose packets may have waited are not reset without a packet", t, func() {
		s := newProbedSite(safeAddr, 40)
		s.sendAndRetransmit(s.flowsOfFailed()[:1], firstRetransmit)
		s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
		s.engine.Stalled(s.now.Add(100 * time.Millisecond))
		So(s.tick(s.engine), ShouldBeEmpty)
	})
}
