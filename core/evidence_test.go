package core

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEvidenceOfConnectionAttempts(t *testing.T) {
	Convey("Given a daemon that owns a flow of a service whose answers go past it", t, func() {
		f := newFleet(t, 1, testLists(1, 1, 1))
		f.startAll()
		loads := f.nodes[0].engine.Loads()
		id := f.lists.Services[0].Targets[0].ID
		f.open(0)
		Convey("a SYN repeated at once says nothing", func() {
			f.open(0)
			So(loads.Evidence(id).MissesInRow, ShouldEqual, 0)
		})
		Convey("a SYN repeated after a second says that the target did not answer", func() {
			f.run(time.Second)
			f.open(0)
			So(loads.Evidence(id).MissesInRow, ShouldEqual, 1)
			Convey("until a flow goes on after its SYN", func() {
				flows := f.openMany(1)
				So(flows, ShouldHaveLength, 1)
				So(loads.Evidence(id).MissesInRow, ShouldEqual, 0)
				So(loads.Evidence(id).LastAnswer.IsZero(), ShouldBeFalse)
			})
		})
	})
}
