package news

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflypin/fireflypin/internal/proptest"
)

// reachBound returns the time within which a change has to be in force at sites whose zones have so many daemons, less what
// a daemon needs to build lists.
func reachBound(zoneSize int) time.Duration {
	switch {
	case zoneSize <= 3:
		return 3*time.Second - 50*time.Millisecond
	case zoneSize <= 30:
		return 5*time.Second - 150*time.Millisecond
	}
	return 6*time.Second - 350*time.Millisecond
}

// reachWorld is a fleet whose daemons and calls to the platform fail at random.
type reachWorld struct {
	*sim
	bound time.Duration
	// servedSince is since when a node has been up, and the platform has served it; zero while that is not so.
	servedSince []time.Time
	// changedAt is when each revision of the configuration was published.
	changedAt map[uint64]time.Time
	// silent and refused hold the nodes that the platform does not answer, or answers with an error.
	silent, refused map[*node]bool
}

func newReachWorld(seed uint64, zoneSize, zones int) *reachWorld {
	names := []string{"a", "b", "c"}[:zones]
	w := &reachWorld{
		sim: newSim(seed, max(zoneSize*zones, 2), names...), bound: reachBound(zoneSize), changedAt: make(map[uint64]time.Time),
		silent: make(map[*node]bool), refused: make(map[*node]bool),
	}
	w.readTimeout = 2 * time.Second
	w.unresponsive = func(n *node) bool { return w.silent[n] }
	w.rejected = func(n *node) bool { return w.refused[n] }
	w.platform.era = seed % 2
	w.servedSince = make([]time.Time, len(w.nodes))
	w.startAll()
	return w
}

// change publishes a configuration.
func (w *reachWorld) change() {
	w.put("config", 300)
	w.changedAt[w.platform.items["config"].Revision] = w.now
}

// check returns an error if a node that the platform has served for as long as the bound lacks a change of that age.
func (w *reachWorld) check() error {
	for i, n := range w.nodes {
		switch served := n.up && !w.silent[n] && !w.refused[n]; {
		case !served:
			w.servedSince[i] = time.Time{}
			continue
		case w.servedSince[i].IsZero():
			w.servedSince[i] = w.now
		}
		if w.now.Sub(w.servedSince[i]) < w.bound {
			continue
		}
		held := uint64(0)
		if it := n.engine.replica.items["config"]; it != nil {
			held = it.Revision
		}
		for revision, at := range w.changedAt {
			if revision > held && w.now.Sub(at) > w.bound {
				return fmt.Errorf("node %d of %d, served for %v, lacks a change of %v ago; rank %d, %d failures", n.index, len(w.nodes),
					w.now.Sub(w.servedSince[i]), w.now.Sub(at), n.engine.members.rank(w.now), n.engine.reader.failures)
			}
		}
	}
	return nil
}

// advance lets time pass in steps.
func (w *reachWorld) advance(r *rapid.T, d time.Duration) {
	const step = 50 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(step)
		if err := w.check(); err != nil {
			r.Fatal(err)
		}
	}
}

// byRank returns the nodes of a zone in the order in which they become readers.
func (w *reachWorld) byRank(zone string) []*node {
	var out []*node
	for _, n := range w.nodes {
		if n.zone == zone {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b *node) int {
		if (Member{Addr: a.addr, Link: a.linkMbps}).precedes(Member{Addr: b.addr, Link: b.linkMbps}) {
			return -1
		}
		return 1
	})
	return out
}

// cutOff returns nodes that the platform ceases to serve while it serves the others: the first of a zone, or one of them.
func (w *reachWorld) cutOff(r *rapid.T) []*node {
	nodes := w.byRank(w.nodes[rapid.IntRange(0, min(len(w.nodes), 3)-1).Draw(r, "zone of")].zone)
	if rapid.Bool().Draw(r, "one") {
		return []*node{rapid.SampledFrom(nodes).Draw(r, "node")}
	}
	return nodes[:rapid.IntRange(0, min(len(nodes), leadingDaemons+1)).Draw(r, "first")]
}

// some returns the nodes of a zone that are lost: all, all but one, the first ones, or single ones.
func (w *reachWorld) some(r *rapid.T) []*node {
	nodes := w.byRank(w.nodes[rapid.IntRange(0, min(len(w.nodes), 3)-1).Draw(r, "zone of")].zone)
	switch rapid.IntRange(0, 3).Draw(r, "whom") {
	case 0:
		return nodes
	case 1:
		i := rapid.IntRange(0, len(nodes)-1).Draw(r, "but")
		return slices.Concat(nodes[:i], nodes[i+1:])
	case 2:
		return nodes[:rapid.IntRange(0, len(nodes)).Draw(r, "first")]
	}
	return []*node{rapid.SampledFrom(nodes).Draw(r, "node")}
}

// TestChangesReachServedDaemons guards against a daemon that does not call the platform for long, though the platform
// serves it: after an outage, whatever its rank, and whoever else lives or is served.
func TestChangesReachServedDaemons(t *testing.T) {
	schedule := func(r *rapid.T) {
		zoneSize := rapid.SampledFrom([]int{1, 2, 3, 3, 8, 20, 30, 43, 60}).Draw(r, "daemons of a zone")
		w := newReachWorld(rapid.Uint64Range(0, 1000).Draw(r, "seed"), zoneSize, rapid.IntRange(1, 2).Draw(r, "zones"))
		w.advance(r, 4*time.Second)
		for range rapid.IntRange(2, 8).Draw(r, "events") {
			failing := w.silent
			if rapid.Bool().Draw(r, "refused") {
				failing = w.refused
			}
			switch rapid.IntRange(0, 7).Draw(r, "event") {
			case 0, 1:
				for _, n := range w.some(r) {
					n.stop()
				}
			case 2:
				for _, n := range w.nodes {
					if !n.up {
						n.start()
					}
				}
			case 3, 4:
				for _, n := range w.nodes {
					failing[n] = true
				}
			case 5:
				clear(w.silent)
				clear(w.refused)
				fallthrough
			case 6:
				for _, n := range w.cutOff(r) {
					failing[n] = true
				}
			default:
				clear(w.silent)
				clear(w.refused)
			}
			w.advance(r, time.Duration(rapid.IntRange(0, 5000).Draw(r, "ms"))*time.Millisecond)
			w.change()
		}
		clear(w.silent)
		clear(w.refused)
		w.advance(r, w.bound+time.Second)
	}
	for seed := 1; seed <= 4; seed++ { // scripts/run-tests runs each in a process of its own
		proptest.CheckSeedN(t, seed, 15, schedule)
	}
}

// TestLastDaemonOfZoneAfterOutage plays the loss of all other daemons of a zone right after an outage of the platform, for
// each rank of the one that is left.
func TestLastDaemonOfZoneAfterOutage(t *testing.T) {
	for _, kind := range []string{"silent", "refused"} {
		for rank := 0; rank < 43; rank += 7 {
			t.Run(fmt.Sprint(kind, " rank ", rank), func(t *testing.T) {
				w := newReachWorld(uint64(rank), 43, 1)
				w.run(8 * time.Second)
				for _, n := range w.nodes {
					w.silent[n], w.refused[n] = kind == "silent", kind == "refused"
				}
				w.run(5200 * time.Millisecond)
				clear(w.silent)
				clear(w.refused)
				w.run(200 * time.Millisecond)
				for i, n := range w.byRank("a") {
					if i != rank {
						n.stop()
					}
				}
				w.run(100 * time.Millisecond)
				w.change()
				for range 140 {
					w.run(50 * time.Millisecond)
					if err := w.check(); err != nil {
						t.Fatal(err)
					}
				}
			})
		}
	}
}

// TestLostResultOfCall guards against a daemon that waits forever for the result of a call that its caller lost.
func TestLostResultOfCall(t *testing.T) {
	now := time.Unix(5000, 0)
	e := New(Config{Self: Member{Addr: netip.MustParseAddrPort("10.0.0.1:8166"), Zone: "a"}, Rand: rand.New(rand.NewPCG(1, 2))})
	reads := func(actions []Action) int {
		return len(slices.DeleteFunc(actions, func(a Action) bool { _, ok := a.(ReadAll); return !ok }))
	}
	if n := reads(e.Start(now)); n != 1 {
		t.Fatalf("%d reads at the start", n)
	}
	again := 0
	for end := now.Add(maxCallTime + time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		again += reads(e.Tick(now))
	}
	if again != 1 {
		t.Fatalf("%d further reads within %v", again, maxCallTime+time.Second)
	}
}
