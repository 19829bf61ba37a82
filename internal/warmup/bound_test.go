package warmup

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/fireflypin/fireflypin/internal/proptest"
)

// drawFaults lets faults happen to a zone at random times until the given time has passed.
func drawFaults(t *rapid.T, s *zoneSim, length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * 100 * time.Millisecond)
		d := s.daemons[rapid.IntRange(0, len(s.daemons)-1).Draw(t, "daemon")]
		for_ := time.Duration(rapid.IntRange(3, 450).Draw(t, "for")) * 100 * time.Millisecond
		switch rapid.IntRange(0, 6).Draw(t, "fault") {
		case 0:
			s.kill(d, for_)
		case 1:
			if d.up && !d.leaving && d.frozenUntil.IsZero() {
				s.leave(d, for_)
			}
		case 2:
			if d.up && d.frozenUntil.IsZero() {
				s.freeze(d, for_)
			}
		case 3:
			s.join()
		case 4:
			cutRandomly(t, s)
		case 5:
			s.part = func(int) int { return 0 }
		case 6:
			for range rapid.IntRange(1, len(s.daemons)).Draw(t, "restarts") {
				s.kill(s.daemons[s.rand.IntN(len(s.daemons))], for_)
			}
		}
	}
}

// cutRandomly cuts the zone into two to four parts of different sizes.
func cutRandomly(t *rapid.T, s *zoneSim) {
	parts := rapid.IntRange(2, 4).Draw(t, "parts")
	salt, skew := s.rand.Uint64(), rapid.IntRange(1, 5).Draw(t, "skew")
	s.part = func(i int) int {
		if x := int(mix(uint64(i+1)^salt) % uint64(parts*skew)); x < parts {
			return x
		}
		return 0
	}
}

// TestBoundHolds: in any second, no target gets more first packets than its bound.
func TestBoundHolds(t *testing.T) {
	proptest.CheckN(t, 60, func(t *rapid.T) {
		checkBound(t, rapid.IntRange(2, 30).Draw(t, "daemons"), 90*time.Second)
	})
}

// TestBoundHoldsWhileAllRestart replays a schedule in which all daemons restart while the zone is cut into parts, so that
// in some parts nobody knows how large the zone is.
func TestBoundHoldsWhileAllRestart(t *testing.T) {
	proptest.CheckOne(t, 7505, func(t *rapid.T) {
		checkBound(t, rapid.IntRange(2, 30).Draw(t, "daemons"), 90*time.Second)
	})
}

// TestBoundHoldsInLargeZones checks zones of fleets of up to 600 daemons, in three zones and in one.
func TestBoundHoldsInLargeZones(t *testing.T) {
	for seed, c := range []struct {
		daemons int
		length  time.Duration
	}{{60, 60 * time.Second}, {60, 60 * time.Second}, {200, 20 * time.Second}, {600, 5 * time.Second}} {
		proptest.CheckOne(t, seed+1, func(t *rapid.T) { checkBound(t, c.daemons, c.length) })
	}
}

func checkBound(t *rapid.T, daemons int, length time.Duration) {
	s := newZoneSim(rapid.Uint64().Draw(t, "seed"), daemons, 3,
		float64(rapid.IntRange(1, 20).Draw(t, "rate")), 1+rapid.Float64Range(0, 1).Draw(t, "overage"), float64(rapid.IntRange(0, 6).Draw(t, "slack")))
	if rapid.Bool().Draw(t, "acquainted") || daemons > 100 {
		s.acquaint()
	}
	s.run(7 * time.Second)
	drawFaults(t, s, length)
	if worst := s.worst(); worst > s.bound() {
		t.Fatalf("%d first packets reached a target within a second, bound %d", worst, s.bound())
	}
}

// settled is how long a zone takes from a start until its targets have their users: discovery and settleTime.
const settled = 2*simRequest + settleTime + time.Second

func TestUsers(t *testing.T) {
	for _, daemons := range []int{2, 5, 20, 200} {
		Convey(fmt.Sprintf("In a zone of %d daemons two use a target, each up to a third of the bound", daemons), t, func() {
			s := newZoneSim(1, daemons, 20, 10, 1.5, 5)
			if daemons > 100 {
				s.acquaint()
			}
			s.run(settled)
			for _, target := range s.targets {
				So(s.users(target), ShouldHaveLength, userCount)
			}
			So(s.worst(), ShouldBeLessThanOrEqualTo, s.bound())
			So(s.worst(), ShouldBeGreaterThanOrEqualTo, s.bound()/shareCount*userCount)
		})
	}
	Convey("A daemon that is alone uses the targets of its zone", t, func() {
		s := newZoneSim(1, 1, 1, 10, 1.5, 5)
		s.run(settled)
		So(s.users(s.targets[0]), ShouldHaveLength, 1)
	})
}

func TestDeathOfUser(t *testing.T) {
	Convey("When a user dies the other one goes on, and another takes its place when it is forgotten", t, func() {
		s := newZoneSim(2, 10, 1, 10, 1.5, 5)
		s.run(settled)
		before := s.users(s.targets[0])
		s.kill(s.daemons[before[0]], 0)
		s.run(time.Second)
		So(s.users(s.targets[0]), ShouldResemble, before[1:])
		s.run(forgetTime)
		after := s.users(s.targets[0])
		So(after, ShouldHaveLength, userCount)
		So(after, ShouldNotContain, before[0])
		So(after, ShouldContain, before[1])
	})
	Convey("When a user leaves as planned, another takes its place within settleTime and a second", t, func() {
		s := newZoneSim(2, 10, 1, 10, 1.5, 5)
		s.run(settled)
		before := s.users(s.targets[0])
		s.leave(s.daemons[before[0]], time.Minute)
		So(s.users(s.targets[0]), ShouldResemble, before[1:])
		s.run(settleTime + time.Second)
		So(s.users(s.targets[0]), ShouldHaveLength, userCount)
	})
}

func TestCutZone(t *testing.T) {
	Convey("No daemon of the smaller part of a cut zone uses a target once it has noticed, and the larger part takes over", t, func() {
		s := newZoneSim(3, 9, 30, 10, 1.5, 5)
		s.run(settled)
		s.part = func(i int) int { return i / 5 } // 5 and 4 daemons
		s.run(2 * time.Second)
		for _, target := range s.targets {
			for _, i := range s.users(target) {
				So(i, ShouldBeLessThan, 5)
			}
		}
		s.run(forgetTime)
		for _, target := range s.targets {
			So(s.users(target), ShouldHaveLength, userCount)
		}
		s.run(2 * simRetention)
		So(s.worst(), ShouldBeLessThanOrEqualTo, s.bound())
		s.part = func(int) int { return 0 }
		s.run(settled)
		for _, target := range s.targets {
			So(s.users(target), ShouldHaveLength, userCount)
		}
		So(s.worst(), ShouldBeLessThanOrEqualTo, s.bound())
	})
	Convey("Of two equal parts neither uses a target", t, func() {
		s := newZoneSim(4, 10, 5, 10, 1.5, 5)
		s.run(settled)
		s.part = func(i int) int { return i % 2 }
		s.run(3 * simRetention)
		for _, target := range s.targets {
			So(s.users(target), ShouldBeEmpty)
		}
	})
	Convey("Daemons that restart in the smaller part do not use a target", t, func() {
		s := newZoneSim(5, 20, 30, 10, 1.5, 5)
		s.run(settled)
		s.part = func(i int) int { return min(i/7, 1) } // 7 and 13 daemons, all seeds among the 7
		s.run(time.Second)
		for i := range 6 {
			s.kill(s.daemons[i], time.Second)
		}
		s.run(2 * simRetention)
		for _, target := range s.targets {
			for _, i := range s.users(target) {
				So(i, ShouldBeGreaterThanOrEqualTo, 7)
			}
		}
		So(s.worst(), ShouldBeLessThanOrEqualTo, s.bound())
	})
}

func TestOneDaemonMoreThanUsers(t *testing.T) {
	Convey("A user that the others no longer hear stays within the third share", t, func() {
		s := newZoneSim(6, 10, 1, 10, 1.5, 5)
		s.run(settled)
		lost := s.users(s.targets[0])[0]
		s.deaf = func(a, _ int) bool { return a == lost }
		s.run(2 * forgetTime)
		So(s.users(s.targets[0]), ShouldHaveLength, userCount+1)
		So(s.worst(), ShouldBeLessThanOrEqualTo, s.bound())
	})
}

func TestRestartOfFleet(t *testing.T) {
	Convey("After a restart of the whole zone nobody uses a target for settleTime, and two do soon after", t, func() {
		s := newZoneSim(7, 100, 10, 10, 1.5, 5)
		s.run(settled)
		for _, d := range s.daemons {
			s.kill(d, time.Second)
		}
		s.run(settleTime)
		for _, target := range s.targets {
			So(s.users(target), ShouldBeEmpty)
		}
		s.run(settled)
		for _, target := range s.targets {
			So(s.users(target), ShouldHaveLength, userCount)
		}
		So(s.worst(), ShouldBeLessThanOrEqualTo, s.bound())
	})
}

func TestFrozenUser(t *testing.T) {
	Convey("A daemon that was frozen does not use a target until it has known its zone for settleTime", t, func() {
		s := newZoneSim(8, 10, 1, 10, 1.5, 5)
		s.run(settled)
		frozen := s.users(s.targets[0])[0]
		s.freeze(s.daemons[frozen], 40*time.Second)
		s.run(41 * time.Second)
		So(s.users(s.targets[0]), ShouldNotContain, frozen)
		s.run(settled)
		So(s.users(s.targets[0]), ShouldContain, frozen)
		So(s.worst(), ShouldBeLessThanOrEqualTo, s.bound())
	})
}
