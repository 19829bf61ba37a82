package tags

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// The tests in this file reduce failures that the random tests in tag_rules_test.go found to their smallest cases.

// duplicateSYN sends the n-th duplicate of the flow's SYN. Unlike syn, it does not update the caller's target and
// tag.
func (c *caller) duplicateSYN(e *Engine, isn uint32, n uint32) Verdict {
	m := c.meta(packet.SYN, 0)
	m.Seq, m.Ack = isn, n
	return e.FromCaller(c.site.now, m, 0)
}

// assertStaysWith asserts that a packet is dropped or sent to the given target, and to no other.
func assertStaysWith(v Verdict, id model.TargetID) {
	So(v.Op, ShouldNotEqual, core.OpReset)
	if v.Op == core.OpForward {
		So(v.Target.ID, ShouldEqual, id)
	}
}

func TestQueuedDuplicateSYNReachesSameTarget(t *testing.T) {
	Convey("A SYN and its duplicate that waited in one socket go to one target, since a second target could refuse the duplicate after the flow has opened", t, func() {
		s := newTagSite(8)
		e := s.engine()
		c := s.caller(safeAddr)
		c.syn(e)
		assertStaysWith(c.duplicateSYN(e, c.seq, 1), c.target)
	})
}

func TestFlowStaysWithFirstOfTwoTargets(t *testing.T) {
	Convey("A flow whose SYN two targets answered stays with the first one, also through a daemon without a record", t, func() {
		s := newTagSite(8)
		first := s.engine()
		c := s.caller(safeAddr)
		c.syn(first)
		s.now = s.now.Add(200 * time.Millisecond)
		second := c.duplicateSYN(first, c.seq, 1)
		c.finishHandshake(first)
		if second.Op == core.OpForward {
			c.tag = second.Tag // the caller received that answer last
		}
		assertStaysWith(c.send(first, 100), c.target)
		assertStaysWith(c.send(s.engine(), 100), c.target)
	})
}

func TestLateDuplicateSYNReachesNoOtherTarget(t *testing.T) {
	Convey("A duplicate SYN that arrives after the flow has opened goes to no other target, and the record is kept", t, func() {
		s := newTagSite(8)
		opener := s.engine()
		for range 40 {
			e := s.engine()
			c := s.caller(safeAddr)
			isn := c.seq
			c.open(opener)
			c.send(e, 0) // this daemon has a record of the open flow
			for range 3 {
				s.caller(safeAddr).open(e) // and has placed other flows since
			}
			assertStaysWith(c.duplicateSYN(e, isn, 1), c.target)
			So(c.send(e, 100).Reason, ShouldEqual, Steered)
		}
	})
}

func TestLaterFlowGoesToItsOwnTarget(t *testing.T) {
	Convey("A daemon that missed the end of a flow sends a later flow with the same addresses to that flow's own target", t, func() {
		s := newTagSite(8)
		old, other := s.engine(), s.engine()
		c := s.caller(safeAddr).open(old)
		before := c.target
		for c.target == before {
			s.now = s.now.Add(time.Second)
			c.seq += 1 << 24 // a new flow from the same port
			s.caller(safeAddr).open(other)
			c.open(other)
		}
		c.ack = 1 << 30
		v := c.send(old, 100)
		assertStaysWith(v, c.target)
	})
}

// slowRequest sends a request that takes long, while other targets answer through the same daemon. It returns the
// verdicts on the retransmissions after 200 ms and 600 ms.
func (s *failedTargetSite) slowRequest(c *caller) [2]Verdict {
	var out [2]Verdict
	c.send(s.engine, 100)
	for i, wait := range []time.Duration{200, 400} {
		start := s.now
		s.answerOthers()
		s.now = start.Add(wait * time.Millisecond)
		out[i] = c.send(s.engine, 100)
	}
	return out
}

func TestEndedRegistrationDoesNotResetFlow(t *testing.T) {
	for _, route := range []struct {
		name string
		addr netip.AddrPort
	}{
		{"an idempotent request", safeAddr},
		{"a request that is not idempotent", unsafeAddr},
	} {
		Convey("A target whose registration has ended and that still works on "+route.name, t, func() {
			s := newProbedSite(route.addr, 40)
			s.endRegistration(0)
			Convey("keeps a flow with two retransmissions", func() {
				for _, v := range s.slowRequest(s.flowsOfFailed()[0]) {
					So(v.Op, ShouldEqual, core.OpForward)
				}
			})
			Convey("keeps two flows with one retransmission each", func() {
				a, b := s.flowsOfFailed()[0], s.flowsOfFailed()[1]
				a.send(s.engine, 100)
				s.now = s.now.Add(160 * time.Millisecond)
				b.send(s.engine, 100)
				start := s.now
				s.answerOthers()
				s.now = start.Add(40 * time.Millisecond)
				So(a.send(s.engine, 100).Op, ShouldEqual, core.OpForward)
				s.now = start.Add(200 * time.Millisecond)
				So(b.send(s.engine, 100).Op, ShouldEqual, core.OpForward)
			})
		})
	}
}

func TestLostSYNsDoNotResetFlows(t *testing.T) {
	Convey("Two lost SYNs to one target, without a failed probe, reset none of the target's flows", t, func() {
		s := &failedTargetSite{tagSite: newTagSite(4)}
		s.engine = s.engineIn("a", func(*model.Target) {})
		for range 60 {
			s.flows = append(s.flows, s.caller(safeAddr).open(s.engine))
		}
		s.failed = s.flows[0].target
		s.now = s.now.Add(time.Second)
		s.tick(s.engine)
		var lost []*caller
		for len(lost) < 2 {
			c := s.caller(safeAddr)
			if c.syn(s.engine); c.target == s.failed {
				lost = append(lost, c)
				continue
			}
			c.finishHandshake(s.engine)
		}
		start := s.now
		s.answerOthers()
		s.now = start.Add(70 * time.Millisecond)
		So(s.tick(s.engine), ShouldBeEmpty)
		s.now = start.Add(210 * time.Millisecond)
		lost[0].duplicateSYN(s.engine, lost[0].seq, 1)
		s.now = start.Add(290 * time.Millisecond)
		lost[1].duplicateSYN(s.engine, lost[1].seq, 1)
		So(s.tickAt(s.engine, s.now), ShouldBeEmpty)
	})
}
