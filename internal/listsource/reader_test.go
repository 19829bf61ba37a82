package listsource

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// seeds are the fixed random seeds of eachSeed.
var seeds = []uint64{1, 2, 3, 4, 5}

// restart replaces a node's process with a new one without lists and with an empty history.
func (n *node) restart() {
	n.start(func(c *Config) { c.Seeds = []netip.AddrPort{bulkOf(0), bulkOf(1)} })
	n.history = nil
}

// decreasingRevision returns the address of the first node whose history contains a decreasing revision.
func decreasingRevision(f *fleet) (string, bool) {
	for _, n := range f.nodes {
		for i := 1; i < len(n.history); i++ {
			if !n.history[i].revisions.Covers(n.history[i-1].revisions) {
				return n.bulk.String(), true
			}
		}
	}
	return "", false
}

// assertActive asserts that no revision ever decreased, that no new daemon started with lists older than those
// reported by its peers, and that want is active on every node.
func assertActive(f *fleet, want model.Revisions) {
	_, decreased := decreasingRevision(f)
	So(decreased, ShouldBeFalse)
	for _, n := range f.nodes {
		So(n.startedOutdated, ShouldBeFalse)
		So(n.active(), ShouldResemble, want)
	}
}

func eachSeed(size int, do func(f *fleet)) {
	for _, seed := range seeds {
		f := newFleet(seed, size)
		f.publishAll()
		do(f)
	}
}

func TestPlatformFaults(t *testing.T) {
	first := model.Revisions{Customers: 1, Plans: 1, Machines: 1}
	Convey("Lists of a healthy platform become active within 2 s, at the start and after a change", t, func() {
		eachSeed(8, func(f *fleet) {
			f.start(nil)
			f.run(2 * time.Second)
			assertActive(f, first)
			f.publish(lists.KindPlans, plansText("gold", "silver"))
			f.run(2 * time.Second)
			assertActive(f, model.Revisions{Customers: 1, Plans: 2, Machines: 1})
		})
	})
	Convey("After a start without a platform, lists become active once the platform is reachable", t, func() {
		eachSeed(8, func(f *fleet) {
			f.platform.down = true
			f.start(nil)
			f.run(10 * time.Minute)
			So(f.nodes[0].history, ShouldBeEmpty)
			So(f.nodes[0].reachabilityChanges, ShouldResemble, []bool{false})
			f.setDown(false)
			f.run(45 * time.Second)
			assertActive(f, first)
			So(f.nodes[0].reachabilityChanges, ShouldResemble, []bool{false, true})
		})
	})
	Convey("During an hour without the platform, the last lists stay active and few calls are made", t, func() {
		eachSeed(8, func(f *fleet) {
			f.heartbeats = 3
			f.start(nil)
			f.run(10 * time.Second)
			before := f.nodes[0].calls
			f.setDown(true)
			f.run(time.Hour)
			assertActive(f, first)
			So(f.nodes[0].calls-before, ShouldBeLessThan, 3600)
			f.publish(lists.KindMachines, f.machinesText())
			f.setDown(false)
			f.run(40 * time.Second)
			assertActive(f, model.Revisions{Customers: 1, Plans: 1, Machines: 2})
		})
	})
	Convey("All nodes end with the last revisions after changes on a flapping platform", t, func() {
		eachSeed(8, func(f *fleet) {
			f.heartbeats = 3
			f.start(nil)
			for range 40 {
				f.setDown(f.rng.IntN(2) == 0)
				f.publish(lists.Kinds()[f.rng.IntN(2)*2], []string{customersText("gold"), "", f.machinesText()}[0])
				f.run(time.Duration(f.rng.Int64N(int64(8 * time.Second))))
			}
			f.publish(lists.KindCustomers, customersText("gold"))
			f.publish(lists.KindMachines, f.machinesText())
			f.setDown(false)
			f.run(40 * time.Second)
			want := model.Revisions{Plans: 1}
			want.Customers = uint64(len(f.platform.docs[lists.KindCustomers]))
			want.Machines = uint64(len(f.platform.docs[lists.KindMachines]))
			assertActive(f, want)
		})
	})
	Convey("Revisions never decrease because of a lagging platform replica, even directly after a restart", t, func() {
		eachSeed(8, func(f *fleet) {
			f.heartbeats = 3
			f.start(nil)
			f.run(5 * time.Second)
			for range 5 {
				f.publish(lists.KindCustomers, customersText("gold"))
				f.run(3 * time.Second)
			}
			f.platform.lagging = 1
			for _, n := range f.nodes[:4] {
				n.start(nil)
			}
			f.run(10 * time.Second)
			for _, n := range f.nodes[:4] {
				So(n.active().Customers, ShouldEqual, 6)
			}
			assertActive(f, model.Revisions{Customers: 6, Plans: 1, Machines: 1})
		})
	})
	Convey("A slow platform delays changes by little more than its response times", t, func() {
		eachSeed(8, func(f *fleet) {
			f.platform.delay = 2 * time.Second
			f.start(nil)
			f.run(15 * time.Second)
			assertActive(f, first)
			f.publish(lists.KindPlans, plansText("gold", "silver"))
			f.run(2*f.platform.delay + time.Second)
			assertActive(f, model.Revisions{Customers: 1, Plans: 2, Machines: 1})
		})
	})
	Convey("Documents truncated in transit are rejected and read again", t, func() {
		eachSeed(8, func(f *fleet) {
			f.platform.truncated = 0.6
			f.start(nil)
			f.run(3 * time.Minute)
			assertActive(f, first)
		})
	})
}

func TestStartFromPeers(t *testing.T) {
	Convey("A new daemon gets its lists from peers while the platform is down", t, func() {
		eachSeed(8, func(f *fleet) {
			f.start(nil)
			f.run(5 * time.Second)
			f.setDown(true)
			newNode := f.nodes[7]
			newNode.history = nil
			newNode.start(func(c *Config) { c.Seeds = []netip.AddrPort{bulkOf(1), bulkOf(2)} })
			f.run(10 * time.Second)
			So(newNode.active(), ShouldResemble, model.Revisions{Customers: 1, Plans: 1, Machines: 1})
		})
	})
	Convey("A list that only one daemon received from the platform reaches all others through peers", t, func() {
		eachSeed(8, func(f *fleet) {
			f.heartbeats = 3
			f.start(nil)
			f.run(5 * time.Second)
			f.platform.down = true
			d := f.publish(lists.KindPlans, plansText("gold", "bronze"))
			body := f.platform.docs[lists.KindPlans][1]
			f.nodes[0].perform(f.nodes[0].reader.HandleList(f.now, lists.KindPlans, d, body))
			f.run(10 * time.Second)
			assertActive(f, model.Revisions{Customers: 1, Plans: 2, Machines: 1})
		})
	})
}

func TestConflictingEdits(t *testing.T) {
	Convey("A list that refers to a missing plan waits and becomes active together with the new plans", t, func() {
		eachSeed(8, func(f *fleet) {
			f.start(nil)
			f.run(5 * time.Second)
			f.publish(lists.KindCustomers, customersText("silver"))
			f.run(5 * time.Second)
			assertActive(f, model.Revisions{Customers: 1, Plans: 1, Machines: 1})
			So(f.nodes[0].waiting, ShouldEqual, 1)
			So(f.nodes[0].reader.Status().Waiting, ShouldContainSubstring, `there is no plan "silver"`)

			f.publish(lists.KindMachines, f.machinesText())
			f.run(5 * time.Second)
			assertActive(f, model.Revisions{Customers: 1, Plans: 1, Machines: 2})

			f.publish(lists.KindPlans, plansText("silver"))
			f.run(5 * time.Second)
			assertActive(f, model.Revisions{Customers: 2, Plans: 2, Machines: 2})
			So(f.nodes[0].reader.Status().Waiting, ShouldEqual, "")
		})
	})
	Convey("After rapid edits by two operators that revert each other, the last revisions are active", t, func() {
		eachSeed(8, func(f *fleet) {
			f.heartbeats = 3
			f.start(nil)
			f.run(5 * time.Second)
			for range 20 {
				f.publish(lists.KindPlans, plansText("gold", "silver"))
				f.publish(lists.KindCustomers, customersText("silver"))
				f.run(time.Duration(f.rng.Int64N(int64(700 * time.Millisecond))))
				f.publish(lists.KindCustomers, customersText("gold"))
				f.publish(lists.KindPlans, plansText("gold"))
				f.run(time.Duration(f.rng.Int64N(int64(700 * time.Millisecond))))
			}
			f.run(45 * time.Second)
			assertActive(f, model.Revisions{Customers: 41, Plans: 41, Machines: 1})
		})
	})
	Convey("Of two documents with the same revision, the same one is kept in either order of arrival", t, func() {
		short := []byte("kind: customers\nrevision: 2\n" + customersText("gold"))
		long := []byte("kind: customers\nrevision: 2\n" + customersText("gold") + "# other\n")
		for _, order := range [][][]byte{{short, long}, {long, short}} {
			r := New(Config{Rand: rand.New(rand.NewPCG(1, 1))})
			for _, body := range order {
				r.HandleBody(epoch, bulkOf(1), lists.KindCustomers, VersionOf(2, body), body)
			}
			So(r.Digest()[lists.KindCustomers], ShouldResemble, VersionOf(2, long))
		}
	})
}

func TestPartition(t *testing.T) {
	Convey("A partitioned zone keeps its lists and catches up after the partition", t, func() {
		eachSeed(8, func(f *fleet) {
			f.heartbeats = 3
			f.start(nil)
			f.run(5 * time.Second)
			f.partitionSide = func(i int) int { return i / 4 }
			f.withoutPlatform = func(i int) bool { return i >= 4 }
			f.checkWatches()
			f.publish(lists.KindPlans, plansText("gold", "silver"))
			f.run(10 * time.Second)
			So(f.nodes[0].active().Plans, ShouldEqual, 2)
			So(f.nodes[7].active().Plans, ShouldEqual, 1)
			f.partitionSide, f.withoutPlatform = nil, nil
			f.run(10 * time.Second)
			assertActive(f, model.Revisions{Customers: 1, Plans: 2, Machines: 1})
		})
	})
}

// randomEvent applies one random event: a published change, a platform fault, a network partition or a restart.
func randomEvent(f *fleet) {
	switch f.rng.IntN(9) {
	case 0:
		f.publish(lists.KindCustomers, customersText([]string{"gold", "silver"}[f.rng.IntN(2)]))
	case 1:
		f.publish(lists.KindPlans, plansText([]string{"gold", "silver"}[f.rng.IntN(2)]))
	case 2:
		f.publish(lists.KindMachines, f.machinesText())
	case 3:
		f.publish(lists.KindPlans, "services: 3\nplans: []\n")
	case 4:
		f.setDown(f.rng.IntN(2) == 0)
	case 5:
		f.platform.lagging = float64(f.rng.IntN(2)) / 2
	case 6:
		f.platform.truncated = float64(f.rng.IntN(2)) / 3
	case 7:
		parts := 1 + f.rng.IntN(3)
		f.partitionSide = func(i int) int { return i % parts }
		f.withoutPlatform = func(i int) bool { return parts > 1 && i%parts == 0 }
		f.checkWatches()
	case 8:
		f.nodes[f.rng.IntN(len(f.nodes))].restart()
	}
}

func TestRandomHistories(t *testing.T) {
	Convey("With random changes and faults, revisions never decrease and all daemons converge to the same lists", t, func() {
		for seed := uint64(1); seed <= 40; seed++ {
			f := newFleet(seed, 6)
			f.publishAll()
			f.heartbeats = 2
			f.start(func(c *Config) { c.Seeds = []netip.AddrPort{bulkOf(0), bulkOf(1)} })
			for range 60 {
				randomEvent(f)
				f.run(time.Duration(f.rng.Int64N(int64(3 * time.Second))))
			}
			f.setDown(false)
			f.platform.lagging, f.platform.truncated, f.partitionSide, f.withoutPlatform = 0, 0, nil, nil
			f.publish(lists.KindPlans, plansText("gold", "silver"))
			f.publish(lists.KindCustomers, customersText("gold"))
			f.publish(lists.KindMachines, f.machinesText())
			f.run(2 * time.Minute)
			assertActive(f, model.Revisions{
				Customers: uint64(len(f.platform.docs[lists.KindCustomers])),
				Plans:     uint64(len(f.platform.docs[lists.KindPlans])),
				Machines:  uint64(len(f.platform.docs[lists.KindMachines])),
			})
		}
	})
}

func TestRejectionsAreReportedOnce(t *testing.T) {
	Convey("An invalid revision is rejected as a whole and reported once, and the last valid one stays active", t, func() {
		f := newFleet(1, 1)
		f.publishAll()
		f.start(nil)
		f.run(5 * time.Second)
		f.publish(lists.KindPlans, "services: 3\nplans: []\n")
		f.run(time.Hour)
		n := f.nodes[0]
		So(len(n.rejected), ShouldEqual, 1)
		So(n.rejected[0].Kind, ShouldEqual, errkind.DocumentInvalid)
		So(n.rejected[0].Revision, ShouldEqual, 2)
		So(n.active().Plans, ShouldEqual, 1)
		So(n.reader.Status().Rejected.Plans, ShouldEqual, 2)
		So(n.calls, ShouldBeLessThan, 300)
		f.publish(lists.KindPlans, plansText("gold"))
		f.run(5 * time.Second)
		So(n.active().Plans, ShouldEqual, 3)
	})
	Convey("A document whose revision differs from the delivered revision is rejected", t, func() {
		r := New(Config{UsePlatform: true, Rand: rand.New(rand.NewPCG(1, 1))})
		actions := r.HandleList(epoch, lists.KindPlans, 3, []byte("kind: plans\nrevision: 2\n"+plansText("gold")))
		So(actions, ShouldNotBeEmpty)
		So(actions[0].(Rejected).Err.Error(), ShouldContainSubstring, "delivered as revision 3 but says revision 2")
	})
	Convey("A body from a peer that does not match its version is discarded", t, func() {
		r := New(Config{Rand: rand.New(rand.NewPCG(1, 1))})
		body := []byte("kind: plans\nrevision: 2\n" + plansText("gold"))
		v := VersionOf(2, body)
		v.Sum++
		r.HandleBody(epoch, bulkOf(1), lists.KindPlans, v, body)
		So(r.Document(lists.KindPlans), ShouldBeNil)
	})
}

func TestLocalFiles(t *testing.T) {
	files := func(revision string) [3]lists.Document {
		var docs [3]lists.Document
		for kind, text := range []string{customersText("gold"), plansText("gold"), "entries: []\nendpoints: []\n"} {
			docs[kind] = lists.Document{Name: "file.yaml", Data: []byte("kind: " + lists.Kind(kind).String() + "\nrevision: " + revision + "\n" + text)}
		}
		return docs
	}
	Convey("Local files become active, and a changed file needs a higher revision", t, func() {
		n := &node{f: newFleet(1, 0), bulk: bulkOf(1)}
		n.start(func(c *Config) { c.UsePlatform = false })
		n.perform(n.reader.HandleFiles(epoch, files("4")))
		So(n.active(), ShouldResemble, model.Revisions{Customers: 4, Plans: 4, Machines: 4})
		n.perform(n.reader.HandleFiles(epoch, files("4")))
		So(n.rejected, ShouldBeEmpty)
		n.perform(n.reader.HandleFiles(epoch, files("3")))
		So(len(n.rejected), ShouldEqual, 3)
		So(n.rejected[0].Kind, ShouldEqual, errkind.DocumentStale)
		n.perform(n.reader.HandleFiles(epoch, files("5")))
		So(n.active(), ShouldResemble, model.Revisions{Customers: 5, Plans: 5, Machines: 5})
	})
}

func TestDigestEncoding(t *testing.T) {
	Convey("A digest is unchanged by encoding and decoding; other bytes are rejected", t, func() {
		d := Digest{VersionOf(7, []byte("a")), {}, VersionOf(1<<40, []byte("bc"))}
		b := d.AppendTo(nil)
		got, ok := DecodeDigest(b)
		So(ok, ShouldBeTrue)
		So(got, ShouldResemble, d)
		for i := range b {
			_, ok := DecodeDigest(b[:i])
			So(ok, ShouldBeFalse)
		}
		_, ok = DecodeDigest(append(b, 0))
		So(ok, ShouldBeFalse)
	})
}

// activationTimes returns the sorted delays from since until a revision of plans, or a later one, became active
// on each node.
func activationTimes(f *fleet, since time.Time, plans uint64) []time.Duration {
	var all []time.Duration
	for _, n := range f.nodes {
		i := slices.IndexFunc(n.history, func(a activation) bool { return a.revisions.Plans >= plans })
		if i >= 0 {
			all = append(all, n.history[i].at.Sub(since))
		}
	}
	slices.Sort(all)
	return all
}

// busiestSecond returns the highest number of calls to the platform within one second.
func busiestSecond(f *fleet) int {
	most := 0
	for _, calls := range f.platform.calls {
		most = max(most, calls)
	}
	return most
}

func Test600Readers(t *testing.T) {
	const size = 600
	Convey("600 readers apply a change within 6 s and make fewer than 2,000 calls per second", t, func() {
		f := newFleet(1, size)
		f.publishAll()
		f.heartbeats = 3
		f.start(func(c *Config) { c.FleetCallsPerSecond = 1000.0 * listedNodes / size })
		f.run(10 * time.Second)
		assertActive(f, model.Revisions{Customers: 1, Plans: 1, Machines: 1})
		t.Logf("cold start of %d: busiest second %d calls, %d over budget", size, busiestSecond(f), f.platform.denied)
		So(f.platform.denied, ShouldEqual, 0)
		So(busiestSecond(f), ShouldBeLessThan, 2000)

		f.run(time.Minute)
		clear(f.platform.calls)
		published := f.now
		f.publish(lists.KindPlans, plansText("gold", "silver"))
		f.run(10 * time.Second)
		times := activationTimes(f, published, 2)
		So(len(times), ShouldEqual, size)
		t.Logf("change: active after p50 %v p99 %v max %v; busiest second %d calls", times[size/2], times[size*99/100], times[size-1], busiestSecond(f))
		So(times[size-1], ShouldBeLessThan, 6*time.Second)
		So(f.platform.denied, ShouldEqual, 0)

		clear(f.platform.calls)
		f.setDown(true)
		f.run(2 * time.Minute)
		t.Logf("platform down for 2 min: busiest second %d calls", busiestSecond(f))
		So(busiestSecond(f), ShouldBeLessThan, 2000)
		clear(f.platform.calls)
		f.publish(lists.KindPlans, plansText("gold"))
		published = f.now
		f.setDown(false)
		f.run(45 * time.Second)
		times = activationTimes(f, published, 3)
		So(len(times), ShouldEqual, size)
		t.Logf("recovery: active after p50 %v p99 %v max %v; busiest second %d calls, %d bytes from peers", times[size/2], times[size*99/100], times[size-1], busiestSecond(f), f.peerBytes)
		So(times[size-1], ShouldBeLessThan, 6*time.Second)
		So(f.platform.denied, ShouldEqual, 0)
		So(busiestSecond(f), ShouldBeLessThan, 2000)
		_, decreased := decreasingRevision(f)
		So(decreased, ShouldBeFalse)
	})
}

func TestCallRateWithDailyChanges(t *testing.T) {
	const changesPerDay, fleetSize, budget = 2500, 600, 2000
	Convey("With 2,500 changes a day, 600 daemons use less than a tenth of the platform's call budget", t, func() {
		f := newFleet(1, 8)
		f.publishAll()
		f.start(nil)
		f.run(10 * time.Second)
		count := func(changes int) float64 {
			before := f.nodes[0].calls
			for range changes {
				f.publish(lists.KindMachines, f.machinesText())
				f.run(24 * time.Hour / changesPerDay)
			}
			if changes == 0 {
				f.run(time.Hour)
			}
			return float64(f.nodes[0].calls-before) / time.Hour.Seconds()
		}
		idle := count(0)
		busy := count(changesPerDay / 24)
		t.Logf("platform calls per second of one daemon: idle %.3f, at %d changes a day %.3f", idle, changesPerDay, busy)
		So(busy*fleetSize, ShouldBeLessThan, budget/10)
	})
}
