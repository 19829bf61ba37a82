package contain

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRun(t *testing.T) {
	Convey("A panic comes back as an error with its value and its place", t, func() {
		err := Run(func() { panic("broken table") })
		var p *Panic
		So(errors.As(err, &p), ShouldBeTrue)
		So(p.Value, ShouldEqual, "broken table")
		So(err.Error(), ShouldEqual, "panic: broken table")
		So(string(p.Stack), ShouldContainSubstring, "TestRun")
		So(len(p.Stack), ShouldBeLessThanOrEqualTo, maxStackBytes)
	})
	Convey("A fault of the runtime comes back too", t, func() {
		var none []int
		So(Run(func() { _ = none[len(none)] }), ShouldNotBeNil)
	})
	Convey("Without a panic there is no error", t, func() {
		done := false
		So(Run(func() { done = true }), ShouldBeNil)
		So(done, ShouldBeTrue)
	})
	Convey("Nothing is allocated without a panic", t, func() {
		n := 0
		So(testing.AllocsPerRun(100, func() { _ = Run(func() { n++ }) }), ShouldEqual, 0)
	})
}
