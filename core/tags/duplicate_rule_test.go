package tags

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/packet"
)

// TestDuplicateSYNAfterChange guards against a copy of a SYN that opens a flow where the lists in force do not allow it any
// more, such as at the service that the flow's route has left. It is the table of what a record may decide after a change.
func TestDuplicateSYNAfterChange(t *testing.T) {
	setRoute := func(shares ...directory.ShareSpec) func(*tagSite, directory.Registration) {
		return func(s *tagSite, _ directory.Registration) {
			plan := *s.directory.Plan()
			plan.Version++
			plan.Routes = append([]directory.RouteSpec(nil), plan.Routes...)
			for i := range plan.Routes {
				if plan.Routes[i].Address == unsafeAddr {
					plan.Routes[i].Shares = shares
				}
			}
			s.directory.SetPlan(&plan)
		}
	}
	register := func(change func(r *directory.Registration)) func(*tagSite, directory.Registration) {
		return func(s *tagSite, r directory.Registration) {
			change(&r)
			s.directory.Register(s.now, r)
		}
	}
	for _, c := range []struct {
		name   string
		change func(s *tagSite, target directory.Registration)
		op     core.Op
		kind   errkind.Kind
	}{
		{"nothing changes", func(*tagSite, directory.Registration) {}, core.OpForward, errkind.None},
		{"the route moves to another service", setRoute(directory.ShareSpec{Service: "brochure", Weight: 1}), core.OpDrop, errkind.NoTargetReachable},
		{"the route keeps a share for the service", setRoute(directory.ShareSpec{Service: "brochure", Weight: 9}, directory.ShareSpec{Service: "booking", Weight: 1}), core.OpForward, errkind.None},
		{"the service's share falls to 0", setRoute(directory.ShareSpec{Service: "brochure", Weight: 9}, directory.ShareSpec{Service: "booking"}), core.OpDrop, errkind.NoTargetReachable},
		{"the route ends", setRoute(), core.OpDrop, errkind.NoSuchService},
		{"the target's zone is drained", func(s *tagSite, _ directory.Registration) { s.directory.SetZoneDraining("a", true) }, core.OpDrop, errkind.ZoneDraining},
		{"the target goes over to another service", register(func(r *directory.Registration) { r.Service = "brochure" }), core.OpDrop, errkind.NoTargetReachable},
		{"the target announces its stop", register(func(r *directory.Registration) { r.Draining = true }), core.OpForward, errkind.None},
		{"the target's registration ends", func(s *tagSite, r directory.Registration) { s.directory.EndRegistration(s.now, r.Name) }, core.OpForward, errkind.None},
	} {
		Convey("When "+c.name+" between a SYN and its copy", t, func() {
			s := newTagSite(1)
			e := s.engine()
			flow := s.caller(unsafeAddr)
			first := flow.syn(e)
			So(first.Target.Service, ShouldEqual, "booking")
			s.now = s.now.Add(100 * time.Millisecond)
			c.change(s, s.registration("booking", 0))
			s.publish(e)
			for _, wait := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
				s.now = s.now.Add(wait)
				v := flow.syn(e)
				So(v.Op, ShouldEqual, c.op)
				So(v.Kind, ShouldEqual, c.kind)
				if v.Op == core.OpForward {
					So(v.Target.Name, ShouldEqual, first.Target.Name)
				}
			}
			Convey("a caller that got an answer to its first SYN goes on with it", func() {
				flow.seq++
				flow.ack = 5000
				v := e.FromCaller(s.now, flow.meta(packet.ACK, 0), first.Tag)
				So(v.Op, ShouldEqual, core.OpForward)
				So(v.Target.Name, ShouldEqual, first.Target.Name)
			})
			Convey("a new flow goes by the lists in force", func() {
				if v := s.caller(unsafeAddr).syn(e); v.Op == core.OpForward {
					So(s.directory.Snapshot(s.now).RouteAt(unsafeAddr).IsServedBy(v.Target.Service), ShouldBeTrue)
				}
			})
		})
	}
}
