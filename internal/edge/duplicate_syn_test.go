package edge_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A starting daemon leaves packets in its socket until it has lists. It then reads a SYN and its duplicates in one
// batch, before a target could answer, and must not send them to different targets.
func TestQueuedDuplicateSYNsReachOneTarget(t *testing.T) {
	const flows = 20
	for _, c := range []struct {
		name  string
		waits []time.Duration
		// reached is the number of flows that reach a target; those that waited for stallLimit or longer are dropped.
		reached int
	}{
		{"SYN and duplicate", []time.Duration{200 * time.Millisecond, 100 * time.Millisecond}, flows},
		{"SYN and both duplicates", []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 100 * time.Millisecond}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			twice := 0
			run(t, func(ctx context.Context, f *fleet) {
				reached := targetsReached(ctx, f, flows, c.waits)
				So(reached, ShouldHaveLength, c.reached)
				for _, n := range reached {
					if n > 1 {
						twice++
					}
				}
			})
			// Checked outside, since a failure inside leaves goroutines of the virtual time behind.
			if twice > 0 {
				t.Errorf("%d of %d flows reached more than one target", twice, flows)
			}
		})
	}
}

// targetsReached starts a daemon without lists and sends it SYNs and their duplicates, with a wait after each round. It
// returns how many targets each flow reached once the lists were available.
func targetsReached(ctx context.Context, f *fleet, flows uint16, waits []time.Duration) map[uint16]int {
	var targets []*target
	for i := range 4 {
		targets = append(targets, f.target(i+1))
	}
	defer func() {
		for _, t := range targets {
			_ = t.conn.Close()
		}
	}()
	c := f.client()
	defer c.conn.Close()
	f.store.set(true, false)
	a := f.start(ctx, 1)
	time.Sleep(10 * time.Millisecond) // until its socket is open
	for duplicate, wait := range waits {
		for port := range flows {
			c.send(a, c.packetOf(2000+port, 1, wireSYN, 100, uint32(duplicate), 0, 0))
		}
		time.Sleep(wait)
	}
	f.store.set(false, false)
	time.Sleep(2 * time.Second)
	reached := make(map[uint16]int)
	for _, t := range targets {
		seen := make(map[uint16]bool)
		for _, frame := range t.take() {
			seen[portOf(frame)] = true
		}
		for port := range seen {
			reached[port]++
		}
	}
	return reached
}
