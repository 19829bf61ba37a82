package edge_test

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// rotationDelay is how long the fabric keeps sending flows to a daemon that reports not ready: two health checks,
// half a second apart.
const rotationDelay = time.Second

// sendUntil opens a flow at a daemon every 20 ms and sends a packet of each flow 40 ms after its SYN, until a time
// has passed. It returns the number of flows.
func (o *oneTarget) sendUntil(n *node, d time.Duration, tag uint32) int {
	const step = 20 * time.Millisecond
	const later = 2
	flows := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		o.caller.send(n, o.caller.packetOf(uint16(2000+flows), 1, wireSYN, 100, 0, 0, 0))
		if flows >= later {
			o.caller.send(n, o.caller.packetOf(uint16(2000+flows-later), 1, wireACK, 101, 501, tag, 10))
		}
		flows++
	}
	return flows
}

// arrivals counts the SYNs and the other packets that a target received, by the flows' source ports.
func arrivals(frames [][]byte) (opened, data map[uint16]int) {
	opened, data = make(map[uint16]int), make(map[uint16]int)
	for _, frame := range frames {
		if frame[8+24]&wireSYN != 0 {
			opened[portOf(frame)]++
		} else {
			data[portOf(frame)]++
		}
	}
	return opened, data
}

func TestStopUnderLoadLosesNoPacket(t *testing.T) {
	for _, c := range []struct {
		name string
		// stopCalls is how often the daemon is asked to stop.
		stopCalls int
	}{{"asked once", 1}, {"asked three times", 3}} {
		t.Run(c.name, func(t *testing.T) {
			runOneTarget(t, func(ctx context.Context, o *oneTarget) {
				a := o.start(ctx, 1)
				time.Sleep(2 * time.Second)
				o.caller.send(a, o.caller.packetOf(1025, 1, wireSYN, 100, 0, 0, 0))
				time.Sleep(5 * time.Millisecond)
				tag := binary.BigEndian.Uint32(o.target.take()[0][8+tagOffset:])
				for range 64 { // they are in the socket when the stop begins
					o.caller.send(a, o.caller.packetOf(1025, 1, wireACK, 101, 501, tag, 10))
				}
				for range c.stopCalls {
					a.stop()
				}
				flows := o.sendUntil(a, rotationDelay, tag)
				So(<-a.done, ShouldBeNil)
				a.done <- nil
				opened, data := arrivals(o.target.take())
				So(opened, ShouldHaveLength, flows)
				So(data[1025], ShouldEqual, 64)
				So(data, ShouldHaveLength, flows-2+1)
				So(o.caller.take(), ShouldBeEmpty) // no flow was refused or reset
			})
		})
	}
}

func TestStopDuringStart(t *testing.T) {
	runOneTarget(t, func(ctx context.Context, o *oneTarget) {
		o.store.set(true, false)
		a := o.start(ctx, 1)
		time.Sleep(10 * time.Millisecond)
		o.caller.send(a, o.caller.packetOf(1025, 1, wireSYN, 100, 0, 0, 0))
		a.stop()
		time.Sleep(100 * time.Millisecond)
		So(a.daemon.Ready(), ShouldNotBeNil)
		o.store.set(false, false)
		So(<-a.done, ShouldBeNil)
		a.done <- nil
		So(o.target.take(), ShouldHaveLength, 1) // it was placed once the lists were applied
		So(o.caller.take(), ShouldBeEmpty)
	})
}

// Daemons that stop one after the other hand over no state: any daemon can forward a flow by its tag.
func TestRollingStop(t *testing.T) {
	runOneTarget(t, func(ctx context.Context, o *oneTarget) {
		var nodes []*node
		for i := range 3 {
			nodes = append(nodes, o.start(ctx, i+1))
		}
		time.Sleep(2 * time.Second)
		o.caller.send(nodes[0], o.caller.packetOf(1025, 1, wireSYN, 100, 0, 0, 0))
		time.Sleep(5 * time.Millisecond)
		tag := binary.BigEndian.Uint32(o.target.take()[0][8+tagOffset:])
		seq := uint32(101)
		for _, n := range nodes {
			n.stop()
			for range 100 {
				o.caller.send(n, o.caller.packetOf(1025, 1, wireACK, seq, 501, tag, 10))
				seq += 10
				time.Sleep(10 * time.Millisecond)
			}
		}
		So(o.target.take(), ShouldHaveLength, 100*len(nodes))
		So(o.caller.take(), ShouldBeEmpty)
	})
}
