package edge_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/edge"
	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/internal/udpio"
)

// refusingStore is the store for one daemon, which it turns away at times.
type refusingStore struct {
	*store
	refuses func() bool
}

func (s refusingStore) ReadAll(ctx context.Context, stale bool, handleTargets func([]news.Item)) ([]news.Item, news.Position, error) {
	if s.refuses() {
		return nil, news.Position{}, errDown
	}
	return s.store.ReadAll(ctx, stale, handleTargets)
}

func (s refusingStore) Watch(ctx context.Context, after uint64, wait time.Duration) ([]news.Item, news.Position, error) {
	if s.refuses() {
		return nil, news.Position{}, errDown
	}
	return s.store.Watch(ctx, after, wait)
}

// sockets opens the sockets of one process and closes them when it is killed.
type sockets struct {
	udpio.Network
	open []udpio.Conn
}

func (s *sockets) Listen(addr netip.AddrPort) (udpio.Conn, error) {
	c, err := s.Network.Listen(addr)
	if err == nil {
		s.open = append(s.open, c)
	}
	return c, err
}

func (s *sockets) close() {
	for _, c := range s.open {
		_ = c.Close()
	}
}

// offerRun lets callers send SYNs and their copies, each to a random daemon and after a random delay, while daemons are killed,
// pause, and are turned away by the store.
type offerRun struct {
	*fleet
	ctx     context.Context
	rand    *rand.Rand
	client  *client
	targets []*target
	// nodes are the daemons by number, nil while one is down.
	nodes   []*node
	sockets []*sockets
	// ended are the processes that were killed.
	ended []*node
	// turnedAway holds the daemons that the store turns away.
	turnedAway map[int]bool
	// events are what happens later, in any order.
	events []offerEvent
	// sentTo is the number of SYNs that each target has received of a flow.
	sentTo map[uint16]map[*target]int
}

type offerEvent struct {
	at time.Time
	do func()
}

// after lets something happen after a delay.
func (r *offerRun) after(d time.Duration, do func()) {
	r.events = append(r.events, offerEvent{time.Now().Add(d), do})
}

// sleep waits, and lets happen what is due meanwhile.
func (r *offerRun) sleep(d time.Duration) {
	until := time.Now().Add(d)
	for {
		next := -1
		for i, e := range r.events {
			if !e.at.After(until) && (next < 0 || e.at.Before(r.events[next].at)) {
				next = i
			}
		}
		if next < 0 {
			time.Sleep(time.Until(until))
			return
		}
		e := r.events[next]
		r.events = slices.Delete(r.events, next, next+1)
		time.Sleep(time.Until(e.at))
		e.do()
	}
}

const (
	offerDaemons = 3
	offerTargets = 6
)

func newOfferRun(ctx context.Context, f *fleet, seed uint64) *offerRun {
	r := &offerRun{fleet: f, ctx: ctx, rand: rand.New(rand.NewPCG(seed, 0)), turnedAway: make(map[int]bool), sentTo: make(map[uint16]map[*target]int)}
	r.client = f.client()
	r.nodes, r.sockets = make([]*node, offerDaemons), make([]*sockets, offerDaemons)
	for i := range offerTargets {
		r.targets = append(r.targets, f.target(1+i))
	}
	f.storeOf = func(i int) edge.Store {
		return refusingStore{f.store, func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return r.turnedAway[i]
		}}
	}
	for i := range offerDaemons {
		r.startNode(i)
	}
	time.Sleep(2 * time.Second)
	return r
}

func (r *offerRun) startNode(i int) {
	if r.nodes[i] != nil {
		return
	}
	r.sockets[i] = &sockets{Network: r.network}
	r.networkOf = func(int) udpio.Network { return r.sockets[i] }
	r.nodes[i] = r.start(r.ctx, i+1)
}

// killNode ends a process: its sockets are closed at once, with all that waits in them.
func (r *offerRun) killNode(i int) {
	if n := r.nodes[i]; n != nil {
		r.sockets[i].close()
		n.stop()
		r.ended = append(r.ended, n)
		r.nodes[i] = nil
	}
}

// pause lets packets wait in a daemon's sockets for a time, after which its clock shows a suspension or nothing.
func (r *offerRun) pause(i int, span time.Duration, suspended bool) {
	n := r.nodes[i]
	if n == nil {
		return
	}
	r.network.Pause(n.data)
	r.network.Pause(n.peer)
	r.after(span, func() {
		r.network.Resume(n.data)
		r.network.Resume(n.peer)
		if suspended {
			r.mu.Lock()
			n.suspended += span
			r.mu.Unlock()
		}
	})
}

func (r *offerRun) setTurnedAway(i int, away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turnedAway[i+1] = away
}

// injectFault injects one random fault.
func (r *offerRun) injectFault() {
	i := r.rand.IntN(offerDaemons)
	span := time.Duration(r.rand.IntN(1500)) * time.Millisecond
	switch r.rand.IntN(6) {
	case 0: // all daemons are killed and return at times of their own, and the store may turn one or two away
		for j := range r.rand.IntN(offerDaemons) {
			away := (i + j) % offerDaemons
			r.setTurnedAway(away, true)
			r.after(span, func() { r.setTurnedAway(away, false) })
		}
		for j := range offerDaemons {
			r.killNode(j)
			r.after(time.Duration(r.rand.IntN(700))*time.Millisecond, func() { r.startNode(j) })
		}
	case 1:
		r.killNode(i)
		r.after(span, func() { r.startNode(i) })
	case 2, 3:
		r.pause(i, span, r.rand.IntN(2) == 0)
	case 4:
		r.store.mu.Lock()
		r.store.configDelay = span / 3
		r.store.mu.Unlock()
	case 5: // all links lose packets, so that daemons do not hear each other
		r.network.SetLink("", "", udpio.Link{Loss: 0.3})
		r.after(span, func() { r.network.SetLink("", "", udpio.Link{}) })
	}
}

// openFlow sends a flow's SYN and its copies. No target answers.
func (r *offerRun) openFlow(port uint16) {
	for copies, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		to := r.rand.IntN(offerDaemons)
		if copies > 0 && r.rand.IntN(4) == 0 {
			at += time.Duration(r.rand.IntN(700)) * time.Millisecond
		}
		r.after(at, func() {
			if n := r.nodes[to]; n != nil {
				r.client.send(n, r.client.packetOf(port, 1, wireSYN, 100, uint32(copies), 0, 0))
			}
		})
	}
}

// count counts the SYNs that targets have received.
func (r *offerRun) count() {
	for _, t := range r.targets {
		for _, frame := range t.take() {
			port := portOf(frame)
			if r.sentTo[port] == nil {
				r.sentTo[port] = make(map[*target]int)
			}
			r.sentTo[port][t]++
		}
	}
}

// play opens flows beside random faults. It returns how many flows one target was offered, and names those that several were.
func (r *offerRun) play(flows int) (one int, more []string) {
	for i := range flows {
		r.openFlow(uint16(2000 + i))
		if r.rand.IntN(40) == 0 {
			r.injectFault()
		}
		r.sleep(time.Duration(r.rand.IntN(20)) * time.Millisecond)
	}
	r.sleep(5 * time.Second)
	r.count()
	for _, port := range slices.Sorted(maps.Keys(r.sentTo)) {
		if n := len(r.sentTo[port]); n > 1 {
			more = append(more, fmt.Sprintf("%d: %d targets", port, n))
		} else {
			one++
		}
	}
	return one, more
}

// TestFlowIsOfferedToOneTarget guards against a flow whose SYN and copies reach two targets, because two daemons place
// them: both targets answer, and one of them resets the flow that is open at the other.
func TestFlowIsOfferedToOneTarget(t *testing.T) {
	const flows = 800
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			run(t, func(ctx context.Context, f *fleet) {
				r := newOfferRun(ctx, f, seed)
				one, more := r.play(flows)
				for i := range offerDaemons {
					r.killNode(i)
				}
				for _, n := range r.ended {
					n.done <- <-n.done // the last process of each address is also waited for at the end of the run
				}
				for _, t := range r.targets {
					_ = t.conn.Close()
				}
				_ = r.client.conn.Close()
				So(more, ShouldBeEmpty)
				So(one, ShouldBeGreaterThan, flows/4) // the rest met daemons that were down
			})
		})
	}
}
