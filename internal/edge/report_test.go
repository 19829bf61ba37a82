package edge_test

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// When one daemon reports a failed target, the other daemons of the zone must not all probe it: few of them have flows
// on it.
func TestReportOfFailedTargetCausesNoProbesWithoutFlows(t *testing.T) {
	const daemons = 12
	run(t, func(ctx context.Context, f *fleet) {
		var targets []*target
		for i := range 4 {
			targets = append(targets, f.target(i+1))
		}
		c := f.client()
		defer c.conn.Close()
		var nodes []*node
		for i := range daemons {
			nodes = append(nodes, f.start(ctx, i+1))
		}
		time.Sleep(3 * time.Second)
		a := nodes[0]
		// All flows belong to one daemon. Those of the failing target retransmit, the others make progress.
		for port := uint16(2000); port < 2040; port++ {
			c.send(a, c.packetOf(port, 1, wireSYN, 100, 0, 0, 0))
		}
		time.Sleep(10 * time.Millisecond)
		type openFlow struct {
			port uint16
			tag  uint32
		}
		flows := make(map[*target][]openFlow)
		for _, t := range targets {
			for _, frame := range t.take() {
				flows[t] = append(flows[t], openFlow{portOf(frame), binary.BigEndian.Uint32(frame[8+tagOffset:])})
			}
		}
		failed := targets[0]
		sendOnAll := func(seq, ack uint32) {
			for _, t := range targets {
				for _, o := range flows[t] {
					if t == failed {
						c.send(a, c.packetOf(o.port, 1, wireACK, 101, 501, o.tag, 10))
					} else {
						c.send(a, c.packetOf(o.port, 1, wireACK, seq, ack, o.tag, 10))
					}
				}
			}
		}
		sendOnAll(101, 501)
		f.kill(failed)
		for i := range uint32(5) {
			time.Sleep(250 * time.Millisecond)
			sendOnAll(111+10*i, 601+100*i)
		}
		time.Sleep(time.Second)
		// Daemon a found the failure with a probe of three attempts and a probe of another target for comparison,
		// and probed at most once more for its other flows.
		f.mu.Lock()
		attempts := f.attempts
		f.mu.Unlock()
		So(attempts, ShouldBeBetween, 1, 13)
		// The other daemons avoid the target without a probe.
		for i, n := range nodes[1:] {
			for port := uint16(3000); port < 3010; port++ {
				c.send(n, c.packetOf(port+uint16(100*i), 1, wireSYN, 100, 0, 0, 0))
			}
		}
		time.Sleep(10 * time.Millisecond)
		placed := 0
		for _, t := range targets[1:] {
			placed += len(t.take())
			_ = t.conn.Close()
		}
		So(placed, ShouldBeGreaterThanOrEqualTo, 10*(daemons-1))
	})
}
