package membership

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflypin/fireflypin/internal/proptest"
)

// TestSchedules runs random schedules of crashes, restarts, pauses, cut links and packet loss. During a schedule, a
// machine that was paused must not own flows in its own view before SelfJoined. 20 s after the last event, all running
// machines must agree that exactly the running machines are owners.
func TestSchedules(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		f := newFleet(t, drawSeed(r), rapid.IntRange(1, 3).Draw(r, "zones"), rapid.IntRange(1, 4).Draw(r, "machines of a zone"))
		rejoining := make(map[*node]bool)
		f.watch = func(n *node, a Action) {
			switch a.(type) {
			case SelfPaused:
				rejoining[n] = true
			case SelfJoined:
				delete(rejoining, n)
			}
			if rejoining[n] && slices.Contains(n.owners(), n.entry.ID) && n.list.self.ready {
				r.Fatalf("%s owns flows after a pause and before SelfJoined", n.entry.Name)
			}
		}
		f.run(2 * time.Second)
		for range rapid.IntRange(1, 8).Draw(r, "events") {
			injectFault(r, f)
			f.run(time.Duration(rapid.IntRange(50, 5000).Draw(r, "wait ms")) * time.Millisecond)
		}
		healAll(f)
		if n := f.findDisagreement(f.runningIDs()); n != nil {
			r.Fatalf("%s has owners %v, want %v", n.entry.Name, n.owners(), f.runningIDs())
		}
	})
}

func drawSeed(r *rapid.T) uint64 {
	return rapid.Uint64().Draw(r, "seed")
}

// injectFault applies one random event to the fleet.
func injectFault(r *rapid.T, f *fleet) {
	n := rapid.SampledFrom(f.nodes).Draw(r, "machine")
	switch rapid.SampledFrom([]string{"crash", "restart", "pause", "resume", "cut link", "cut zone", "heal", "lose"}).Draw(r, "event") {
	case "crash":
		f.crash(n)
	case "restart":
		f.start(n)
	case "pause":
		n.paused = true
	case "resume":
		if n.paused && n.running {
			f.resume(n)
		}
	case "cut link":
		other := rapid.SampledFrom(f.nodes).Draw(r, "other")
		f.cut = func(from, to *node) bool { return from == n && to == other }
	case "cut zone":
		zone := n.entry.Zone
		f.cut = func(from, to *node) bool { return (from.entry.Zone == zone) != (to.entry.Zone == zone) }
	case "heal":
		f.cut = func(*node, *node) bool { return false }
	case "lose":
		f.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(r, "loss")
	}
}

// healAll ends all faults and waits until failure detection has completed everywhere.
func healAll(f *fleet) {
	f.cut = func(*node, *node) bool { return false }
	f.loss = 0
	for _, n := range f.nodes {
		if n.paused && n.running {
			f.resume(n)
		}
	}
	f.run(20 * time.Second)
}
