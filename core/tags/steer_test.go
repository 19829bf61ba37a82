package tags

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/packet"
	"github.com/fireflypin/fireflypin/placement"
)

// A SYN must reach one target only. If two targets accept it, both answer, and another daemon steers the flow by the
// tag that the caller returns, which may be either. If the second target refuses the SYN, its reset ends the flow
// that is open at the first.
func TestSYNReachesOneTarget(t *testing.T) {
	for _, c := range []struct {
		name  string
		waits []time.Duration
	}{
		{"after the retransmission timeout", []time.Duration{200 * time.Millisecond, 400 * time.Millisecond}},
		{"read from the socket together with the SYN", []time.Duration{0, 0}},
	} {
		Convey("Duplicates of a SYN go to the target that the SYN went to: "+c.name, t, func() {
			s := newTagSite(8)
			e := s.engine()
			for range 50 {
				flow := s.caller(safeAddr)
				first := flow.syn(e).Target.ID
				for _, wait := range c.waits {
					s.now = s.now.Add(wait)
					So(flow.syn(e).Target.ID, ShouldEqual, first)
				}
			}
		})
	}
	Convey("Duplicates go to the same target after a probe since the SYN did not find it", t, func() {
		s := newTagSite(8)
		e := s.engine()
		flow := s.caller(safeAddr)
		first := flow.syn(e).Target
		s.now = s.now.Add(190 * time.Millisecond)
		e.Probed(s.now, first.ID, placement.ProbeNoAnswer)
		s.now = s.now.Add(10 * time.Millisecond)
		again := flow.syn(e)
		So(again.Reason, ShouldEqual, Repeated)
		So(again.Target.ID, ShouldEqual, first.ID)
	})
	Convey("A probe from before the SYN does not move the flow", t, func() {
		s := newTagSite(1)
		e := s.engine()
		s.register("booking", 1)
		flow := s.caller(safeAddr)
		e.Probed(s.now, s.directory.ID("booking-00"), placement.ProbeNoAnswer)
		s.now = s.now.Add(time.Second)
		first := flow.syn(e).Target.ID
		s.publish(e)
		s.now = s.now.Add(200 * time.Millisecond)
		So(flow.syn(e).Target.ID, ShouldEqual, first)
	})
}

// Each daemon places flows by the loads that it sees, so two daemons may choose different targets for one SYN. Only
// the daemon that received the first SYN may place the flow.
func TestFlowIsPlacedByOneDaemon(t *testing.T) {
	Convey("A duplicate SYN, on transports that mark duplicates, is dropped by a daemon that did not receive the first SYN", t, func() {
		s := newTagSite(8)
		flow := s.caller(safeAddr)
		flow.syn(s.engine())
		e := s.engine()
		m := flow.meta(packet.SYN, 0)
		m.DuplicateSYN = true
		v := e.FromCaller(s.now, m, flowtag.None)
		So(v.Op, ShouldEqual, core.OpDrop)
		So(v.Kind, ShouldEqual, errkind.PacketOutdated)
		So(e.OpenFlows(), ShouldEqual, 0)
		Convey("also if the daemon has the record of an earlier flow, which continues", func() {
			earlier := s.caller(safeAddr).open(e)
			m := flow.meta(packet.SYN, 0)
			m.Src, m.Seq, m.DuplicateSYN = earlier.src, 1<<30, true
			So(e.FromCaller(s.now, m, flowtag.None).Op, ShouldEqual, core.OpDrop)
			So(earlier.send(e, 100).Target.ID, ShouldEqual, earlier.target)
		})
	})
	Convey("A marked duplicate goes to the target that the SYN went to", t, func() {
		s := newTagSite(8)
		e := s.engine()
		flow := s.caller(safeAddr)
		first := flow.syn(e).Target.ID
		m := flow.meta(packet.SYN, 0)
		m.DuplicateSYN = true
		So(e.FromCaller(s.now, m, flowtag.None).Target.ID, ShouldEqual, first)
	})
}

// TestDuplicateSYNIsNeverPlaced guards against a daemon that places a copy of a SYN whose first one another daemon, or this one's
// earlier process, has placed: whatever the age of the copy, and whatever the daemon heard of others.
func TestDuplicateSYNIsNeverPlaced(t *testing.T) {
	for _, age := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		Convey("A daemon that has just started drops a copy whose first SYN was sent "+age.String()+" earlier", t, func() {
			s := newTagSite(8)
			e := s.engine()
			c := s.caller(safeAddr)
			duplicate := func() Verdict {
				m := c.meta(packet.SYN, 0)
				m.DuplicateSYN, m.FirstSYNAge = true, age
				return e.FromCaller(s.now, m, flowtag.None)
			}
			v := duplicate()
			So(v.Op, ShouldEqual, core.OpDrop)
			So(v.Kind, ShouldEqual, errkind.PacketOutdated)
			So(v.Cause, ShouldEqual, CauseFirstSYNUnseen)
			So(e.OpenFlows(), ShouldEqual, 0)
			Convey("but places the first SYN when it comes later, and its copies follow", func() {
				first := c.syn(e)
				So(first.Reason, ShouldEqual, Placed)
				So(duplicate().Target.ID, ShouldEqual, first.Target.ID)
			})
		})
	}
}

func TestLateDuplicateSYNIsDropped(t *testing.T) {
	Convey("A duplicate SYN that arrives after the flow has opened is dropped, and the flow continues", t, func() {
		s := newTagSite(8)
		e := s.engine()
		for range 50 {
			flow := s.caller(safeAddr).open(e)
			opened := flow.target
			flow.request(e)
			late := flow.meta(packet.SYN, 0)
			late.Seq, late.Ack = 1000, 1
			dropped := e.FromCaller(s.now, late, 0)
			So(dropped.Op, ShouldEqual, core.OpDrop)
			So(dropped.Kind, ShouldEqual, errkind.PacketOutdated)
			v := flow.send(e, 100)
			So(v.Target.ID, ShouldEqual, opened)
			So(v.Conflict, ShouldBeNil)
		}
	})
	Convey("A duplicate SYN that arrives after the flow has opened is dropped, also if another daemon saw the first SYN", t, func() {
		s := newTagSite(8)
		flow := s.caller(safeAddr).open(s.engine())
		e := s.engine()
		flow.request(e)
		late := flow.meta(packet.SYN, 0)
		late.Seq, late.Ack = 1000, 1
		So(e.FromCaller(s.now, late, 0).Op, ShouldEqual, core.OpDrop)
	})
}

func TestTagDecidesForLaterFlow(t *testing.T) {
	Convey("A flow that another daemon opened with the addresses of an earlier flow goes to its own target", t, func() {
		for _, state := range []string{"open", "closing", "half-open"} {
			Convey("if the earlier one is "+state, func() {
				s := newTagSite(8)
				known, other := s.engine(), s.engine()
				earlier := s.caller(safeAddr)
				earlier.syn(known)
				switch state {
				case "open":
					earlier.finishHandshake(known)
				case "closing":
					earlier.finishHandshake(known)
					known.FromCaller(s.now, earlier.meta(packet.FIN|packet.ACK, 0), earlier.tag)
				}
				later := s.caller(safeAddr)
				for later.target == earlier.target || later.target == 0 {
					later = s.caller(safeAddr)
					later.syn(other)
				}
				later.src, later.seq, later.ack = earlier.src, 1<<30, 1<<29
				v := later.send(known, 100)
				So(v.Op, ShouldEqual, core.OpForward)
				So(v.Target.ID, ShouldEqual, later.target)
				So(v.Tag, ShouldEqual, later.tag)
				So(known.OpenFlows(), ShouldEqual, 1)
				So(known.Loads().Open(earlier.target), ShouldEqual, 0)
				So(known.Loads().Open(later.target), ShouldEqual, 1)
				later.seq += 100
				So(later.send(known, 100).Target.ID, ShouldEqual, later.target)
			})
		}
	})
	Convey("A packet of a later flow with an unknown tag is dropped", t, func() {
		s := newTagSite(8)
		e := s.engine()
		flow := s.caller(safeAddr).open(e)
		flow.seq, flow.ack, flow.tag = 1<<30, 1<<29, 1
		So(flow.send(e, 100).Op, ShouldEqual, core.OpDrop)
	})
	Convey("A flow whose packets went through other daemons for a while continues", t, func() {
		s := newTagSite(8)
		e := s.engine()
		flow := s.caller(safeAddr).open(e)
		flow.seq, flow.ack = flow.seq+3000, flow.ack+400_000
		v := flow.send(e, 100)
		So(v.Target.ID, ShouldEqual, flow.target)
		So(e.Loads().Open(flow.target), ShouldEqual, 1)
	})
}

// Another daemon with newer lists may have placed the flow on a target that this daemon does not know.
func TestHandshakeWithUnknownTag(t *testing.T) {
	Convey("A packet that completes a handshake with an unknown tag is dropped, also if this daemon sent a SYN of the flow to a target", t, func() {
		s := newTagSite(8)
		e := s.engine()
		flow := s.caller(safeAddr)
		first := flow.syn(e).Tag
		flow.seq, flow.ack, flow.tag = flow.seq+1, 5000, 1
		v := flow.send(e, 100)
		So(v.Op, ShouldEqual, core.OpDrop)
		So(v.Kind, ShouldEqual, errkind.TargetLost)
		flow.tag = first
		So(flow.send(e, 100).Target.ID, ShouldEqual, flow.target)
	})
}
