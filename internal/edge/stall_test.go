package edge_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A first packet that waited in a daemon's socket while its flow was opened by way of another one must not reach a second
// target.
func TestFirstPacketsThatWaitedThroughAStall(t *testing.T) {
	for _, c := range []struct {
		name  string
		stall time.Duration
		taken int
	}{
		{"as long as the fabric needs to move a flow", 600 * time.Millisecond, 0},
		{"shorter than that", 300 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(ctx context.Context, f *fleet) {
				one := f.target(1)
				defer one.conn.Close()
				caller := f.client()
				defer caller.conn.Close()
				a := f.start(ctx, 1)
				time.Sleep(3*time.Second + 20*time.Millisecond) // between two looks at the clock
				f.mu.Lock()
				a.suspended = c.stall
				f.mu.Unlock()
				caller.send(a, caller.packetOf(2999, 1, wireSYN, 100, 0, 0, 0))
				time.Sleep(5 * time.Millisecond)
				So(one.take(), ShouldHaveLength, c.taken)
				So(a.daemon.Ready(), ShouldBeNil)
				So(answeredLater(caller, a, one), ShouldBeTrue)
			})
		})
	}
}

// answeredLater reports whether a flow that begins a little later reaches the target.
func answeredLater(c *client, to *node, t *target) bool {
	time.Sleep(200 * time.Millisecond)
	for port := uint16(3000); port < 3002; port++ { // the first packets after a stall may have waited too
		c.send(to, c.packetOf(port, 1, wireSYN, 100, 0, 0, 0))
		time.Sleep(5 * time.Millisecond)
	}
	return len(t.take()) > 0
}

func TestFirstPacketsThatWaitedForTheFirstLists(t *testing.T) {
	for _, c := range []struct {
		name  string
		wait  time.Duration
		taken int
	}{
		{"as long as the fabric needs to move a flow", 700 * time.Millisecond, 0},
		{"shorter than that", 200 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(ctx context.Context, f *fleet) {
				one := f.target(1)
				defer one.conn.Close()
				caller := f.client()
				defer caller.conn.Close()
				f.store.set(true, false)
				a := f.start(ctx, 1)
				time.Sleep(10 * time.Millisecond)
				caller.send(a, caller.packetOf(2999, 1, wireSYN, 100, 0, 0, 0))
				time.Sleep(c.wait)
				So(one.take(), ShouldBeEmpty)
				f.store.set(false, false)
				for a.daemon.Ready() != nil {
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(5 * time.Millisecond)
				So(one.take(), ShouldHaveLength, c.taken)
				So(answeredLater(caller, a, one), ShouldBeTrue)
			})
		})
	}
}

// A read waits for a packet, so the first one after a stall may come long after what waited was read.
func TestFirstPacketAMomentAfterAStall(t *testing.T) {
	run(t, func(ctx context.Context, f *fleet) {
		one := f.target(1)
		defer one.conn.Close()
		caller := f.client()
		defer caller.conn.Close()
		a := f.start(ctx, 1)
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		a.suspended = 600 * time.Millisecond
		f.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		caller.send(a, caller.packetOf(2999, 1, wireSYN, 100, 0, 0, 0))
		time.Sleep(5 * time.Millisecond)
		So(one.take(), ShouldHaveLength, 1)
	})
}
