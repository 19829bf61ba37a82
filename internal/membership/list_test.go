package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

const seconds = time.Second

func TestStart(t *testing.T) {
	Convey("Machines that start together own flows within two heartbeat intervals, and agree on the owners", t, func() {
		f := newFleet(t, 1, 3, 3)
		f.run(2 * seconds)
		So(f.findDisagreement(f.runningIDs()), ShouldBeNil)
		So(len(f.runningIDs()), ShouldEqual, 9)
	})
	Convey("A machine alone in its zone becomes ready", t, func() {
		f := newFleet(t, 1, 1, 1)
		f.run(seconds)
		So(f.findDisagreement(ids(f.nodes[0])), ShouldBeNil)
	})
	Convey("A machine whose zone is otherwise down becomes ready after FailedAfter", t, func() {
		f := newFleet(t, 1, 2, 3)
		f.crash(f.nodes[1])
		f.crash(f.nodes[2])
		f.run(2 * seconds)
		So(f.nodes[0].owners(), ShouldNotContain, f.nodes[0].entry.ID)
		f.run(2 * seconds)
		So(f.nodes[0].owners(), ShouldContain, f.nodes[0].entry.ID)
	})
	Convey("A machine that receives no heartbeats at all waits for AloneAfter", t, func() {
		f := newFleet(t, 1, 1, 3)
		f.crash(f.nodes[1])
		f.crash(f.nodes[2])
		f.run(9 * seconds)
		So(f.nodes[0].owners(), ShouldBeEmpty)
		f.run(2 * seconds)
		So(f.nodes[0].owners(), ShouldResemble, ids(f.nodes[0]))
	})
}

func TestFailureDetection(t *testing.T) {
	Convey("A crash is detected by the whole fleet within FailedAfter plus 1 s, and by no machine before FailedAfter minus one heartbeat interval", t, func() {
		f := newFleet(t, 2, 3, 3)
		f.run(5 * seconds)
		f.crash(f.nodes[0])
		f.run(1900 * time.Millisecond)
		So(f.findDisagreement(ids(f.nodes...)), ShouldBeNil)
		f.run(2100 * time.Millisecond)
		So(f.findDisagreement(ids(f.nodes[1:]...)), ShouldBeNil)
	})
	Convey("A restart is reported once to each other machine", t, func() {
		f := newFleet(t, 3, 2, 3)
		f.run(5 * seconds)
		restarts := 0
		f.watch = func(n *node, a Action) {
			if c, ok := a.(MemberChanged); ok && c.Restarted && c.Member.ID == f.nodes[0].entry.ID {
				restarts++
			}
		}
		f.crash(f.nodes[0])
		f.run(500 * time.Millisecond)
		f.start(f.nodes[0])
		f.run(3 * seconds)
		So(restarts, ShouldEqual, 5)
		So(f.findDisagreement(ids(f.nodes...)), ShouldBeNil)
	})
}

func TestPlannedStop(t *testing.T) {
	Convey("A draining machine immediately owns nothing, stays reachable, and is removed once it has left", t, func() {
		f := newFleet(t, 4, 2, 3)
		f.run(5 * seconds)
		drainingNode := f.nodes[0]
		f.perform(drainingNode, drainingNode.list.SetDraining(f.now))
		So(drainingNode.owners(), ShouldResemble, ids(f.nodes[1:]...))
		f.run(10 * time.Millisecond)
		for _, n := range f.nodes[1:3] {
			So(n.owners(), ShouldResemble, ids(f.nodes[1:]...))
			So(n.list.View().Reachable(drainingNode.entry.ID), ShouldBeTrue)
		}
		f.run(3 * seconds)
		So(f.findDisagreement(ids(f.nodes[1:]...)), ShouldBeNil)
		f.perform(drainingNode, drainingNode.list.SetLeft(f.now))
		f.crash(drainingNode)
		f.run(10 * time.Millisecond)
		So(f.nodes[1].list.View().Reachable(drainingNode.entry.ID), ShouldBeFalse)
	})
	Convey("A machine that is draining in the published list owns nothing", t, func() {
		f := newFleet(t, 4, 1, 3)
		f.run(3 * seconds)
		drainingEntry := *f.entries[0]
		drainingEntry.State = model.MachineDraining
		f.entries[0] = &drainingEntry
		for _, n := range f.nodes {
			f.perform(n, n.list.SetPublished(f.now, f.entries))
		}
		So(f.findDisagreement(ids(f.nodes[1:]...)), ShouldBeNil)
		So(f.nodes[1].list.View().Reachable(drainingEntry.ID), ShouldBeTrue)
	})
}

func TestBrokenLink(t *testing.T) {
	Convey("A broken link between two machines, in one direction or both, makes neither of them count as failed", t, func() {
		cases := []struct {
			name string
			both bool
		}{{"one direction", false}, {"both directions", true}}
		for _, c := range cases {
			Convey(c.name, func() {
				f := newFleet(t, 5, 2, 3)
				f.run(5 * seconds)
				a, b := f.nodes[0], f.nodes[1]
				f.cut = func(from, to *node) bool {
					return (from == a && to == b) || (c.both && from == b && to == a)
				}
				f.watch = func(_ *node, act Action) {
					if m, ok := act.(MemberChanged); ok {
						So(m.To, ShouldNotEqual, Failed)
					}
				}
				f.run(30 * seconds)
				So(f.findDisagreement(ids(f.nodes...)), ShouldBeNil)
				m, _ := b.list.View().Member(a.entry.ID)
				So(m.Direct, ShouldBeFalse)
			})
		}
	})
	Convey("If the witness is unreachable too, the machine with the broken link counts as failed", t, func() {
		f := newFleet(t, 5, 1, 3)
		f.run(5 * seconds)
		a, b := f.nodes[0], f.nodes[1]
		// The replies of the only witness are lost as well.
		f.cut = func(from, to *node) bool { return to == b && (from == a || from == f.nodes[2]) }
		f.run(4 * seconds)
		m, _ := b.list.View().Member(a.entry.ID)
		So(m.State, ShouldEqual, Failed)
		Convey("and the machine refutes this as soon as it is reachable again", func() {
			f.cut = func(*node, *node) bool { return false }
			f.run(2 * seconds)
			So(f.findDisagreement(ids(f.nodes...)), ShouldBeNil)
		})
	})
	Convey("With 5 % packet loss, no machine is considered failed in 10 minutes", t, func() {
		f := newFleet(t, 6, 3, 3)
		f.loss = 0.05
		f.run(5 * seconds)
		failures := 0
		f.watch = func(_ *node, a Action) {
			if m, ok := a.(MemberChanged); ok && m.To == Failed {
				failures++
			}
		}
		f.run(10 * time.Minute)
		So(failures, ShouldEqual, 0)
		f.loss = 0
		f.run(5 * seconds)
		So(f.findDisagreement(ids(f.nodes...)), ShouldBeNil)
	})
}

func TestPause(t *testing.T) {
	Convey("A machine owns no flows after a pause until it has received heartbeats from its zone", t, func() {
		for _, pause := range []time.Duration{1500 * time.Millisecond, 10 * seconds, 60 * seconds} {
			Convey(pause.String(), func() {
				f := newFleet(t, 7, 2, 3)
				f.run(5 * seconds)
				pausedNode := f.nodes[0]
				lease := pausedNode.list.Lease()
				So(lease.Valid(f.now), ShouldBeTrue)
				pausedNode.paused = true
				f.run(pause)
				So(lease.Valid(f.now), ShouldBeFalse)

				joined := false
				f.watch = func(n *node, a Action) {
					if _, ok := a.(SelfJoined); ok && n == pausedNode {
						joined = true
					}
					if n == pausedNode && !joined && n.list.started {
						So(n.list.self.ready, ShouldBeFalse)
					}
				}
				f.resume(pausedNode)
				So(pausedNode.owners(), ShouldNotContain, pausedNode.entry.ID)
				So(pausedNode.list.SetReady(f.now, true), ShouldBeEmpty)
				So(pausedNode.owners(), ShouldNotContain, pausedNode.entry.ID)
				f.run(4 * seconds)
				So(joined, ShouldBeTrue)
				So(f.findDisagreement(ids(f.nodes...)), ShouldBeNil)
			})
		}
	})
	Convey("A pause is detected if only the wall clock has advanced", t, func() {
		from := time.Now()
		l := New(Config{Self: 1, Zone: model.Zone{Name: "z"}, Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1))})
		l.Tick(from)
		So(l.Lease().Valid(from), ShouldBeTrue)
		suspended := from.Round(0).Add(time.Minute)
		So(l.Lease().Valid(suspended), ShouldBeFalse)
		So(l.Tick(suspended), ShouldContain, SelfPaused{Gap: time.Minute})
		So(l.Lease().Valid(suspended), ShouldBeFalse)
	})
}

func TestPartition(t *testing.T) {
	Convey("After a partition between zones, each side has its own owners, and all agree again once the partition ends", t, func() {
		f := newFleet(t, 8, 3, 3)
		f.run(5 * seconds)
		zone := f.nodes[0].entry.Zone
		f.cut = func(from, to *node) bool { return (from.entry.Zone == zone) != (to.entry.Zone == zone) }
		failures := 0
		f.watch = func(_ *node, a Action) {
			if m, ok := a.(MemberChanged); ok && m.To == Failed {
				failures++
			}
		}
		f.run(60 * seconds)
		for _, n := range f.nodes {
			if n.entry.Zone == zone {
				So(n.owners(), ShouldResemble, ids(f.nodes[:3]...))
			} else {
				So(n.owners(), ShouldResemble, ids(f.nodes[3:]...))
			}
		}
		So(failures, ShouldEqual, 0)
		f.cut = func(*node, *node) bool { return false }
		f.run(3 * seconds)
		So(f.findDisagreement(ids(f.nodes...)), ShouldBeNil)
	})
	Convey("Crashes during a partition are known in the other zones soon after the partition ends", t, func() {
		f := newFleet(t, 9, 3, 3)
		f.run(5 * seconds)
		zone := f.nodes[0].entry.Zone
		f.cut = func(from, to *node) bool { return (from.entry.Zone == zone) != (to.entry.Zone == zone) }
		f.run(20 * seconds)
		f.crash(f.nodes[1])
		f.crash(f.nodes[4])
		f.run(20 * seconds)
		f.cut = func(*node, *node) bool { return false }
		f.run(5 * seconds)
		So(f.findDisagreement(f.runningIDs()), ShouldBeNil)
	})
	Convey("When one machine of a failed zone restarts, the machines of other zones do not consider the rest of that zone alive", t, func() {
		f := newFleet(t, 10, 2, 3)
		f.run(5 * seconds)
		for _, n := range f.nodes[:3] {
			f.crash(n)
		}
		f.run(10 * seconds)
		f.start(f.nodes[0])
		f.run(15 * seconds)
		So(f.findDisagreement(f.runningIDs()), ShouldBeNil)
	})
}

// TestOutdatedPublishedList guards against published lists that reach the machines at different times.
func TestOutdatedPublishedList(t *testing.T) {
	Convey("A machine that is not in the published list owns nothing until the list contains it", t, func() {
		f := newFleet(t, 11, 1, 4)
		known := f.entries[:3]
		for _, n := range f.nodes[:3] {
			f.perform(n, n.list.SetPublished(f.now, known))
		}
		f.run(5 * seconds)
		for _, n := range f.nodes[:3] {
			So(n.owners(), ShouldResemble, ids(f.nodes[:3]...))
			So(n.list.View().Reachable(f.nodes[3].entry.ID), ShouldBeFalse)
		}
		So(f.nodes[3].owners(), ShouldBeEmpty)
		for _, n := range f.nodes[:3] {
			f.perform(n, n.list.SetPublished(f.now, f.entries))
			So(n.list.View().Reachable(f.nodes[3].entry.ID), ShouldBeTrue)
		}
		f.run(2 * seconds)
		So(f.findDisagreement(ids(f.nodes...)), ShouldBeNil)
	})
	Convey("A machine that was removed from the published list is not an owner, even if it still sends heartbeats", t, func() {
		f := newFleet(t, 12, 1, 3)
		f.run(3 * seconds)
		for _, n := range f.nodes[:2] {
			f.perform(n, n.list.SetPublished(f.now, f.entries[:2]))
		}
		f.run(5 * seconds)
		So(f.nodes[0].owners(), ShouldResemble, ids(f.nodes[:2]...))
	})
	Convey("The number of unlisted machines is bounded, and they expire", t, func() {
		l := New(Config{Self: 1, Zone: model.Zone{Name: "z"}, Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)), MaxUnlisted: 2})
		for id := range model.MachineID(9) {
			l.HandleHeartbeat(testStart, Heartbeat{From: 2 + id, Incarnation: 1, Message: &wire.Heartbeat{Epoch: 1}})
		}
		So(len(l.members), ShouldEqual, 3)
		for i := range 400 {
			l.Tick(testStart.Add(time.Duration(i) * tickInterval))
		}
		So(len(l.members), ShouldEqual, 1)
		So(l.unlistedCount, ShouldEqual, 0)
	})
}

func TestClockSetBack(t *testing.T) {
	Convey("A machine that restarts with a lower incarnation is notified", t, func() {
		f := newFleet(t, 13, 1, 3)
		f.run(3 * seconds)
		var newest uint64
		f.watch = func(n *node, a Action) {
			if o, ok := a.(IncarnationOutdated); ok && n == f.nodes[0] {
				newest = o.Newest
			}
		}
		original := f.nodes[0].list.self.incarnation
		f.nodes[0].list.self.incarnation = original - 1000
		f.perform(f.nodes[1], f.nodes[1].list.HandleStaleIncarnation(f.now, f.nodes[0].entry.ID, original-1000))
		f.run(10 * time.Millisecond)
		So(newest, ShouldEqual, original)
	})
}

func TestConfigErrorsAreJoined(t *testing.T) {
	Convey("All errors in a config are reported together", t, func() {
		err := Config{PauseLimit: 5 * time.Second}.WithDefaults().Validate()
		for _, text := range []string{"self", "zone", "incarnation", "random", "pause limit"} {
			So(err.Error(), ShouldContainSubstring, text)
		}
	})
}
