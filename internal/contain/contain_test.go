package contain

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRun(t *testing.T) {
	Convey("A panic is returned as an error with its value and stack trace", t, func() {
		err := Run(func() { panic("broken table") })
		var p *Panic
		So(errors.As(err, &p), ShouldBeTrue)
		So(p.Value, ShouldEqual, "broken table")
		So(err.Error(), ShouldEqual, "panic: broken table")
		So(string(p.Stack), ShouldContainSubstring, "TestRun")
		So(len(p.Stack), ShouldBeLessThanOrEqualTo, maxStackBytes)
	})
	Convey("A runtime error is returned too", t, func() {
		var none []int
		So(Run(func() { _ = none[len(none)] }), ShouldNotBeNil)
	})
	Convey("Without a panic, Run returns nil", t, func() {
		done := false
		So(Run(func() { done = true }), ShouldBeNil)
		So(done, ShouldBeTrue)
	})
	Convey("Run does not allocate without a panic", t, func() {
		n := 0
		So(testing.AllocsPerRun(100, func() { _ = Run(func() { n++ }) }), ShouldEqual, 0)
	})
}
