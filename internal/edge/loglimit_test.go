package edge

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core/tags"
)

func TestLogLimiter(t *testing.T) {
	Convey("A burst of one event is limited and does not suppress the lines of other events", t, func() {
		l, now := newLogLimiter(), time.Unix(100, 0)
		learned, resets := 0, 0
		for range 100 {
			for range 100 {
				if l.allow(now, flowLearned) {
					learned++
				}
			}
			if l.allow(now, flowReset) {
				resets++
			}
			now = now.Add(100 * time.Millisecond)
		}
		So(resets, ShouldEqual, 100)
		So(learned, ShouldBeLessThanOrEqualTo, reservedLineBurst+sharedLineBurst+10*(reservedLinesPerSecond+sharedLinesPerSecond))
		So(learned, ShouldBeGreaterThan, 10*sharedLinesPerSecond)
		n, text := l.takeOmitted()
		So(n, ShouldEqual, 100*100-learned)
		So(l.total.Load(), ShouldEqual, n)
		So(text, ShouldStartWith, "learned:")
		n, text = l.takeOmitted()
		So(n, ShouldEqual, 0)
		So(text, ShouldBeEmpty)
	})
	Convey("Every reason of a forwarded packet has its event", t, func() {
		for r := tags.Placed; r <= tags.Learned; r++ {
			So(eventOf(r).String(), ShouldEqual, r.String())
		}
	})
}
