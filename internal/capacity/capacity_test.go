package capacity

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFit(t *testing.T) {
	Convey("Points on a line give this line and a residual of 0", t, func() {
		l := Fit([]Point{{1, 12}, {2, 14}, {10, 30}})
		So(l.Fixed, ShouldAlmostEqual, 10, 1e-9)
		So(l.PerUnit, ShouldAlmostEqual, 2, 1e-9)
		So(l.Residual, ShouldAlmostEqual, 0, 1e-9)
		So(l.At(100), ShouldAlmostEqual, 210, 1e-9)
	})
	Convey("The residual is the largest relative error", t, func() {
		l := Fit([]Point{{1, 10}, {2, 20}, {3, 33}, {4, 40}})
		So(l.Residual, ShouldBeBetween, 0.03, 0.1)
	})
}

func TestExperiments(t *testing.T) {
	Convey("Every experiment has a unique ID and at least three sizes", t, func() {
		seen := make(map[ID]bool)
		for _, e := range experiments() {
			So(seen[e.id], ShouldBeFalse)
			seen[e.id] = true
			So(len(e.sizes), ShouldBeGreaterThanOrEqualTo, 3)
		}
	})
	Convey("Costs that are independent of the machine match the wire formats", t, func() {
		So(healthBytes(10), ShouldEqual, 90)
		So(heartbeatFanout(8), ShouldEqual, 7+2*7)
		So(heartbeatBytes(4)-heartbeatBytes(0), ShouldBeBetweenOrEqual, 4*7, 4*20)
	})
	Convey("The generated lists of the target size are valid", t, func() {
		So(func() { fleet{customers: 4, entries: 600, targets: 6100}.snapshot() }, ShouldNotPanic)
	})
}

func TestRoles(t *testing.T) {
	Convey("Roles uses only measured slopes", t, func() {
		slopes := make(Slopes)
		for _, e := range experiments() {
			slopes[e.id] = Slope{ID: e.id, Line: Line{Fixed: 1, PerUnit: 1}}
		}
		items := Roles(slopes, TargetSize())
		So(items, ShouldNotBeEmpty)
		So(Total(items).Core, ShouldBeGreaterThan, 0)
	})
}
