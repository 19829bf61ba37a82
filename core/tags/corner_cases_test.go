package tags

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// restart registers the target again under the same name, with a later start and another address.
func (s *tagSite) restart(id model.TargetID) {
	for i := range 8 {
		r := s.registration("booking", i)
		if s.directory.ID(r.Name) == id {
			r.StartedAt = r.StartedAt.Add(time.Hour)
			r.Address = netip.AddrPortFrom(r.Address.Addr(), r.Address.Port()+1)
			s.directory.Register(s.now, r)
			return
		}
	}
	panic("no such target")
}

// A failed probe must not count against a new instance of the target that has started since under the same name.
func TestProbeOfPreviousInstanceIsIgnored(t *testing.T) {
	Convey("A target that a probe did not find has been started again, and the daemon receives a flow that another daemon opened to it", t, func() {
		s := newProbedSite(safeAddr, 40)
		s.sendAndRetransmit(s.flowsOfFailed()[:1], firstRetransmit)
		s.advance(0)
		s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
		s.tick(s.engine)
		s.now = s.now.Add(100 * time.Millisecond)
		s.restart(s.failed)
		s.publish(s.engine)
		flow := s.flowOfOtherDaemon(safeAddr)
		Convey("and its first retransmission is not answered with a reset", func() {
			So(flow.send(s.engine, 100).Op, ShouldEqual, core.OpForward)
			s.advance(firstRetransmit)
			So(flow.send(s.engine, 100).Op, ShouldEqual, core.OpForward)
		})
		Convey("and the result of a probe from before the restart, received late, resets nothing", func() {
			So(flow.send(s.engine, 100).Op, ShouldEqual, core.OpForward)
			s.engine.Probed(s.now.Add(-110*time.Millisecond), s.failed, placement.ProbeNoAnswer)
			So(s.tick(s.engine), ShouldBeEmpty)
		})
	})
}

// While the target that received a flow's SYN lives, the flow must reach no other target. An answer after a failed probe
// shows that the target lives.
func TestDuplicateSYNStaysIfTargetAnsweredSinceProbe(t *testing.T) {
	Convey("A duplicate SYN stays with a target that a probe did not find and that has answered another flow since", t, func() {
		s := newTagSite(8)
		e := s.engine()
		flow := s.caller(safeAddr)
		first := flow.syn(e).Target.ID
		other := s.caller(safeAddr)
		for other.target != first {
			other = s.caller(safeAddr).open(e)
		}
		s.now = s.now.Add(50 * time.Millisecond)
		e.Probed(s.now, first, placement.ProbeNoAnswer)
		s.now = s.now.Add(50 * time.Millisecond)
		other.request(e)
		So(e.Loads().Evidence(first).LastAnswer, ShouldHappenAfter, e.Loads().Evidence(first).ProbedAt)
		s.now = s.now.Add(60 * time.Millisecond)
		again := flow.syn(e)
		So(again.Target.ID, ShouldEqual, first)
		So(again.Reason, ShouldEqual, Repeated)
	})
}

// Callers of a failed target must be reset by any daemon that receives their packets, also if the target left the
// published lists seconds ago and the daemon had no flow of it.
func TestUnregisteredTargetWithoutLocalFlows(t *testing.T) {
	Convey("A failed target whose registration ended 5 s ago is probed, and its flow is reset, at a daemon that had no flow of it", t, func() {
		s := newProbedSite(safeAddr, 40)
		flow := s.flowOfOtherDaemon(safeAddr)
		unaware := s.engineIn("a", s.engine.cfg.RequestProbe)
		for _, c := range s.flows {
			if c.target != s.failed {
				c.request(unaware) // the targets that have not failed answer
			}
		}
		s.engine = unaware
		for range 30 { // enough handshakes for the daemon to request probes
			s.caller(safeAddr).open(unaware)
		}
		s.now = s.now.Add(20 * time.Second)
		for range 8 {
			s.tick(unaware)
			s.now = s.now.Add(50 * time.Millisecond)
		}
		s.endRegistration(5 * time.Second)
		So(unaware.Loads().Open(s.failed), ShouldEqual, 0)
		s.sendAndRetransmit([]*caller{flow}, firstRetransmit)
		So(s.probeRequests, ShouldNotBeEmpty)
		s.engine.Probed(s.now, s.failed, placement.ProbeNoAnswer)
		s.advance(secondRetransmit)
		So(flow.send(unaware, 100).Op, ShouldEqual, core.OpReset)
	})
}

// A difference in either the sequence or the acknowledgement number must be enough to recognize a later flow with the
// addresses of the recorded one.
func TestOneDifferingNumberIdentifiesLaterFlow(t *testing.T) {
	for _, c := range []struct {
		name     string
		seq, ack uint32
	}{
		{"sequence number", 1 << 30, 5100},
		{"acknowledgement number", 1100, 1 << 29},
	} {
		Convey("A later flow that differs in the "+c.name+" goes to its own target", t, func() {
			s := newTagSite(8)
			known, other := s.engine(), s.engine()
			earlier := s.caller(safeAddr).open(known)
			later := s.caller(safeAddr)
			for later.target == earlier.target || later.target == 0 {
				later = s.caller(safeAddr)
				later.syn(other)
			}
			later.src, later.seq, later.ack = earlier.src, c.seq, c.ack
			So(later.send(known, 100).Target.ID, ShouldEqual, later.target)
		})
	}
	Convey("A SYN with another sequence number and the addresses of a half-open flow opens a new flow", t, func() {
		s := newTagSite(8)
		e := s.engine()
		earlier := s.caller(safeAddr)
		earlier.syn(e)
		earlier.seq = 1 << 30
		v := earlier.syn(e)
		So(v.Reason, ShouldEqual, Placed)
		So(v.Replaced, ShouldBeTrue)
		So(e.OpenFlows(), ShouldEqual, 1)
	})
}

// A target may stop being a suspect, for lack of further missed responses, before its probe ends. The probe's result
// must still count.
func TestProbeThatEndsAfterSuspicionCounts(t *testing.T) {
	Convey("A failed target whose only active caller gave up loses its idle flows when the probe ends", t, func() {
		s := newProbedSite(safeAddr, 40)
		flows := len(s.flowsOfFailed())
		s.sendAndRetransmit(s.flowsOfFailed()[:1], firstRetransmit)
		s.advance(failedProbeTTL)
		began := s.now
		s.now = s.now.Add(100 * time.Millisecond)
		So(s.tick(s.engine), ShouldBeEmpty)
		s.advance(0)
		s.engine.Probed(began, s.failed, placement.ProbeNoAnswer)
		So(s.tick(s.engine), ShouldHaveLength, flows)
	})
}

// Probes add connections to targets, so a target that a probe found must not be probed again without cause.
func TestFoundTargetIsProbedOnlyAfterAnotherMiss(t *testing.T) {
	Convey("A target that a probe found is probed again only after another missed response", t, func() {
		s := newProbedSite(safeAddr, 40)
		s.sendAndRetransmit(s.flowsOfFailed()[:1], firstRetransmit)
		So(s.probeRequests, ShouldHaveLength, 1)
		s.engine.Probed(s.now, s.failed, placement.ProbeConnected)
		for range 14 {
			s.advance(50 * time.Millisecond)
			s.tick(s.engine)
		}
		So(s.probeRequests, ShouldHaveLength, 1)
		s.sendAndRetransmit(s.flowsOfFailed()[1:2], firstRetransmit)
		So(s.probeRequests, ShouldHaveLength, 2)
	})
}
