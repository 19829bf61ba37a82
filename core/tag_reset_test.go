package core

import (
	"net/netip"
	"testing"
	"time"

	"github.com/samber/lo"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// probedSilence is a silence whose daemon has completed enough handshakes to request probes. asked lists the targets
// for which it has requested one.
type probedSilence struct {
	*silence
	asked []string
}

func newProbedSilence(dst netip.AddrPort, flows int) *probedSilence {
	s := &probedSilence{silence: &silence{tagSite: newTagSite(4)}}
	s.engine = s.engineIn("a", func(t *model.Target) { s.asked = append(s.asked, t.Name) })
	for range flows {
		s.flows = append(s.flows, s.caller(dst).open(s.engine))
	}
	s.dead = s.flows[0].target
	s.now = s.now.Add(time.Second)
	s.tick(s.engine)
	return s
}

// repeat makes flows of the failed target send a request and retransmit it after each of the waits. It asserts that
// none of these packets is answered with a reset.
func (s *probedSilence) repeat(flows []*caller, waits ...time.Duration) {
	for _, c := range flows {
		So(c.send(s.engine, 100).Op, ShouldEqual, OpForward)
	}
	for _, wait := range waits {
		s.pass(wait)
		for _, c := range flows {
			So(c.send(s.engine, 100).Op, ShouldEqual, OpForward)
		}
	}
}

// pass advances the clock by d, while the other targets answer.
func (s *probedSilence) pass(d time.Duration) {
	start := s.now
	s.others()
	s.now = start.Add(d)
}

// fromElsewhere returns a flow of the failed target that another daemon opened.
func (s *probedSilence) fromElsewhere(dst netip.AddrPort) *caller {
	other := s.tagSite.engine()
	for {
		if c := s.caller(dst).open(other); c.target == s.dead {
			return c
		}
	}
}

// endRegistration ends the registration of the failed target and advances the clock by since before the lists are
// published.
func (s *probedSilence) endRegistration(since time.Duration) {
	s.directory.End(s.now, s.engine.Target(s.dead).Name)
	s.now = s.now.Add(since)
	s.publish(s.engine)
}

const (
	// firstRepeat is the first retransmission timeout of an endpoint, secondRepeat the next one.
	firstRepeat  = 200 * time.Millisecond
	secondRepeat = 400 * time.Millisecond
)

func TestOldProbeResetsNothing(t *testing.T) {
	Convey("A target that a probe did not find some seconds ago and that serves again keeps its flows", t, func() {
		s := newTagSite(4)
		e := s.engine()
		var flows []*caller
		for range 40 {
			flows = append(flows, s.caller(safeAddr).open(e))
		}
		dead := flows[0].target
		s.now = s.now.Add(500 * time.Millisecond)
		e.NotFound(s.now, dead, placement.FoundNothing)
		s.now = s.now.Add(8 * time.Second)
		// Another daemon opened this flow of the target; its request takes 250 ms.
		other := s.engine()
		var flow *caller
		for flow == nil || flow.target != dead {
			flow = s.caller(safeAddr).open(other)
		}
		for _, c := range flows {
			if c.target != dead {
				c.ask(e)
			}
		}
		So(flow.send(e, 100).Op, ShouldEqual, OpForward)
		s.now = s.now.Add(200 * time.Millisecond)
		So(flow.send(e, 100).Op, ShouldEqual, OpForward)
		So(s.tick(e), ShouldBeEmpty)
	})
	Convey("A target that a probe did not find 2 s ago and that is slow now", t, func() {
		s := newProbedSilence(unsafeAddr, 40)
		s.repeat(s.ofDead()[:1], firstRepeat)
		So(s.asked, ShouldHaveLength, 1)
		s.engine.Probed(s.now, s.dead, placement.FoundNothing)
		s.now = s.now.Add(2 * time.Second)
		flow := s.fromElsewhere(safeAddr)
		s.repeat([]*caller{flow}, firstRepeat)
		Convey("loses neither that flow nor idle ones, and is probed again", func() {
			So(s.tick(s.engine), ShouldBeEmpty)
			So(s.asked, ShouldHaveLength, 2)
		})
		Convey("loses its flows after the new probe did not find it either", func() {
			s.tick(s.engine)
			s.engine.Probed(s.now, s.dead, placement.FoundNothing)
			So(len(s.tick(s.engine)), ShouldBeGreaterThan, 1)
		})
	})
}

func TestProbeBeforeTheMissResetsNothing(t *testing.T) {
	Convey("A probe that began before the target's latest answer is ignored", t, func() {
		s := newProbedSilence(safeAddr, 40)
		s.pass(time.Second)
		began := s.now
		s.now = s.now.Add(50 * time.Millisecond)
		s.engine.Loads().Alive(s.now, s.dead)
		s.now = s.now.Add(80 * time.Millisecond)
		s.others()
		s.engine.NotFound(began, s.dead, placement.FoundNothing)
		So(s.tick(s.engine), ShouldBeEmpty)
	})
	Convey("A later probe that found the target overrides one that did not", t, func() {
		s := newProbedSilence(safeAddr, 40)
		s.pass(time.Second)
		s.repeat(s.ofDead()[:1], firstRepeat)
		s.engine.Probed(s.now, s.dead, placement.FoundNothing)
		s.engine.Probed(s.now.Add(10*time.Millisecond), s.dead, placement.FoundTarget)
		// The result of an earlier probe that arrives late is ignored.
		s.engine.Probed(s.now, s.dead, placement.FoundNothing)
		s.now = s.now.Add(20 * time.Millisecond)
		So(s.tick(s.engine), ShouldBeEmpty)
	})
}

func TestEndedRegistrationResetsNothingWithoutAProbe(t *testing.T) {
	for _, c := range []struct {
		name  string
		since time.Duration
	}{
		{"just now", 0},
		{"some seconds ago", 5 * time.Second},
	} {
		Convey("A live target whose registration ended "+c.name, t, func() {
			s := newProbedSilence(unsafeAddr, 40)
			s.endRegistration(c.since)
			name := s.engine.Target(s.dead).Name
			s.repeat(s.ofDead()[:2], firstRepeat)
			Convey("keeps its flows and is probed", func() {
				So(s.tick(s.engine), ShouldBeEmpty)
				So(s.asked, ShouldContain, name)
				s.repeat(s.ofDead()[:2], firstRepeat, secondRepeat)
			})
			Convey("keeps them if the probe finds it", func() {
				s.engine.Probed(s.now, s.dead, placement.FoundTarget)
				s.repeat(s.ofDead()[:2], firstRepeat, secondRepeat)
				So(s.tick(s.engine), ShouldBeEmpty)
			})
			Convey("loses all of them, including those with requests in progress, if something else answers the probe", func() {
				flows := len(s.ofDead())
				s.engine.Probed(s.now, s.dead, placement.FoundOther)
				So(s.tick(s.engine), ShouldHaveLength, flows)
			})
			Convey("loses only the idle ones if the probe gets no answer, since the target may resume", func() {
				flows := len(s.ofDead())
				s.engine.Probed(s.now, s.dead, placement.FoundNothing)
				So(s.tick(s.engine), ShouldHaveLength, flows-2)
				s.repeat(s.ofDead()[:2], secondRepeat)
			})
		})
	}
}

func TestRequestUnderWayIsNotTakenForAnIdleFlow(t *testing.T) {
	Convey("A request that is not idempotent and that the target has acknowledged is not reset when the target becomes unresponsive, although its caller retransmits nothing", t, func() {
		s := newProbedSilence(unsafeAddr, 40)
		flows := s.ofDead()
		waiting, missing := flows[:2], flows[2:3]
		for _, c := range waiting {
			So(c.send(s.engine, 100).Op, ShouldEqual, OpForward)
		}
		s.repeat(missing, firstRepeat, secondRepeat)
		s.engine.Probed(s.now, s.dead, placement.FoundNothing)
		So(s.tick(s.engine), ShouldHaveLength, len(flows)-len(waiting)-len(missing))
		s.repeat(waiting, secondRepeat)
	})
}

func TestMissesAloneResetNothing(t *testing.T) {
	Convey("Flows of a busy target that a probe found are not reset until the next probe", t, func() {
		s := newProbedSilence(safeAddr, 40)
		waiting := s.ofDead()[:3]
		s.repeat(waiting[:1], firstRepeat)
		s.engine.Probed(s.now, s.dead, placement.FoundTarget)
		s.engine.Loads().Alive(s.now, s.dead)
		s.repeat(waiting, firstRepeat, secondRepeat/2)
		So(s.tick(s.engine), ShouldBeEmpty)
	})
	Convey("Flows of a target with missed responses are not reset while there is no probe result", t, func() {
		s := newProbedSilence(safeAddr, 40)
		s.repeat(s.ofDead()[:3], firstRepeat, secondRepeat, 2*secondRepeat)
		So(s.tick(s.engine), ShouldBeEmpty)
		So(s.asked, ShouldNotBeEmpty)
	})
	Convey("A daemon that has just started resets no flow for missed responses, and requests no probe", t, func() {
		s := newProbedSilence(safeAddr, 40)
		started := s.engineIn("a", func(*model.Target) { So("a probe was requested", ShouldBeEmpty) })
		for _, c := range s.flows {
			c.ask(started)
		}
		s.engine = started
		s.repeat(s.ofDead()[:3], firstRepeat, secondRepeat)
		So(s.tick(started), ShouldBeEmpty)
	})
	Convey("Flows of a target are not reset when its answers to SYNs were lost on the callers' links", t, func() {
		s := newProbedSilence(safeAddr, 40)
		var lost []*caller
		for len(lost) < 3 {
			c := s.caller(safeAddr)
			if c.syn(s.engine); c.target == s.dead {
				lost = append(lost, c)
			}
		}
		s.pass(firstRepeat)
		for _, c := range lost {
			So(c.syn(s.engine).Op, ShouldEqual, OpForward)
			s.pass(150 * time.Millisecond)
		}
		So(s.tick(s.engine), ShouldBeEmpty)
		s.pass(secondRepeat)
		So(s.tick(s.engine), ShouldBeEmpty)
	})
}

func TestAnswersOfLongAgoClearNotTheOwnLink(t *testing.T) {
	Convey("Answers of other targets that came after the first missed response, but not recently, do not prove that the daemon's own network works", t, func() {
		s := newProbedSilence(safeAddr, 40)
		s.repeat(s.ofDead()[:1], firstRepeat)
		s.engine.Probed(s.now, s.dead, placement.FoundTarget)
		s.pass(time.Second)
		s.others()
		s.now = s.now.Add(8 * time.Second)
		waiting := s.ofDead()[1]
		waiting.send(s.engine, 100)
		s.now = s.now.Add(firstRepeat)
		So(waiting.send(s.engine, 100).Op, ShouldEqual, OpForward)
		s.engine.Probed(s.now, s.dead, placement.FoundNothing)
		So(s.tick(s.engine), ShouldBeEmpty)
	})
}

func TestOldRecordResetsNothing(t *testing.T) {
	Convey("A flow without recent packets is not reset when its target fails, since it may continue through another daemon", t, func() {
		s := newProbedSilence(safeAddr, 40)
		old := s.ofDead()
		s.now = s.now.Add(recordFor)
		recent := s.caller(safeAddr).open(s.engine)
		for recent.target != s.dead {
			recent = s.caller(safeAddr).open(s.engine)
		}
		s.repeat([]*caller{recent}, firstRepeat)
		s.engine.Probed(s.now, s.dead, placement.FoundNothing)
		resets := s.tick(s.engine)
		So(len(resets), ShouldBeLessThan, len(old))
		for _, r := range resets {
			for _, c := range old {
				So(r.Caller, ShouldNotEqual, c.src)
			}
		}
		So(lo.ContainsBy(resets, func(r TagReset) bool { return r.Caller == recent.src }), ShouldBeTrue)
	})
}

func TestResetWaitsForItsProbe(t *testing.T) {
	Convey("A target that fails right after a probe found it", t, func() {
		s := newProbedSilence(safeAddr, 40)
		flows := len(s.ofDead())
		s.repeat(s.ofDead()[:1], firstRepeat)
		s.engine.Probed(s.now, s.dead, placement.FoundTarget)
		s.engine.Loads().Alive(s.now, s.dead)
		asked := len(s.asked)
		s.repeat(s.ofDead()[:3], firstRepeat)
		Convey("is probed again as soon as the probe interval allows, without a further packet", func() {
			s.pass(probeEvery)
			So(s.tick(s.engine), ShouldBeEmpty)
			So(len(s.asked), ShouldBeGreaterThan, asked)
		})
		Convey("has its flows reset at the first tick after other targets have answered", func() {
			s.now = s.now.Add(probeEvery)
			s.silenceAll()
			s.engine.Probed(s.now, s.dead, placement.FoundNothing)
			So(s.tick(s.engine), ShouldBeEmpty)
			s.pass(200 * time.Millisecond)
			So(s.tick(s.engine), ShouldHaveLength, flows)
		})
	})
}

// silenceAll records a missed response for each target.
func (s *probedSilence) silenceAll() {
	for _, t := range s.engine.Lists().Services[0].Targets {
		s.engine.Loads().Missed(s.now, t.ID, 7, true)
	}
}
