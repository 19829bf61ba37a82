package tags

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// newZonedSite returns a site with a number of booking targets in each of zones a, b and c, which are in two regions.
func newZonedSite(perZone int) *tagSite {
	s := newTagSite(0)
	plan := s.directory.Plan()
	s.directory = directory.New(directory.Config{Regions: map[string]string{"a": "north", "b": "north", "c": "south"}})
	s.directory.SetPlan(plan)
	for i := range 3 * perZone {
		r := s.registration("booking", i)
		r.Zone = []string{"a", "b", "c"}[i%3]
		s.directory.Register(s.now, r)
	}
	return s
}

// zonedEngine returns the engine of a daemon in a zone of a site of newZonedSite.
func (s *tagSite) zonedEngine(zone string, requestProbe func(*model.Target)) *Engine {
	z := model.Zone{Region: map[string]string{"a": "north", "b": "north", "c": "south"}[zone], Name: zone}
	e := New(Config{
		Policy:       placement.NewNearest(placement.NearestConfig{Zone: z}),
		Epoch:        s.now,
		RequestProbe: requestProbe,
	})
	s.publish(e)
	e.SetCurrent(true)
	return e
}

// setDrain begins or ends the drain of a zone at a daemon.
func (s *tagSite) setDrain(e *Engine, zone string, draining bool) {
	s.directory.SetZoneDraining(zone, draining)
	s.publish(e)
}

// setRegions publishes the regions of all routes.
func (s *tagSite) setRegions(e *Engine, regions ...string) {
	plan := *s.directory.Plan()
	plan.Version++
	plan.Routes = append([]directory.RouteSpec(nil), plan.Routes...)
	for i := range plan.Routes {
		plan.Routes[i].Regions = regions
	}
	s.directory.SetPlan(&plan)
	s.publish(e)
}

// zonesOf opens n flows and returns how many were placed in each zone, or refused by kind.
func (s *tagSite) zonesOf(e *Engine, n int) map[string]int {
	zones := make(map[string]int)
	for range n {
		s.now = s.now.Add(200 * time.Millisecond)
		v := s.caller(safeAddr).syn(e)
		if v.Op == core.OpForward {
			zones[v.Target.Zone.Name]++
		} else {
			zones[v.Kind.String()]++
		}
	}
	return zones
}

// halfOpenIn returns a caller whose first SYN was sent to a target of a zone.
func (s *tagSite) halfOpenIn(e *Engine, zone string) (*caller, *model.Target) {
	for {
		c := s.caller(safeAddr)
		if v := c.syn(e); v.Op == core.OpForward && v.Target.Zone.Name == zone {
			return c, v.Target
		}
	}
}

func TestZoneDrain(t *testing.T) {
	Convey("No new flow goes to a drained zone, and open ones stay", t, func() {
		s := newZonedSite(3)
		e := s.zonedEngine("a", nil)
		c, target := s.halfOpenIn(e, "a")
		c.finishHandshake(e)
		s.setDrain(e, "a", true)
		So(s.zonesOf(e, 100)["a"], ShouldEqual, 0)
		So(c.send(e, 100).Target.ID, ShouldEqual, target.ID)
		So(c.send(s.zonedEngine("a", nil), 100).Target.ID, ShouldEqual, target.ID)
		s.setDrain(e, "a", false)
		So(s.zonesOf(e, 100), ShouldResemble, map[string]int{"a": 100})
	})
	Convey("Two drains are in force at once and end one by one", t, func() {
		s := newZonedSite(3)
		e := s.zonedEngine("a", nil)
		s.setDrain(e, "a", true)
		s.setDrain(e, "c", true)
		So(s.zonesOf(e, 100), ShouldResemble, map[string]int{"b": 100})
		s.setDrain(e, "a", false)
		So(s.zonesOf(e, 100), ShouldResemble, map[string]int{"a": 100})
		s.setDrain(e, "c", false)
		So(s.zonesOf(s.zonedEngine("c", nil), 100), ShouldResemble, map[string]int{"c": 100})
	})
	Convey("A service whose targets are all in drained zones refuses new flows at once", t, func() {
		s := newZonedSite(1)
		e := s.zonedEngine("a", nil)
		for _, z := range []string{"a", "b", "c"} {
			s.setDrain(e, z, true)
		}
		v := s.caller(safeAddr).syn(e)
		So(v.Op, ShouldEqual, core.OpReset)
		So(v.Kind, ShouldEqual, errkind.ZoneDraining)
	})
	Convey("A target whose registration expired takes no flow in a drained zone, not even as the last one", t, func() {
		s := newZonedSite(1)
		e := s.zonedEngine("a", nil)
		for _, name := range []string{"booking-00", "booking-01", "booking-02"} {
			s.directory.EndRegistration(s.now, name)
		}
		for _, z := range []string{"a", "b", "c"} {
			s.setDrain(e, z, true)
		}
		So(s.zonesOf(e, 10), ShouldResemble, map[string]int{"zone_draining": 10})
	})
}

func TestDuplicateSYNOfDrainedZone(t *testing.T) {
	probes := 0
	setUp := func() (*tagSite, *Engine, *caller, *model.Target) {
		s := newZonedSite(3)
		e := s.zonedEngine("a", func(*model.Target) { probes++ })
		c, target := s.halfOpenIn(e, "a")
		s.setDrain(e, "a", true)
		s.now = s.now.Add(200 * time.Millisecond)
		return s, e, c, target
	}
	Convey("It reaches neither its target nor another one, which might both answer", t, func() {
		_, e, c, target := setUp()
		v := c.syn(e)
		So(v.Op, ShouldEqual, core.OpDrop)
		So(v.Kind, ShouldEqual, errkind.ZoneDraining)
		Convey("and the caller goes on with the answer to the first one", func() {
			c.finishHandshake(e)
			So(c.send(e, 100).Target.ID, ShouldEqual, target.ID)
		})
	})
	Convey("It is dropped also if a probe did not find its target", t, func() {
		s, e, c, target := setUp()
		e.Probed(s.now, target.ID, placement.ProbeNoAnswer)
		s.now = s.now.Add(200 * time.Millisecond)
		v := c.syn(e)
		So(v.Op, ShouldEqual, core.OpDrop)
		So(v.Kind, ShouldEqual, errkind.ZoneDraining)
	})
	Convey("It goes to its target again when the drain was taken back", t, func() {
		s, e, c, target := setUp()
		s.setDrain(e, "a", false)
		So(c.syn(e).Target.ID, ShouldEqual, target.ID)
	})
}

func TestRegionsOfRoutes(t *testing.T) {
	Convey("New flows go to the route's regions, also from a daemon elsewhere", t, func() {
		s := newZonedSite(3)
		e := s.zonedEngine("c", nil)
		s.setRegions(e, "north")
		zones := s.zonesOf(e, 100)
		So(zones["a"]+zones["b"], ShouldEqual, 100)
	})
	Convey("With the zones of the regions drained, new flows are refused at once", t, func() {
		s := newZonedSite(3)
		e := s.zonedEngine("a", nil)
		s.setRegions(e, "south")
		s.setDrain(e, "c", true)
		So(s.zonesOf(e, 10), ShouldResemble, map[string]int{"zone_draining": 10})
	})
	Convey("With no target in the regions, new flows are refused at once", t, func() {
		s := newZonedSite(3)
		e := s.zonedEngine("a", nil)
		s.setRegions(e, "west")
		So(s.zonesOf(e, 10), ShouldResemble, map[string]int{"no_target_reachable": 10})
	})
	Convey("A duplicate SYN does not reach a target that the route's regions exclude since", t, func() {
		s := newZonedSite(3)
		e := s.zonedEngine("a", nil)
		c, _ := s.halfOpenIn(e, "a")
		s.setRegions(e, "south")
		s.now = s.now.Add(200 * time.Millisecond)
		So(c.syn(e).Op, ShouldEqual, core.OpDrop)
	})
	Convey("A duplicate SYN stays within the route's regions, also if a probe did not find its target", t, func() {
		s := newZonedSite(3)
		e := s.zonedEngine("a", func(*model.Target) {})
		s.setRegions(e, "north")
		for range 20 {
			c, target := s.halfOpenIn(e, "a")
			e.Probed(s.now, target.ID, placement.ProbeNoAnswer)
			s.now = s.now.Add(200 * time.Millisecond)
			So(c.syn(e).Target.ID, ShouldEqual, target.ID)
			s.now = s.now.Add(5 * time.Second)
		}
	})
}
