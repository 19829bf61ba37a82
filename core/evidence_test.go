package core

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/packet"
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

func TestClosingFlowsAreNoLoad(t *testing.T) {
	Convey("A flow stops counting as load when it starts to close, and counts once", t, func() {
		f := newFleet(t, 1, testLists(1, 1, 1))
		f.startAll()
		engine := f.nodes[0].engine
		id := f.lists.Services[0].Targets[0].ID
		flows := f.openMany(3)
		So(engine.Loads().Open(id), ShouldEqual, 3)
		for range 2 {
			fin := packet.Meta{Src: flows[0].caller, Dst: testService, Flags: packet.FIN | packet.ACK, HopLimit: 64}
			So(f.arrive(0, fin).Op, ShouldEqual, OpForward)
			So(engine.Loads().Open(id), ShouldEqual, 2)
		}
		f.run(2 * time.Minute)
		So(engine.Loads().Open(id), ShouldEqual, 2)
	})
}
