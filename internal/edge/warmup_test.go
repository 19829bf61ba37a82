package edge_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// warmingConfig is a configuration whose service publishes a rate for targets that warm up.
const warmingConfig = `{"version":2,"routes":[{"name":"r1","host":"198.18.0.1","prefix":"/443/","kind":"safe","service":"booking"}],
	"services":[{"name":"booking","max_connections":10000,"warmup_per_s":4}]}`

// warmingBound is the most first packets that a warming target may get in any second: 4 x 1.5 + 3, from the fleet's settings.
const warmingBound = 9

// warm registers a target that warms up for the given time from now on.
func (f *fleet) warm(t *target, i int, warmup time.Duration) {
	f.store.put("servers/"+t.name, fmt.Sprintf(`{"service":"booking","address":%q,"zone":"a","slots":3,"state":"ready","version":"v1","sequence":1,"born":%d,"warmup_remaining_ms":%d}`,
		t.conn.LocalAddr(), i, warmup.Milliseconds()))
}

// A target that warms up must not get more first packets in a second than it can serve, over all daemons.
func TestWarmingTargetBound(t *testing.T) {
	const daemons, rounds = 6, 60
	run(t, func(ctx context.Context, f *fleet) {
		f.store.put("op/config", warmingConfig)
		warming, other := f.target(1), f.target(2)
		defer warming.conn.Close()
		defer other.conn.Close()
		c := f.client()
		defer c.conn.Close()
		var nodes []*node
		for i := range daemons {
			nodes = append(nodes, f.start(ctx, i+1))
		}
		time.Sleep(10 * time.Second)
		f.warm(warming, 1, 8*time.Second)
		time.Sleep(2 * time.Second)
		port := uint16(2000)
		var perRound []int
		total := 0
		for range rounds {
			for _, n := range nodes {
				for range 5 {
					c.send(n, c.packetOf(port, 1, wireSYN, 100, 0, 0, 0))
					port++
				}
			}
			time.Sleep(50 * time.Millisecond)
			perRound = append(perRound, len(warming.take()))
			total += perRound[len(perRound)-1]
		}
		for i := range perRound {
			sum := 0
			for _, n := range perRound[max(0, i-19) : i+1] {
				sum += n
			}
			So(sum, ShouldBeLessThanOrEqualTo, warmingBound)
		}
		So(total, ShouldBeGreaterThanOrEqualTo, warmingBound/3*2)
		So(len(other.take()), ShouldEqual, daemons*rounds*5-total)
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			c.send(n, c.packetOf(port, 1, wireSYN, 100, 0, 0, 0))
			port++
		}
		time.Sleep(50 * time.Millisecond)
		So(len(warming.take()), ShouldBeGreaterThan, 0)
	})
}
