package news

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// oldDatagram is a datagram as daemons encoded it before positions had eras: a heartbeat of zone "a" with highest 7,
// complete 7 and digest 5, and item "k" with value "v" at revision 7.
const oldDatagram = "0a13" + "0a0161" + "10ac02" + "1807" + "2007" + "290500000000000000" + "12080a016b10071a0176"

func TestOldEncoding(t *testing.T) {
	Convey("A datagram without eras is one of era 0, and era 0 is encoded as it was before there were eras", t, func() {
		raw, err := hex.DecodeString(oldDatagram)
		So(err, ShouldBeNil)
		d, err := Decode(raw)
		So(err, ShouldBeNil)
		So(*d.Heartbeat, ShouldResemble, Heartbeat{Zone: "a", Interval: 300 * time.Millisecond, Highest: 7, Complete: 7, Digest: 5, Reports: []Report{}})
		So(d.Items, ShouldResemble, []Item{{Key: "k", Revision: 7, Value: []byte("v")}})
		again, err := d.Encode()
		So(err, ShouldBeNil)
		So(hex.EncodeToString(again), ShouldEqual, oldDatagram)
	})
	Convey("Eras and kept items survive encoding", t, func() {
		d := Datagram{Heartbeat: &Heartbeat{Era: 3, Highest: 7, Complete: 7, Kept: 9, Reports: []Report{}}, Items: []Item{{Key: "k", Era: 3, Revision: 7}}, Members: []Member{}}
		raw, err := d.Encode()
		So(err, ShouldBeNil)
		got, err := Decode(raw)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, d)
		kept := []Kept{{Item: Item{Key: "k", Era: 2, Revision: 7, Value: []byte("v")}, Remaining: time.Second}}
		So(decodeKept(encodeKept(kept)), ShouldResemble, kept)
	})
	Convey("The digest of a complete replica is the same in every era, and differs while it is not complete in it", t, func() {
		at := func(era uint64) Item { return Item{Key: "a", Era: era, Revision: 5} }
		old, later, mixed := newReplica(), newReplica(), newReplica()
		old.applyAll(t0, []Item{at(0)})
		old.markComplete(Position{Revision: 6})
		later.applyAll(t0, []Item{at(4)})
		later.markComplete(Position{Era: 4, Revision: 6})
		mixed.applyAll(t0, []Item{at(3)})
		mixed.markComplete(Position{Era: 3, Revision: 6})
		mixed.applyAll(t0, []Item{at(4)})
		So(later.digest, ShouldEqual, old.digest)
		So(mixed.digest, ShouldNotEqual, old.digest)
		So(mixed.digestIn(4), ShouldEqual, later.digest)
	})
}

// eraEngine returns an engine whose first read returned an item at revision 5 of an era, complete up to 6, and the number
// of its open watch.
func eraEngine(now time.Time, era uint64) (*Engine, uint64) {
	e, call := newReadingEngine(now)
	e.cfg.StartupWait = 0
	e.HandleRead(now, call, []Item{{Key: "k", Era: era, Revision: 5, Value: []byte("old")}}, Position{era, 6})
	for _, a := range e.Tick(now.Add(time.Second)) {
		if w, ok := a.(Watch); ok {
			return e, w.Call
		}
	}
	panic("a synced engine must watch")
}

func hasAction[T Action](actions []Action) bool {
	for _, a := range actions {
		if _, ok := a.(T); ok {
			return true
		}
	}
	return false
}

func TestNewerEra(t *testing.T) {
	now, peer := time.Unix(5000, 0), netip.MustParseAddrPort("10.1.0.2:7000")
	later := now.Add(2 * time.Second)
	Convey("The changes of a watch that ends in a newer era are dropped, and everything is read", t, func() {
		e, call := eraEngine(now, 1)
		actions := e.HandleWatch(later, call, []Item{{Key: "k", Era: 2, Revision: 7, Value: []byte("new")}}, Position{2, 7})
		So(hasAction[EraBegan](actions), ShouldBeTrue)
		So(hasAction[ItemsChanged](actions), ShouldBeFalse)
		So(hasAction[ReadAll](append(actions, e.Tick(later.Add(time.Second))...)), ShouldBeTrue)
		So(e.Complete(), ShouldResemble, Position{1, 6})
	})
	Convey("A failure that reports a newer era has the same effect", t, func() {
		e, call := eraEngine(now, 1)
		actions := e.HandleFailure(later, call, Failure{Err: fmt.Errorf("410"), Compacted: true, Era: 2})
		So(hasAction[EraBegan](actions), ShouldBeTrue)
		So(hasAction[ReadAll](append(actions, e.Tick(later.Add(time.Second))...)), ShouldBeTrue)
	})
	Convey("A late answer of the era before, and a stale read of it, change nothing", t, func() {
		e, call := eraEngine(now, 2)
		actions := e.HandleWatch(later, call, []Item{{Key: "k", Era: 1, Revision: 99, Value: []byte("late")}}, Position{1, 99})
		So(hasAction[ItemsChanged](actions), ShouldBeFalse)
		So(e.Complete(), ShouldResemble, Position{2, 6})
	})
	Convey("A starting daemon that knows the era from another one refuses a stale answer of the era before", t, func() {
		e, call := newReadingEngine(now)
		e.HandleDatagram(now, peer, Datagram{Heartbeat: &Heartbeat{Zone: "a", Interval: time.Second, Era: 2, Highest: 5, Complete: 6, Digest: 1}})
		actions := e.HandleRead(now, call, []Item{{Key: "k", Era: 1, Revision: 99}}, Position{1, 99})
		So(e.Synced(), ShouldBeFalse)
		So(actions, ShouldContain, Action(ReadAll{Call: call + 1}))
	})
	Convey("Datagrams and fetches of an older era change nothing, and their confirmation does not count", t, func() {
		e, _ := eraEngine(now, 2)
		actions := e.HandleDatagram(later, peer, Datagram{
			Heartbeat: &Heartbeat{Zone: "a", Interval: time.Second, Highest: 99, Complete: 99, Digest: e.Digest()},
			Items:     []Item{{Key: "k", Revision: 99, Value: []byte("old build")}},
		})
		So(hasAction[ItemsChanged](actions), ShouldBeFalse)
		So(hasAction[Fetch](append(actions, e.Tick(later.Add(900*time.Millisecond))...)), ShouldBeFalse)
		So(e.Confirmed(), ShouldBeFalse)
		e.HandleFetched(later, Fetched{From: peer, Complete: Position{1, 99}, Items: []Item{{Key: "k", Era: 1, Revision: 99}}})
		So(e.replica.items["k"].Position(), ShouldResemble, Position{2, 5})
	})
}

func TestStartOnCopy(t *testing.T) {
	Convey("A daemon that starts on the copy does not put it in force where another one knows better", t, func() {
		w := newWorld(3, 6, 4, "a")
		w.run(4 * time.Second)
		before := w.version
		w.publishConfig()
		w.targets["targets/001"].draining = true
		w.beat(w.targets["targets/001"])
		w.run(time.Second)
		n := w.nodes[5]
		n.stop()
		w.returnFromCopy(2 * time.Second) // nobody writes again
		w.lastReturn = w.now
		w.targets["targets/001"].nextAt = w.now.Add(time.Minute)
		w.run(2 * time.Second)
		n.start()
		w.run(200 * time.Millisecond)
		So(w.inForce[n].generation, ShouldEqual, n.generation)
		So(w.inForce[n].version, ShouldEqual, w.version)
		So(w.inForce[n].version, ShouldNotEqual, before)
		So(w.inForce[n].targets["targets/001"].Draining, ShouldBeTrue)
		So(w.faults, ShouldBeEmpty)
	})
	Convey("A daemon that starts alone on the copy learns it when it meets others", t, func() {
		w := newWorld(3, 6, 4, "a")
		w.run(4 * time.Second)
		w.publishConfig()
		w.run(time.Second)
		n := w.nodes[5]
		n.stop()
		w.cut = func(a, b *node) bool { return a == n || b == n }
		w.returnFromCopy(2 * time.Second)
		n.start()
		w.run(2 * time.Second)
		So(w.inForce[n].version, ShouldNotEqual, w.version)
		w.heal()
		w.run(2 * time.Second)
		So(w.inForce[n].version, ShouldEqual, w.version)
		So(w.faults, ShouldBeEmpty)
	})
}

func TestEraPartition(t *testing.T) {
	Convey("While half of the daemons are cut off from the platform, and a reader still sees the platform of before", t, func() {
		for seed := range uint64(6) {
			w := newWorld(seed, 9, 6, zoneNames...)
			w.run(4 * time.Second)
			w.unresponsive = func(n *node) bool { return n.index%2 == 0 }
			w.freezeStaleState()
			random := rand.New(rand.NewPCG(seed, 3))
			w.publishConfig()
			w.run(time.Duration(random.IntN(2000)) * time.Millisecond)
			w.returnAfter(0, 3*time.Second)
			w.run(time.Duration(random.IntN(900)) * time.Millisecond)
			w.returnAfter(100*time.Millisecond, 3*time.Second) // the second within a second
			w.run(4 * time.Second)
			Convey(fmt.Sprintf("those in touch with others agree with the platform: seed %d", seed), func() {
				for _, n := range w.nodes {
					So(n.engine.Complete().Era, ShouldEqual, w.platform.era)
				}
				w.heal()
				w.run(agreementBound)
				w.checkAgreement()
				So(w.faults, ShouldBeEmpty)
			})
		}
	})
}

func TestStartBesideKeptItems(t *testing.T) {
	Convey("A starting daemon that hears of kept items before its read ends fetches them before its first lists", t, func() {
		now, peer := time.Unix(5000, 0), netip.MustParseAddrPort("10.1.0.2:7000")
		e, call := newReadingEngine(now)
		e.holds.describe = describeWorld
		e.HandleDatagram(now, peer, Datagram{Heartbeat: &Heartbeat{Zone: "a", Interval: time.Second, Era: 2, Highest: 5, Complete: 6, Digest: 1, Kept: 9}})
		config := func(era, revision uint64, version int) Item {
			return Item{Key: "config", Era: era, Revision: revision, Value: fmt.Append(nil, "version=", version)}
		}
		actions := e.HandleRead(now, call, []Item{config(2, 5, 1)}, Position{2, 6})
		So(hasAction[Fetch](actions), ShouldBeTrue)
		So(e.Outdated(now), ShouldBeTrue)
		actions = e.HandleFetched(now, Fetched{
			From: peer, Complete: Position{2, 6}, Standing: []Version{{"config", 2, 5}}, Kept: []Kept{{Item: config(1, 9, 4), Remaining: time.Second}},
		})
		So(actions, ShouldContain, Action(ItemsChanged{Items: []Item{config(1, 9, 4)}}))
		So(e.Outdated(now), ShouldBeFalse)
		So(e.Held(), ShouldEqual, 1)
	})
}
