package edge_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// randomRun is a fleet under random faults with flows whose packets arrive at random daemons.
type randomRun struct {
	*fleet
	ctx     context.Context
	rand    *rand.Rand
	client  *client
	targets []*target
	alive   map[*target]bool
	nodes   []*node
	flows   map[uint16]*randomFlow
	started int
	down    bool
}

// randomFlow is an open flow.
type randomFlow struct {
	target *target
	tag    uint32
	seq    uint32
}

func newRandomRun(ctx context.Context, f *fleet, seed uint64, targets int) *randomRun {
	r := &randomRun{fleet: f, ctx: ctx, rand: rand.New(rand.NewPCG(seed, 0)), alive: make(map[*target]bool), flows: make(map[uint16]*randomFlow)}
	r.client = f.client()
	for i := range targets {
		t := f.target(1 + i)
		r.targets = append(r.targets, t)
		r.alive[t] = true
	}
	for range 3 {
		r.startNode()
	}
	time.Sleep(2 * time.Second)
	return r
}

func (r *randomRun) startNode() {
	r.started++
	r.nodes = append(r.nodes, r.start(r.ctx, r.started))
}

func (r *randomRun) anyNode() *node { return r.nodes[r.rand.IntN(len(r.nodes))] }

// anyReady returns a random daemon that is ready, or nil.
func (r *randomRun) anyReady() *node {
	var ready []*node
	for _, n := range r.nodes {
		if n.daemon.Ready() == nil {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[r.rand.IntN(len(ready))]
}

// open opens a flow. There is no flow afterwards if no target received its SYN.
func (r *randomRun) open(port uint16) {
	n := r.anyReady()
	if n == nil {
		return
	}
	r.client.send(n, r.client.packetOf(port, 1, wireSYN, 100, 0, 0, 0))
	time.Sleep(10 * time.Millisecond)
	for _, t := range r.targets {
		for _, frame := range t.take() {
			if r.alive[t] && portOf(frame) == port {
				f := &randomFlow{target: t, tag: binary.BigEndian.Uint32(frame[8+tagOffset:]), seq: 101}
				r.flows[port] = f
				r.client.send(n, r.client.packetOf(port, 1, wireACK, f.seq, f.seq+300, f.tag, 0))
				time.Sleep(10 * time.Millisecond)
				t.take()
			}
		}
	}
}

func portOf(frame []byte) uint16 { return binary.BigEndian.Uint16(frame[8+4:]) }

// sendOnAll sends a packet of each flow through a random ready daemon and checks that it reaches the flow's target. The
// packet acknowledges new data of that target.
func (r *randomRun) sendOnAll() {
	if r.anyReady() == nil {
		return
	}
	for _, port := range slices.Sorted(maps.Keys(r.flows)) {
		f := r.flows[port]
		r.client.send(r.anyReady(), r.client.packetOf(port, 1, wireACK, f.seq, f.seq+400, f.tag, 10))
		f.seq += 10
	}
	time.Sleep(20 * time.Millisecond)
	reached := make(map[uint16]int)
	for _, t := range r.targets {
		for _, frame := range t.take() {
			f := r.flows[portOf(frame)]
			if f == nil {
				continue
			}
			So(t == f.target, ShouldBeTrue)
			reached[portOf(frame)]++
		}
	}
	for _, raw := range r.client.take() {
		port := binary.BigEndian.Uint16(raw[10:])
		if f := r.flows[port]; f != nil {
			So(r.alive[f.target], ShouldBeFalse)
			delete(r.flows, port)
		}
	}
	for port, f := range r.flows {
		if r.alive[f.target] {
			So(reached[port], ShouldEqual, 1)
		}
	}
}

// injectFault injects one random fault.
func (r *randomRun) injectFault() {
	switch r.rand.IntN(5) {
	case 0:
		n := r.anyNode()
		r.mu.Lock()
		n.suspended += time.Duration(1+r.rand.IntN(5)) * time.Second
		r.mu.Unlock()
	case 1:
		if len(r.nodes) > 2 {
			i := r.rand.IntN(len(r.nodes))
			r.nodes[i].stop()
			r.nodes = append(r.nodes[:i], r.nodes[i+1:]...)
		}
	case 2:
		if len(r.nodes) < 4 {
			r.startNode()
		}
	case 3:
		r.down = !r.down
		r.store.set(r.down, r.down && r.rand.IntN(2) == 0)
	case 4:
		t := r.targets[r.rand.IntN(len(r.targets))]
		if r.alive[t] && len(r.alive) > 5 {
			delete(r.alive, t)
			r.kill(t)
			r.store.put("servers/"+t.name, "")
		}
	}
}

func TestRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			run(t, func(ctx context.Context, f *fleet) {
				r := newRandomRun(ctx, f, seed, 8)
				port := uint16(2000)
				for range 150 {
					if r.rand.IntN(6) == 0 {
						r.injectFault()
					}
					port++
					r.open(port)
					r.sendOnAll()
					time.Sleep(time.Duration(r.rand.IntN(200)) * time.Millisecond)
				}
				So(len(r.flows), ShouldBeGreaterThan, 30)

				// Once all faults are over, every daemon places new flows.
				r.store.set(false, false)
				time.Sleep(8 * time.Second)
				for _, n := range r.nodes {
					So(n.daemon.Ready(), ShouldBeNil)
				}
				opened := 0
				for range 20 {
					port++
					r.open(port)
					if r.flows[port] != nil {
						opened++
					}
				}
				So(opened, ShouldEqual, 20)
				for t := range r.alive {
					_ = t.conn.Close()
				}
				_ = r.client.conn.Close()
			})
		})
	}
}

func TestRackFailure(t *testing.T) {
	run(t, func(ctx context.Context, f *fleet) {
		r := newRandomRun(ctx, f, 1, 12)
		r.nodes = r.nodes[:1] // one daemon gets all flows
		port := uint16(2000)
		for range 60 {
			port++
			r.open(port)
		}
		So(len(r.flows), ShouldEqual, 60)
		for range 3 {
			r.sendOnAll()
			time.Sleep(300 * time.Millisecond)
		}
		// Four of twelve targets fail. Flows of three of them retransmit; those of the fourth are idle.
		failed := r.targets[:4]
		for _, t := range failed {
			delete(r.alive, t)
			r.kill(t)
		}
		retransmitting := make(map[*target]uint16)
		for _, port := range slices.Sorted(maps.Keys(r.flows)) {
			if t := r.flows[port].target; slices.Contains(failed[:3], t) && retransmitting[t] == 0 {
				retransmitting[t] = port
			}
		}
		for range 4 {
			for _, t := range failed[:3] {
				f := r.flows[retransmitting[t]]
				r.client.send(r.nodes[0], r.client.packetOf(retransmitting[t], 1, wireACK, f.seq, f.seq+400, f.tag, 10))
			}
			for _, port := range slices.Sorted(maps.Keys(r.flows)) {
				if f := r.flows[port]; r.alive[f.target] {
					r.client.send(r.nodes[0], r.client.packetOf(port, 1, wireACK, f.seq, f.seq+400, f.tag, 10))
					f.seq += 10
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
		reset := make(map[*target]int)
		for _, raw := range r.client.take() {
			f := r.flows[binary.BigEndian.Uint16(raw[10:])]
			So(r.alive[f.target], ShouldBeFalse)
			reset[f.target]++
		}
		for _, t := range failed {
			So(reset[t], ShouldBeGreaterThan, 0)
		}
		for t := range r.alive {
			_ = t.conn.Close()
		}
		_ = r.client.conn.Close()
	})
}
