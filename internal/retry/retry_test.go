package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/fireflypin/fireflypin/internal/proptest"

	"github.com/fireflypin/fireflypin/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestBudget(t *testing.T) {
	Convey("Retries stay within a tenth of the new flows after the burst", t, func() {
		b := NewBudget(BudgetConfig{Burst: 1})
		So(b.Take(), ShouldBeTrue)
		retries := 0
		for range 1000 {
			b.NewFlow()
			if b.Take() {
				retries++
			}
		}
		So(retries, ShouldBeBetweenOrEqual, 95, 100)
	})
}

func TestResetAttempt(t *testing.T) {
	Convey("For an attempt on target 1", t, func() {
		cfg := Config{}.WithDefaults()
		b := NewBudget(BudgetConfig{Burst: 1})
		a := Start(start, 1, false)
		Convey("a RST in answer to the SYN moves it to another target, whose SYN-ACK commits it", func() {
			So(a.HandleReset(start, 1, cfg, b), ShouldEqual, TryNext)
			a.Next(start, 2)
			So(a.HandleSynAck(2), ShouldEqual, Forward)
			So(a.Committed(), ShouldBeTrue)
			So(a.WasTried(1), ShouldBeTrue)
			Convey("after which no packet of target 1 is forwarded", func() {
				So(a.HandleSynAck(1), ShouldEqual, DropAndReset)
				So(a.HandleOther(1), ShouldEqual, DropAndReset)
				So(a.HandleReset(start, 1, cfg, b), ShouldEqual, Wait)
			})
		})
		Convey("the RST is forwarded when the budget is empty", func() {
			b.Take()
			So(a.HandleReset(start, 1, cfg, b), ShouldEqual, Forward)
			So(a.HandleCaller(false), ShouldEqual, Wait)
		})
		Convey("a RST after the SYN-ACK is forwarded", func() {
			a.HandleSynAck(1)
			So(a.HandleReset(start, 1, cfg, b), ShouldEqual, Forward)
			So(a.HandleOther(1), ShouldEqual, Forward)
		})
		Convey("there are no retries after a packet of the caller other than a bare SYN", func() {
			So(a.HandleCaller(true), ShouldEqual, Forward)
			So(a.HandleReset(start, 1, cfg, b), ShouldEqual, Forward)
			So(a.Tick(start.Add(time.Hour), cfg, b), ShouldEqual, Wait)
		})
	})
	Convey("A fixed attempt never moves to another target", t, func() {
		cfg := Config{}.WithDefaults()
		b := NewBudget(BudgetConfig{})
		a := Start(start, 1, true)
		So(a.HandleReset(start, 1, cfg, b), ShouldEqual, Forward)
		So(a.Due(cfg).IsZero(), ShouldBeTrue)
	})
}

func TestUnansweredAttempt(t *testing.T) {
	Convey("An attempt that no target answers", t, func() {
		cfg := Config{}.WithDefaults()
		b := NewBudget(BudgetConfig{})
		a := Start(start, 1, false)
		So(a.Due(cfg), ShouldEqual, start.Add(cfg.Timeout))
		So(a.Tick(start, cfg, b), ShouldEqual, Wait)
		now := a.Due(cfg)
		So(a.Tick(now, cfg, b), ShouldEqual, TryNext)
		a.Next(now, 2)
		Convey("ends at its deadline", func() {
			now = a.Due(cfg)
			So(a.Tick(now, cfg, b), ShouldEqual, TryNext)
			a.Next(now, 3)
			So(a.Due(cfg), ShouldEqual, start.Add(cfg.Deadline))
			So(a.Tick(a.Due(cfg), cfg, b), ShouldEqual, GiveUp)
			So(a.HandleSynAck(3), ShouldEqual, DropAndReset)
		})
		Convey("ends when there is no other target", func() {
			So(a.Exhausted(), ShouldEqual, GiveUp)
			So(a.HandleOther(2), ShouldEqual, DropAndReset)
		})
	})
}

// TestOneTargetPerConnection checks the package's invariant on random sequences of events.
func TestOneTargetPerConnection(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		cfg := Config{}.WithDefaults()
		b := NewBudget(BudgetConfig{Burst: 100})
		now := start
		a := Start(now, 1, rapid.Bool().Draw(r, "fixed"))
		nextTarget := model.TargetID(2)
		reached := model.TargetID(0)
		if a.Committed() {
			reached = 1
		}
		for range rapid.IntRange(1, 30).Draw(r, "events") {
			from := model.TargetID(rapid.IntRange(1, 4).Draw(r, "from"))
			action := Wait
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(r, "ms")) * time.Millisecond)
				action = a.Tick(now, cfg, b)
			case 1:
				if a.HandleCaller(true) == Forward && reached == 0 {
					reached = a.Target()
				}
			case 2:
				action = a.HandleSynAck(from)
			case 3:
				action = a.HandleReset(now, from, cfg, b)
			case 4:
				action = a.HandleOther(from)
			}
			if action == Forward && from != a.Target() {
				r.Fatalf("a packet of target %d was forwarded, but the flow is on target %d", from, a.Target())
			}
			if action == TryNext {
				if reached != 0 {
					r.Fatalf("the attempt moved after data had reached target %d", reached)
				}
				a.Next(now, nextTarget)
				nextTarget++
			}
			if reached != 0 && a.Target() != reached {
				r.Fatalf("the connection moved from target %d to target %d", reached, a.Target())
			}
		}
	})
}
