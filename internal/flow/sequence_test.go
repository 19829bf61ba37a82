package flow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFlowSequenceNumber(t *testing.T) {
	Convey("For a flow that is known only from a log", t, func() {
		epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		table := NewTable(Config{}, epoch)
		table.Insert(epoch, 7, Entry{Target: 1, State: StateOpen})
		opened := func(syn uint32) (own, known bool) {
			e, _ := table.Get(7)
			return e.OwnsSYN(syn)
		}
		Convey("it is unknown whether a SYN belongs to it", func() {
			table.SetSeqNumber(7, SeqOfLaterPacket, 1000)
			_, known := opened(999)
			So(known, ShouldBeFalse)
		})
		Convey("with a later packet's number known, a SYN whose number is slightly lower belongs to it, also across the wraparound", func() {
			table.Identify(7, PackedAddrPort{Port: 40000}, PackedAddrPort{Port: 443})
			table.SetSeqNumber(7, SeqOfLaterPacket, 1000)
			for syn, want := range map[uint32]bool{999: true, 1<<32 - 1000: true, 1001: false, 1 << 30: false} {
				own, known := opened(syn)
				So(own, ShouldEqual, want)
				So(known, ShouldBeTrue)
			}
		})
		Convey("with its initial sequence number known, only that SYN belongs to it, until the flow is removed", func() {
			table.Identify(7, PackedAddrPort{Port: 40000}, PackedAddrPort{Port: 443})
			table.SetSeqNumber(7, SeqInitial, 1000)
			own, _ := opened(1000)
			So(own, ShouldBeTrue)
			own, _ = opened(999)
			So(own, ShouldBeFalse)
			table.Remove(7)
			table.Insert(epoch, 7, Entry{Target: 2})
			_, known := opened(1000)
			So(known, ShouldBeFalse)
		})
		Convey("the entry keeps the initial sequence number of the flow that it replaced", func() {
			table.Remove(7)
			added, _ := table.Insert(epoch, 7, Entry{Service: PackedAddrPort{Port: 443}, SeqKind: SeqInitial, SeqNumber: 1000, ReplacedISN: 5})
			So(added.ReplacedSYN(5), ShouldBeTrue)
			e, _ := table.Get(7)
			So(e.ReplacedSYN(5), ShouldBeTrue)
			So(e.ReplacedSYN(6), ShouldBeFalse)
			So(Entry{}.ReplacedSYN(0), ShouldBeFalse)
		})
	})
}
