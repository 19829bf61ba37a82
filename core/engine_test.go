package core

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPacketsOfAFlowReachOneTarget(t *testing.T) {
	Convey("Packets of open flows reach the target of their SYN at every daemon, at any age", t, func() {
		f := newFleet(t, 1, testLists(1, 8, 14))
		f.startAll()
		flows := f.openMany(2000)
		exceptions := 0
		for _, n := range f.nodes {
			exceptions += n.engine.Status().Exceptions
		}
		So(exceptions, ShouldBeGreaterThan, 0)
		for range 20 {
			So(f.probe(flows), ShouldResemble, outcome{right: len(flows)})
			f.run(100 * time.Millisecond)
		}
	})
}

func TestCrashOfOneDaemon(t *testing.T) {
	Convey("After a crash every flow whose record was acknowledged goes on", t, func() {
		f := newFleet(t, 2, testLists(1, 8, 14))
		f.startAll()
		flows := f.openMany(2000)
		f.run(3 * time.Second)
		f.crash(3)
		f.run(6 * time.Second)
		for range 5 {
			So(f.probe(flows), ShouldResemble, outcome{right: len(flows)})
			f.run(500 * time.Millisecond)
		}
	})
}

func TestCrashOfTwoDaemons(t *testing.T) {
	Convey("The owner and the next in order may crash together", t, func() {
		f := newFleet(t, 3, testLists(1, 8, 14))
		f.startAll()
		flows := f.openMany(2000)
		f.run(3 * time.Second)
		f.crash(0)
		f.crash(3)
		f.run(6 * time.Second)
		for range 5 {
			So(f.probe(flows), ShouldResemble, outcome{right: len(flows)})
			f.run(500 * time.Millisecond)
		}
	})
}

func TestTargetsChangeWhileDaemonsDisagree(t *testing.T) {
	Convey("Lists that reach daemons up to 6 s apart break no open flow", t, func() {
		f := newFleet(t, 4, testLists(1, 8, 14))
		f.startAll()
		flows := f.openMany(2000)
		for step, lists := range []struct{ targets int }{{15}, {16}, {13}} {
			f.lists = testLists(uint64(step+2), 8, lists.targets)
			for _, i := range f.rand.Perm(8) {
				f.publishTo(i)
				f.run(800 * time.Millisecond)
				So(f.probe(flows), ShouldResemble, outcome{right: len(flows)})
			}
		}
		f.run(5 * time.Second)
		So(f.probe(flows), ShouldResemble, outcome{right: len(flows)})
	})
}

func TestRollingRestart(t *testing.T) {
	Convey("A planned stop and replacement of every daemon breaks no flow", t, func() {
		f := newFleet(t, 5, testLists(1, 8, 14))
		f.startAll()
		flows := f.openMany(1000)
		for i := range f.nodes {
			f.perform(f.nodes[i], f.nodes[i].engine.Leave(f.now))
			f.run(time.Second)
			So(f.nodes[i].engine.Drained(), ShouldBeTrue)
			So(f.probe(flows), ShouldResemble, outcome{right: len(flows)})
			f.perform(f.nodes[i], f.nodes[i].engine.Left(f.now))
			f.crash(i)
			f.run(100 * time.Millisecond)
			So(f.probe(flows), ShouldResemble, outcome{right: len(flows)})
			f.run(2 * time.Second)
			f.start(i)
			for range 12 {
				f.run(500 * time.Millisecond)
				So(f.probe(flows), ShouldResemble, outcome{right: len(flows)})
			}
			So(f.nodes[i].engine.Ready(), ShouldBeTrue)
		}
	})
}
