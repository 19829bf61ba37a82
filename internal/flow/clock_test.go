package flow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
)

// Each goroutine reads the clock on its own, so a packet may carry a later time than a call that
// comes after it.
func TestTimesOutOfOrder(t *testing.T) {
	const h = model.FlowHash(7)
	epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	early := epoch.Add(time.Minute)
	late := early.Add(3 * time.Millisecond)

	Convey("Given a flow whose last packet carries a later time than the next call", t, func() {
		table := NewTable(Config{}, epoch)
		table.Insert(late, h, Entry{Target: 1, State: StateOpen})
		Convey("it is not taken for a silent one", func() {
			for turn := range uint64(shardCount) {
				So(table.Expire(early, turn, false), ShouldBeEmpty)
			}
			_, ok := table.Get(h)
			So(ok, ShouldBeTrue)
		})
		Convey("its age is zero", func() {
			e, _ := table.Get(h)
			So(table.Age(early, e), ShouldEqual, 0)
			So(table.Age(late.Add(time.Second), e), ShouldEqual, time.Second)
		})
		Convey("an earlier packet does not take its time back", func() {
			e, ok := table.Touch(early, h, StateOpen)
			So(ok, ShouldBeTrue)
			So(table.Age(late, e), ShouldEqual, 0)
		})
	})
	Convey("A cached flow stays covered when a packet carries an earlier time than its last hop", t, func() {
		seen := NewSeen(SeenConfig{}, epoch)
		direct, _ := seen.Direct(late, h, Position{Owner: 1}, 1)
		So(direct, ShouldBeFalse)
		direct, _ = seen.Direct(early, h, Position{Owner: 1, Echoed: 2}, 3)
		So(direct, ShouldBeTrue)
	})
}

func TestSilenceAcrossTheCutOfTheClock(t *testing.T) {
	Convey("Silence is counted over the wrap of the 32-bit clock", t, func() {
		epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		wrap := epoch.Add(time.Duration(1<<32) * time.Millisecond)
		table := NewTable(Config{}, epoch)
		table.Insert(wrap.Add(-time.Second), 7, Entry{Target: 1, State: StateOpen})
		e, _ := table.Get(7)
		So(table.Age(wrap.Add(time.Second), e), ShouldEqual, 2*time.Second)
		for turn := range uint64(shardCount) {
			So(table.Expire(wrap.Add(time.Minute), turn, false), ShouldBeEmpty)
		}
		var gone int
		for turn := range uint64(shardCount) {
			gone += len(table.Expire(wrap.Add(2*time.Hour), turn, false))
		}
		So(gone, ShouldEqual, 1)
	})
}
