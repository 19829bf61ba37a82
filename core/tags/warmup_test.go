package tags

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// countingGate allows a number of first packets to each target that warms up.
type countingGate struct {
	limit int
	taken map[model.TargetID]int
}

func (g *countingGate) MayOffer(now time.Time, t *model.Target) bool {
	return !now.Before(t.WarmUntil) || g.taken[t.ID] < g.limit
}

func (g *countingGate) Take(now time.Time, t *model.Target) bool {
	if !g.MayOffer(now, t) {
		return false
	}
	if now.Before(t.WarmUntil) {
		g.taken[t.ID]++
	}
	return true
}

// warmingSite is a site whose first targets of booking warm up.
func warmingSite(targets, warming, limit int) (*tagSite, *Engine, *countingGate) {
	s := newTagSite(targets)
	for i := range warming {
		r := s.registration("booking", i)
		r.Warmup = 2 * time.Second
		s.directory.Register(s.now, r)
	}
	g := &countingGate{limit: limit, taken: make(map[model.TargetID]int)}
	e := New(Config{Policy: placement.NewNearest(placement.NearestConfig{Zone: model.Zone{Name: "a"}, Warmup: g}), Warmup: g, Epoch: s.now})
	s.publish(e)
	e.SetCurrent(true)
	return s, e, g
}

func TestWarmingTargets(t *testing.T) {
	Convey("A target that warms up gets the flows that its limit allows, the others get the rest", t, func() {
		s, e, _ := warmingSite(4, 1, 2)
		got := make(map[model.TargetID]int)
		for range 200 {
			v := s.caller(unsafeAddr).syn(e)
			So(v.Op, ShouldEqual, core.OpForward)
			got[v.Target.ID]++
		}
		So(got[s.directory.ID("booking-00")], ShouldEqual, 2)
		So(got, ShouldHaveLength, 4)
	})
	Convey("A service whose targets all warm up serves what is allowed and refuses the rest until the first one is warm", t, func() {
		s, e, _ := warmingSite(3, 3, 2)
		served := 0
		for range 20 {
			v := s.caller(unsafeAddr).syn(e)
			if v.Op == core.OpForward {
				served++
				continue
			}
			So(v.Op, ShouldEqual, core.OpReset)
			So(v.Kind, ShouldEqual, errkind.TargetsWarming)
			So(v.RetryAfter, ShouldBeBetweenOrEqual, 2*time.Second, 3*time.Second)
		}
		So(served, ShouldEqual, 6)
		s.now = s.now.Add(2 * time.Second)
		So(s.caller(unsafeAddr).syn(e).Op, ShouldEqual, core.OpForward)
	})
	Convey("A duplicate SYN counts, and is dropped beyond the limit", t, func() {
		s, e, g := warmingSite(1, 1, 2)
		flow := s.caller(unsafeAddr)
		So(flow.syn(e).Op, ShouldEqual, core.OpForward)
		s.now = s.now.Add(200 * time.Millisecond)
		So(flow.syn(e).Reason, ShouldEqual, Repeated)
		So(g.taken[flow.target], ShouldEqual, 2)
		s.now = s.now.Add(400 * time.Millisecond)
		v := flow.syn(e)
		So(v.Op, ShouldEqual, core.OpDrop)
		So(v.Kind, ShouldEqual, errkind.TargetsWarming)
	})
	Convey("A duplicate SYN of a target that a probe did not find counts at that one, and at no other", t, func() {
		s, e, g := warmingSite(2, 2, 2)
		flow := s.caller(unsafeAddr)
		first := flow.syn(e).Target
		s.now = s.now.Add(190 * time.Millisecond)
		e.Probed(s.now, first.ID, placement.ProbeNoAnswer)
		s.now = s.now.Add(10 * time.Millisecond)
		So(flow.syn(e).Reason, ShouldEqual, Repeated)
		So(g.taken, ShouldHaveLength, 1)
		So(g.taken[first.ID], ShouldEqual, 2)
	})
}
