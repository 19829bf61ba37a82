package wire

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/fireflypin/fireflypin/internal/proptest"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

func TestReplayCases(t *testing.T) {
	type arrival struct {
		incarnation, counter uint64
		want                 errkind.Kind
	}
	Convey("Each datagram of one sender is accepted once, within the replay window and the newest incarnation", t, func() {
		cases := []struct {
			name     string
			arrivals []arrival
		}{
			{"in order, then replayed", []arrival{{1, 1, errkind.None}, {1, 2, errkind.None}, {1, 2, errkind.PeerReplayed}, {1, 1, errkind.PeerReplayed}}},
			{"out of order within the window", []arrival{{1, 120, errkind.None}, {1, 70, errkind.None}, {1, 70, errkind.PeerReplayed}}},
			{"below the window", []arrival{{1, 1000, errkind.None}, {1, 800, errkind.PeerReplayed}}},
			{"a jump beyond the whole window", []arrival{{1, 5, errkind.None}, {1, 1 << 40, errkind.None}, {1, 5, errkind.PeerReplayed}, {1, 1<<40 - 3, errkind.None}}},
			{"a new incarnation resets the window", []arrival{{1, 900, errkind.None}, {2, 1, errkind.None}, {2, 1, errkind.PeerReplayed}}},
			{"an older incarnation is rejected", []arrival{{2, 1, errkind.None}, {1, 2, errkind.PeerReplayed}}},
		}
		for _, c := range cases {
			Convey(c.name, func() {
				r := NewReplayFilter(ReplayFilterConfig{Window: 128})
				for _, a := range c.arrivals {
					So(r.Admit(alice, a.incarnation, a.counter), ShouldEqual, a.want)
				}
			})
		}
	})
	Convey("New senders beyond the maximum are rejected until others are removed", t, func() {
		r := NewReplayFilter(ReplayFilterConfig{Window: 64, MaxSenders: 2})
		So(r.Admit(alice, 1, 1), ShouldEqual, errkind.None)
		So(r.Admit(bob, 1, 1), ShouldEqual, errkind.None)
		So(r.Admit(carol, 1, 1), ShouldEqual, errkind.PeerUnknown)
		So(r.Admit(alice, 1, 2), ShouldEqual, errkind.None)
		r.Retain(func(id model.MachineID) bool { return id != bob })
		So(r.Admit(carol, 1, 1), ShouldEqual, errkind.None)
		So(r.Incarnation(carol), ShouldEqual, 1)
		So(r.Incarnation(bob), ShouldEqual, 0)
	})
}

// TestReplayAdmitsOnce compares the bitmap with a set of all admitted counters.
func TestReplayAdmitsOnce(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		words := rapid.IntRange(1, 4).Draw(t, "words")
		r := NewReplayFilter(ReplayFilterConfig{Window: words * wordBits})
		admitted := make(map[uint64]bool)
		var newest uint64
		for range rapid.IntRange(1, 200).Draw(t, "arrivals") {
			low := newest - min(newest, 400)
			counter := rapid.Uint64Range(low, newest+300).Draw(t, "counter")
			fresh := !admitted[counter]
			inWindow := counter+uint64((words-1)*wordBits) >= newest
			got := r.Admit(alice, 1, counter)
			if got == errkind.None && !fresh {
				t.Fatalf("counter %d was admitted twice", counter)
			}
			if got != errkind.None && fresh && inWindow {
				t.Fatalf("counter %d was rejected with the highest at %d", counter, newest)
			}
			if got == errkind.None {
				admitted[counter] = true
				newest = max(newest, counter)
			}
		}
	})
}
