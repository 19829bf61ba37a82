package edge_test

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A fleet whose machines all lost power reads its lists again behind narrow links, where a large configuration takes longer
// than the targets do.
func TestOpenFlowsGoOnBeforeTheConfigurationIsRead(t *testing.T) {
	const slow = 200 * time.Millisecond
	runOneTarget(t, func(ctx context.Context, o *oneTarget) {
		a := o.start(ctx, 1)
		time.Sleep(2 * time.Second)
		o.caller.send(a, o.caller.packetOf(1025, 1, wireSYN, 100, 0, 0, 0))
		time.Sleep(5 * time.Millisecond)
		opened := o.target.take()
		So(opened, ShouldHaveLength, 1)
		tag := binary.BigEndian.Uint32(opened[0][8+tagAt:])
		a.stop()
		So(<-a.done, ShouldBeNil)
		a.done <- nil

		o.store.slowConfig = slow
		start := time.Now()
		b := o.start(ctx, 2)
		time.Sleep(20 * time.Millisecond)
		o.caller.send(b, o.caller.packetOf(1025, 1, wireACK, 101, 501, tag, 10))
		o.caller.send(b, o.caller.packetOf(1026, 1, wireSYN, 100, 0, 0, 0))
		o.caller.send(b, o.caller.packetOf(1027, 9, wireSYN, 100, 0, 0, 0))
		time.Sleep(60 * time.Millisecond)

		// The open flow goes on; first packets are neither placed nor refused, and the fabric is told to use others.
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
		So(o.caller.take(), ShouldHaveLength, 1) // no route leads to the other address
		So(o.syn(b, 1028), ShouldEqual, 1)
	})
}

// A caller may have opened its flow by way of another daemon while its first packet was kept.
func TestFirstPacketsThatWereKeptTooLongAreDropped(t *testing.T) {
	runOneTarget(t, func(ctx context.Context, o *oneTarget) {
		o.store.slowConfig = 700 * time.Millisecond
		b := o.start(ctx, 2)
		time.Sleep(100 * time.Millisecond)
		So(o.syn(b, 1026), ShouldEqual, 0)
		time.Sleep(400 * time.Millisecond)
		So(o.syn(b, 1027), ShouldEqual, 0)
		for b.daemon.Ready() != nil {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(5 * time.Millisecond)
		placed := o.target.take()
		So(placed, ShouldHaveLength, 1)
		So(portOf(placed[0]), ShouldEqual, 1027)
	})
}
