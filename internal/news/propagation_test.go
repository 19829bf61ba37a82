package news

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// propagationFleetSize is the number of daemons. Larger sizes for manual runs: 89, 300 and 600.
var propagationFleetSize = flag.Int("force", 41, "daemons in TestPropagationTime")

const (
	// maxPropagationTime is the required maximum time from a change until it takes effect at each daemon that is not
	// cut off.
	maxPropagationTime = 3 * time.Second
	// largeConfigBytes is the size in bytes of a configuration with 1,400 additional routes.
	largeConfigBytes = 200_000
)

// propagationTimes returns the times from the publication of a change until it, or a later change that replaces it, was
// received, for each change and each daemon for which counted is true, in ascending order. never counts the changes
// that were not received.
func propagationTimes(s *sim, published []change, counted func(n *node) bool) (times []time.Duration, never int) {
	for _, n := range s.nodes {
		if !counted(n) {
			continue
		}
		for i := range published {
			d, ok := receivedAfter(n, published[i:])
			if !ok {
				never++
				continue
			}
			times = append(times, d)
		}
	}
	slices.Sort(times)
	return times, never
}

// change is a published revision of an item.
type change struct {
	itemRevision string
	at           time.Time
}

// receivedAfter returns the time from the first of the changes until the node received it or a later one.
func receivedAfter(n *node, changes []change) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, c := range changes {
		if at, ok := n.receivedAt[c.itemRevision]; ok {
			if d := at.Sub(changes[0].at); !found || d < best {
				best, found = d, true
			}
		}
	}
	return best, found
}

// percentile returns the p-th percentile of sorted durations.
func percentile(sorted []time.Duration, p int) time.Duration {
	return sorted[(len(sorted)-1)*p/100]
}

// TestPropagationTime checks that every change takes effect at every daemon in time, with packet loss, a partition
// between zones, a platform that rejects or ignores some daemons, frequent changes, and large changes over slow links.
func TestPropagationTime(t *testing.T) {
	allDaemons := func(*node) bool { return true }
	cases := []struct {
		name        string
		injectFault func(s *sim)
		// size is the size of the configuration in bytes, count the number of changes, and gap the time between two
		// changes.
		size, count int
		gap         time.Duration
		counted     func(n *node) bool
	}{
		{"no faults", func(*sim) {}, 300, 10, time.Second, allDaemons},
		{"5 % packet loss", func(s *sim) { s.loss = 0.05 }, 300, 10, time.Second, allDaemons},
		{"a zone cut off from the others", func(s *sim) {
			s.cut = func(a, b *node) bool { return (a.zone == "c") != (b.zone == "c") }
		}, 300, 10, time.Second, allDaemons},
		{"the platform rejects a third of the daemons", func(s *sim) {
			s.rejected = func(n *node) bool { return n.index%3 == 1 }
		}, 300, 10, time.Second, allDaemons},
		{"the platform does not respond to the readers", func(s *sim) {
			s.unresponsive = func(n *node) bool { return n.index < 4 }
		}, 300, 10, time.Second, allDaemons},
		{"a change every 0.1 s", func(*sim) {}, 300, 50, 100 * time.Millisecond, allDaemons},
		{"1,400 additional routes over 10 Mbit/s links", func(s *sim) { s.slowLinks = true }, largeConfigBytes, 3, 4 * time.Second, allDaemons},
		{"1,400 additional routes with 5 % packet loss", func(s *sim) { s.slowLinks, s.loss = true, 0.05 }, largeConfigBytes, 3, 4 * time.Second, allDaemons},
	}
	for _, c := range cases {
		Convey("A change takes effect in time: "+c.name, t, func() {
			s := newSim(1, *propagationFleetSize, "a", "b", "c")
			s.startAll()
			s.run(6 * time.Second)
			c.injectFault(s)
			calls := s.platform.calls
			start := s.now
			var published []change
			for range c.count {
				s.edit("config", c.size)
				published = append(published, change{fmt.Sprint("config", s.platform.revision), s.now})
				s.run(c.gap)
			}
			s.run(maxPropagationTime)
			perSecond := float64(s.platform.calls-calls) / s.now.Sub(start).Seconds() / float64(len(s.nodes))
			times, never := propagationTimes(s, published, c.counted)
			So(never, ShouldEqual, 0)
			t.Logf("%d daemons, %s: p50 %v p99 %v max %v, %.3f calls per daemon and second",
				len(s.nodes), c.name, percentile(times, 50), percentile(times, 99), times[len(times)-1], perSecond)
			So(times[len(times)-1], ShouldBeLessThanOrEqualTo, maxPropagationTime)
		})
	}
}
