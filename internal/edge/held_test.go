package edge_test

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// After a power failure of all machines, a fleet reads its lists behind slow links, where a large configuration
// takes longer to arrive than the targets do. Open flows must not wait for it.
func TestOpenFlowsContinueBeforeConfigurationIsRead(t *testing.T) {
	const slow = 200 * time.Millisecond
	runOneTarget(t, func(ctx context.Context, o *oneTarget) {
		a := o.start(ctx, 1)
		time.Sleep(2 * time.Second)
		o.caller.send(a, o.caller.packetOf(1025, 1, wireSYN, 100, 0, 0, 0))
		time.Sleep(5 * time.Millisecond)
		opened := o.target.take()
		So(opened, ShouldHaveLength, 1)
		tag := binary.BigEndian.Uint32(opened[0][8+tagOffset:])
		a.stop()
		So(<-a.done, ShouldBeNil)
		a.done <- nil

		o.store.configDelay = slow
		start := time.Now()
		b := o.start(ctx, 2)
		time.Sleep(20 * time.Millisecond)
		o.caller.send(b, o.caller.packetOf(1025, 1, wireACK, 101, 501, tag, 10))
		o.caller.send(b, o.caller.packetOf(1026, 1, wireSYN, 100, 0, 0, 0))
		o.caller.send(b, o.caller.packetOf(1027, 9, wireSYN, 100, 0, 0, 0))
		time.Sleep(60 * time.Millisecond)

		// The open flow continues. SYNs are neither placed nor refused, and the daemon is not ready, so that the
		// fabric uses others.
		So(o.target.take(), ShouldHaveLength, 1)
		So(o.caller.take(), ShouldBeEmpty)
		So(b.daemon.Ready(), ShouldNotBeNil)

		for b.daemon.Ready() != nil {
			time.Sleep(5 * time.Millisecond)
		}
		So(time.Since(start), ShouldBeLessThan, slow+50*time.Millisecond)
		time.Sleep(5 * time.Millisecond)
		placed := o.target.take()
		So(placed, ShouldHaveLength, 1)
		So(portOf(placed[0]), ShouldEqual, 1026)
		So(o.caller.take(), ShouldHaveLength, 1) // refused: no route has this address
		So(o.sendSYN(b, 1028), ShouldEqual, 1)
	})
}

// TestDuplicateSYNAfterOutage guards against a daemon that places copies of SYNs as it starts, since it believes that no daemon
// ran when their first ones were sent: one that it has not heard, or its own earlier process, may have placed those.
func TestDuplicateSYNAfterOutage(t *testing.T) {
	duplicate := func(o *oneTarget, d *node, port uint16, n uint32) int {
		o.caller.send(d, o.caller.packetOf(port, 1, wireSYN, 100, n, 0, 0))
		time.Sleep(5 * time.Millisecond)
		return len(o.target.take())
	}
	untilReady := func(d *node) {
		for d.daemon.Ready() != nil {
			time.Sleep(time.Millisecond)
		}
	}
	runOneTarget(t, func(ctx context.Context, o *oneTarget) {
		a := o.start(ctx, 1)
		untilReady(a)
		So(duplicate(o, a, 1026, 1), ShouldEqual, 0)
		So(duplicate(o, a, 1027, 2), ShouldEqual, 0)
		So(o.sendSYN(a, 1028), ShouldEqual, 1)
		So(duplicate(o, a, 1028, 1), ShouldEqual, 1)
		So(duplicate(o, a, 1028, 2), ShouldEqual, 1)

		b := o.start(ctx, 2)
		untilReady(b)
		So(duplicate(o, b, 1029, 1), ShouldEqual, 0)
		So(duplicate(o, b, 1030, 2), ShouldEqual, 0)
		So(o.sendSYN(b, 1031), ShouldEqual, 1)
	})
}

// While a daemon holds a SYN, its caller may open the flow through another daemon. The held SYN must not reach a
// second target then.
func TestSYNsHeldTooLongAreDropped(t *testing.T) {
	runOneTarget(t, func(ctx context.Context, o *oneTarget) {
		o.store.configDelay = 700 * time.Millisecond
		b := o.start(ctx, 2)
		time.Sleep(100 * time.Millisecond)
		So(o.sendSYN(b, 1026), ShouldEqual, 0)
		time.Sleep(400 * time.Millisecond)
		So(o.sendSYN(b, 1027), ShouldEqual, 0)
		for b.daemon.Ready() != nil {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(5 * time.Millisecond)
		placed := o.target.take()
		So(placed, ShouldHaveLength, 1)
		So(portOf(placed[0]), ShouldEqual, 1027)
	})
}
