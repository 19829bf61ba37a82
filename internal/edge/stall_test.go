package edge_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// oneTarget is a fleet with one target and one caller.
type oneTarget struct {
	*fleet
	target *target
	caller *client
}

// runOneTarget runs a test with one target and one caller in virtual time.
func runOneTarget(t *testing.T, do func(ctx context.Context, o *oneTarget)) {
	run(t, func(ctx context.Context, f *fleet) {
		o := &oneTarget{fleet: f, target: f.target(1), caller: f.client()}
		defer o.target.conn.Close()
		defer o.caller.conn.Close()
		do(ctx, o)
	})
}

// sendSYN sends the SYN of a flow and returns how many packets reached the target since the last call.
func (o *oneTarget) sendSYN(to *node, port uint16) int {
	o.caller.send(to, o.caller.packetOf(port, 1, wireSYN, 100, 0, 0, 0))
	time.Sleep(5 * time.Millisecond)
	return len(o.target.take())
}

// suspend adds a suspension to the boot clock of a daemon's machine.
func (o *oneTarget) suspend(n *node, d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n.suspended = d
}

// placesLaterSYN reports whether a flow that begins a little later reaches the target.
func (o *oneTarget) placesLaterSYN(n *node) bool {
	time.Sleep(200 * time.Millisecond)
	return o.sendSYN(n, 3000)+o.sendSYN(n, 3001) > 0 // the first read after a stall may hold packets that waited
}

// queueCases are waits of queued SYNs. The SYNs are dropped if they waited as long as the fabric needs to move a flow.
var queueCases = []struct {
	name  string
	long  time.Duration
	taken int
}{
	{"as long as the fabric needs to move a flow", 600 * time.Millisecond, 0},
	{"shorter than that", 200 * time.Millisecond, 1},
}

// A SYN waits in the socket of a stalled daemon while its caller opens the flow through another daemon. The waiting
// SYN must not reach a second target.
func TestSYNsQueuedDuringStall(t *testing.T) {
	for _, c := range queueCases {
		t.Run(c.name, func(t *testing.T) {
			runOneTarget(t, func(ctx context.Context, o *oneTarget) {
				a := o.start(ctx, 1)
				time.Sleep(3*time.Second + 20*time.Millisecond) // between two checks of the clock
				o.suspend(a, c.long)
				So(o.sendSYN(a, 2999), ShouldEqual, c.taken)
				So(a.daemon.Ready(), ShouldBeNil)
				So(o.placesLaterSYN(a), ShouldBeTrue)
			})
		})
	}
}

func TestSYNsQueuedBeforeFirstLists(t *testing.T) {
	for _, c := range queueCases {
		t.Run(c.name, func(t *testing.T) {
			runOneTarget(t, func(ctx context.Context, o *oneTarget) {
				o.store.set(true, false)
				a := o.start(ctx, 1)
				time.Sleep(10 * time.Millisecond)
				So(o.sendSYN(a, 2999), ShouldEqual, 0)
				time.Sleep(c.long)
				o.store.set(false, false)
				for a.daemon.Ready() != nil {
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(5 * time.Millisecond)
				So(o.target.take(), ShouldHaveLength, c.taken)
				So(o.placesLaterSYN(a), ShouldBeTrue)
			})
		})
	}
}

// A read blocks until a packet arrives. If no packet waited during the stall, the first SYN that is read may arrive
// long after it and must not be dropped.
func TestSYNShortlyAfterStallIsPlaced(t *testing.T) {
	runOneTarget(t, func(ctx context.Context, o *oneTarget) {
		a := o.start(ctx, 1)
		time.Sleep(3 * time.Second)
		o.suspend(a, 600*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		So(o.sendSYN(a, 2999), ShouldEqual, 1)
	})
}
