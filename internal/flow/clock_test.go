package flow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
)

// Goroutines read the clock independently, so a packet may carry a later time than a call that is
// handled after it. Such a flow must not count as idle for a very long time.
func TestTimesOutOfOrder(t *testing.T) {
	const h = model.FlowHash(7)
	epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	early := epoch.Add(time.Minute)
	late := early.Add(3 * time.Millisecond)

	Convey("A flow whose last packet carries a later time than the next call", t, func() {
		table := NewTable(Config{}, epoch)
		table.Insert(late, h, Entry{Target: 1, State: StateOpen})
		Convey("does not expire as idle", func() {
			for turn := range uint64(shardCount) {
				So(table.Expire(early, turn, false), ShouldBeEmpty)
			}
			_, ok := table.Get(h)
			So(ok, ShouldBeTrue)
		})
		Convey("has an age of zero", func() {
			e, _ := table.Get(h)
			So(table.Age(early, e.LastSeen), ShouldEqual, 0)
			So(table.Age(late.Add(time.Second), e.LastSeen), ShouldEqual, time.Second)
		})
		Convey("keeps its time after an earlier packet", func() {
			e, ok := table.Touch(early, h, StateOpen)
			So(ok, ShouldBeTrue)
			So(table.Age(late, e.LastSeen), ShouldEqual, 0)
		})
	})
	Convey("A cached flow stays covered when a packet carries an earlier time than the last forwarded one", t, func() {
		cache := NewCache(CacheConfig{}, epoch)
		direct, _ := cache.AllowsDirect(late, h, Position{Owner: 1}, 1)
		So(direct, ShouldBeFalse)
		direct, _ = cache.AllowsDirect(early, h, Position{Owner: 1, CoveredMark: 2}, 3)
		So(direct, ShouldBeTrue)
	})
}

func TestIdleTimeAcrossClockWraparound(t *testing.T) {
	Convey("Idle time is correct across the wraparound of the 32-bit clock", t, func() {
		epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		wrap := epoch.Add(time.Duration(1<<32) * time.Millisecond)
		table := NewTable(Config{}, epoch)
		table.Insert(wrap.Add(-time.Second), 7, Entry{Target: 1, State: StateOpen})
		e, _ := table.Get(7)
		So(table.Age(wrap.Add(time.Second), e.LastSeen), ShouldEqual, 2*time.Second)
		for turn := range uint64(shardCount) {
			So(table.Expire(wrap.Add(time.Minute), turn, false), ShouldBeEmpty)
		}
		var expired int
		for turn := range uint64(shardCount) {
			expired += len(table.Expire(wrap.Add(2*time.Hour), turn, false))
		}
		So(expired, ShouldEqual, 1)
	})
}

func TestFlowAddresses(t *testing.T) {
	Convey("A flow that is known only from a log", t, func() {
		epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		caller := PackedAddrPort{IP: [16]byte{15: 1}, Port: 40000}
		service := PackedAddrPort{IP: [16]byte{15: 2}, Port: 443}
		table := NewTable(Config{}, epoch)
		table.Insert(epoch, 7, Entry{Target: 1, State: StateOpen, Exception: true})
		Convey("has no addresses until it is identified, and keeps all other fields then", func() {
			p, _ := table.Touch(epoch, 7, StateOpen)
			So(p, ShouldResemble, Progress{Target: 1, State: StateOpen, Exception: true})
			table.Identify(7, caller, service)
			want := Entry{Caller: caller, Service: service, Target: 1, State: StateOpen, Exception: true}
			e, ok := table.Get(7)
			So(ok, ShouldBeTrue)
			So(e, ShouldResemble, want)
			p, _ = table.Touch(epoch, 7, StateOpen)
			So(p.Identified, ShouldBeTrue)
			old, added := table.Insert(epoch, 7, Entry{Target: 2})
			So(added, ShouldBeFalse)
			So(old, ShouldResemble, want)
			table.Each(func(_ model.FlowHash, e Entry) { So(e, ShouldResemble, want) })
		})
		Convey("loses its addresses when it is removed", func() {
			table.Identify(7, caller, service)
			removed, ok := table.Remove(7)
			So(ok, ShouldBeTrue)
			So(removed.Caller, ShouldResemble, caller)
			table.Insert(epoch, 7, Entry{Target: 3})
			e, _ := table.Get(7)
			So(e.Identified(), ShouldBeFalse)
		})
		Convey("is returned with its addresses when it expires", func() {
			table.Identify(7, caller, service)
			var removed []Expired
			for turn := range uint64(shardCount) {
				removed = append(removed, table.Expire(epoch.Add(24*time.Hour), turn, false)...)
			}
			So(len(removed), ShouldEqual, 1)
			So(removed[0].Entry.Service, ShouldResemble, service)
			So(table.Len(), ShouldEqual, 0)
		})
	})
}
