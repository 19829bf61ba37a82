package rejection

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRejections(t *testing.T) {
	Convey("A response far smaller than the route's others is a rejection", t, func() {
		var s Sizes
		So(s.IsRejection(120), ShouldBeFalse)
		for range 10 {
			s.Add(2000)
		}
		So(s.IsRejection(120), ShouldBeTrue)
		So(s.IsRejection(1200), ShouldBeFalse)
	})
	Convey("Responses of a route that are all small are not", t, func() {
		var s Sizes
		for range 10 {
			s.Add(130)
		}
		So(s.IsRejection(120), ShouldBeFalse)
	})
}
