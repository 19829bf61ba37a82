package outage

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTracker(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	Convey("Given a daemon that starts and places flows after 100 ms", t, func() {
		tr := NewTracker(start)
		So(tr.Covers(at(-500)), ShouldBeFalse)
		tr.Begin(at(100))
		Convey("SYNs that were sent before belong to an outage", func() {
			So(tr.Covers(at(-500)), ShouldBeTrue)
			So(tr.Covers(at(99)), ShouldBeTrue)
			So(tr.Covers(at(100)), ShouldBeFalse)
		})
		Convey("also if another daemon began later, or has not begun", func() {
			tr.Heard(at(400), NewTracker(start).Placing(at(400)))
			So(tr.Covers(at(99)), ShouldBeTrue)
			So(tr.OthersPlace(), ShouldBeFalse)
			later := NewTracker(start)
			later.Begin(at(300))
			tr.Heard(at(400), later.Placing(at(400)))
			So(tr.Covers(at(99)), ShouldBeTrue)
			So(tr.OthersPlace(), ShouldBeTrue)
		})
		Convey("but not those sent after another daemon began, whatever delay its report had", func() {
			other := NewTracker(at(-300))
			other.Begin(at(-200))
			tr.Heard(at(140), other.Placing(at(120)))
			So(tr.Covers(at(-180)), ShouldBeFalse)
			So(tr.Covers(at(-200)), ShouldBeFalse)
			So(tr.Covers(at(-260)), ShouldBeTrue)
			Convey("and a later report does not change that", func() {
				tr.Heard(at(900), NewTracker(start).Placing(at(900)))
				So(tr.Covers(at(-180)), ShouldBeFalse)
			})
		})
		Convey("and none if a daemon does not report it", func() {
			tr.Heard(at(200), Unknown)
			So(tr.Covers(at(-10_000)), ShouldBeFalse)
		})
		Convey("A second beginning has no effect", func() {
			tr.Begin(at(900))
			So(tr.Covers(at(500)), ShouldBeFalse)
		})
	})
}
