package flow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestNumberOfAFlow(t *testing.T) {
	Convey("Given a flow that is known from a log alone", t, func() {
		epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		table := NewTable(Config{}, epoch)
		table.Insert(epoch, 7, Entry{Target: 1, State: StateOpen})
		opened := func(syn uint32) (own, known bool) {
			e, _ := table.Get(7)
			return e.OpenedBy(syn)
		}
		Convey("nothing tells whether a SYN is its own", func() {
			table.SetNumber(7, NumberLater, 1000)
			_, known := opened(999)
			So(known, ShouldBeFalse)
		})
		Convey("by a later packet's number its SYN is one a little before, also where numbers wrap around", func() {
			table.Identify(7, Endpoint{Port: 40000}, Endpoint{Port: 443})
			table.SetNumber(7, NumberLater, 1000)
			for syn, want := range map[uint32]bool{999: true, 1<<32 - 1000: true, 1001: false, 1 << 30: false} {
				own, known := opened(syn)
				So(own, ShouldEqual, want)
				So(known, ShouldBeTrue)
			}
		})
		Convey("by its opening number its SYN is that one alone, which an end takes away", func() {
			table.Identify(7, Endpoint{Port: 40000}, Endpoint{Port: 443})
			table.SetNumber(7, NumberOpening, 1000)
			own, _ := opened(1000)
			So(own, ShouldBeTrue)
			own, _ = opened(999)
			So(own, ShouldBeFalse)
			table.Remove(7)
			table.Insert(epoch, 7, Entry{Target: 2})
			_, known := opened(1000)
			So(known, ShouldBeFalse)
		})
		Convey("the number of the flow that it replaced stays with it", func() {
			table.Remove(7)
			added, _ := table.Insert(epoch, 7, Entry{Service: Endpoint{Port: 443}, Numbering: NumberOpening, Number: 1000, Earlier: 5})
			So(added.Replaced(5), ShouldBeTrue)
			e, _ := table.Get(7)
			So(e.Replaced(5), ShouldBeTrue)
			So(e.Replaced(6), ShouldBeFalse)
			So(Entry{}.Replaced(0), ShouldBeFalse)
		})
	})
}
