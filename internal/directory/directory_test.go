package directory

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
)

func plan(version uint64, services ...string) *Plan {
	p := &Plan{Version: version}
	for _, name := range services {
		p.Services = append(p.Services, ServiceSpec{Name: name, MaxConnections: 100})
	}
	p.Routes = []RouteSpec{{
		Name:    "r",
		Address: netip.MustParseAddrPort("198.18.0.1:443"),
		Shares:  []ShareSpec{{Service: services[0], Weight: 1}},
	}}
	return p
}

func registration(name string) Registration {
	return Registration{Name: name, Service: "s", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 3}
}

// names lists the published, expired and previous targets of a snapshot.
func names(s *model.Snapshot) (published, expired, previous []string) {
	for _, svc := range s.Services {
		for _, t := range svc.Targets {
			if t.Expired {
				expired = append(expired, t.Name)
			} else {
				published = append(published, t.Name)
			}
		}
	}
	for _, t := range s.PreviousTargets {
		previous = append(previous, t.Name)
	}
	return published, expired, previous
}

func TestSnapshotOfPlans(t *testing.T) {
	Convey("Without a plan there is no snapshot", t, func() {
		d := New(Config{})
		d.Register(time.Unix(1, 0), registration("x"))
		So(d.Snapshot(time.Unix(1, 0)), ShouldBeNil)
	})
	Convey("A plan is replaced only by a newer version", t, func() {
		d := New(Config{})
		So(d.SetPlan(plan(5, "s")), ShouldBeTrue)
		So(d.SetPlan(plan(4, "s")), ShouldBeFalse)
		So(d.SetPlan(plan(5, "t")), ShouldBeFalse)
		So(d.Plan().Version, ShouldEqual, 5)
	})
	Convey("A snapshot combines routes, services and targets", t, func() {
		d := New(Config{Regions: map[string]string{"a": "west"}})
		p := plan(1, "s", "other")
		p.Routes = append(p.Routes, RouteSpec{Name: "nowhere", Address: netip.MustParseAddrPort("198.18.0.2:443"), Shares: []ShareSpec{{Service: "unknown", Weight: 1}}})
		d.SetPlan(p)
		now := time.Unix(100, 0)
		r := registration("x")
		r.Warmup = 2 * time.Second
		d.Register(now, r)
		unknown := registration("y")
		unknown.Service = "unknown"
		d.Register(now, unknown)
		s := d.Snapshot(now)
		published, _, previous := names(s)
		So(published, ShouldResemble, []string{"x"})
		So(previous, ShouldResemble, []string{"y"})
		So(s.Routes, ShouldHaveLength, 1)
		x := s.Services[0].Targets[0]
		So(x.Zone, ShouldResemble, model.Zone{Region: "west", Name: "a"})
		So(x.MaxConnections, ShouldEqual, 100)
		So(x.WarmUntil, ShouldEqual, now.Add(2*time.Second))
		So(s.RouteAt(p.Routes[0].Address).ServiceOf(123).Name, ShouldEqual, "s")
	})
}

func TestTargetLifecycle(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("A target whose registration ends without notice is expired, then previous, then dropped", t, func() {
		d := New(Config{})
		d.SetPlan(plan(1, "s"))
		d.Register(now, registration("x"))
		d.EndRegistration(now, "x")
		for _, c := range []struct {
			after                 time.Duration
			expired, wantPrevious []string
			wantNext              bool
		}{
			{0, []string{"x"}, nil, true},
			{2 * time.Second, []string{"x"}, nil, true},
			{2500 * time.Millisecond, nil, []string{"x"}, true},
			{70 * time.Second, nil, []string{"x"}, true},
			{75 * time.Second, nil, nil, false},
		} {
			at := now.Add(c.after)
			published, expired, previous := names(d.Snapshot(at))
			So(published, ShouldBeEmpty)
			So(expired, ShouldResemble, c.expired)
			So(previous, ShouldResemble, c.wantPrevious)
			next, ok := d.NextChange(at)
			So(ok, ShouldEqual, c.wantNext)
			if ok {
				So(next.After(at), ShouldBeTrue)
			}
		}
	})
	Convey("A draining target is a previous one as soon as its registration ends", t, func() {
		d := New(Config{})
		d.SetPlan(plan(1, "s"))
		r := registration("x")
		r.Draining = true
		d.Register(now, r)
		d.EndRegistration(now, "x")
		_, expired, previous := names(d.Snapshot(now))
		So(expired, ShouldBeEmpty)
		So(previous, ShouldResemble, []string{"x"})
	})
	Convey("A target that registers again is published again", t, func() {
		d := New(Config{})
		d.SetPlan(plan(1, "s"))
		d.Register(now, registration("x"))
		d.EndRegistration(now, "x")
		d.EndRegistration(now.Add(time.Second), "x")
		d.EndRegistration(now, "never seen")
		d.Register(now.Add(2*time.Second), registration("x"))
		published, expired, previous := names(d.Snapshot(now.Add(2 * time.Second)))
		So(published, ShouldResemble, []string{"x"})
		So(expired, ShouldBeEmpty)
		So(previous, ShouldBeEmpty)
	})
}
