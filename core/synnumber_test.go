package core

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLateCopyOfASYNAtANewOwner(t *testing.T) {
	Convey("A late copy of a SYN does not move its flow either where another owner has taken the flow in", t, func() {
		f := newFleet(t, 1, testLists(1, 8, 14))
		f.startAll()
		flows := f.openAll(0, firstNumber)
		So(f.astray(1, flows, firstNumber), ShouldEqual, 0)
		f.run(3 * time.Second)
		f.crash(3)
		f.run(6 * time.Second)
		So(f.astray(1, flows, firstNumber), ShouldEqual, 0)
		f.openMore(5000, otherFlows)
		f.run(6 * time.Second)
		f.openAll(0, firstNumber)
		f.run(time.Second)
		So(f.astray(1, flows, firstNumber), ShouldEqual, 0)
	})
}
