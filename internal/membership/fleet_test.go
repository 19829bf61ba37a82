package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

const (
	tickInterval = 100 * time.Millisecond
	// ipUDPBytes is the size of the IPv4 and UDP headers of a datagram.
	ipUDPBytes = 28
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet simulates many Lists in virtual time over links that delay datagrams, lose them or are cut.
type fleet struct {
	tb        testing.TB
	now       time.Time
	rand      *rand.Rand
	entries   []*model.EntryVM
	nodes     []*node
	inFlight  []delivery
	cut       func(from, to *node) bool
	loss      float64
	delay     time.Duration
	datagrams int
	bytes     int
	// watch is called for each action of any node.
	watch func(n *node, a Action)
}

// node is a machine with its List.
type node struct {
	entry      *model.EntryVM
	list       *List
	tickOffset time.Duration
	nextTick   time.Time
	running    bool
	paused     bool
	autoReady  bool
	inbox      []delivery
	sentBytes  int
}

// delivery is a heartbeat in flight.
type delivery struct {
	at          time.Time
	from, to    *node
	incarnation uint64
	body        []byte
}

// testEntries returns perZone entry VMs in each of the given number of zones.
func testEntries(zones, perZone int) []*model.EntryVM {
	var out []*model.EntryVM
	for z := range zones {
		for i := range perZone {
			name := fmt.Sprintf("entry-%d-%d", z, i)
			zone := model.Zone{Region: fmt.Sprintf("region-%d", z/4), Name: fmt.Sprintf("zone-%d", z)}
			out = append(out, &model.EntryVM{ID: model.MachineIDOf(name), Name: name, Zone: zone})
		}
	}
	return out
}

// newFleet returns a fleet whose machines have all just started.
func newFleet(tb testing.TB, seed uint64, zones, perZone int) *fleet {
	f := &fleet{
		tb: tb, now: testStart, rand: rand.New(rand.NewPCG(seed, 1)), entries: testEntries(zones, perZone),
		delay: 2 * time.Millisecond,
		cut:   func(*node, *node) bool { return false },
		watch: func(*node, Action) {},
	}
	for _, e := range f.entries {
		f.nodes = append(f.nodes, &node{entry: e, tickOffset: time.Duration(f.rand.Int64N(int64(tickInterval)))})
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

// start starts a new process on a node.
func (f *fleet) start(n *node) {
	n.list = New(Config{
		Self: n.entry.ID, Zone: n.entry.Zone, Incarnation: wire.NewIncarnation(f.now),
		Rand: rand.New(rand.NewPCG(f.rand.Uint64(), 2)),
	})
	n.running, n.paused, n.autoReady = true, false, true
	n.inbox = nil
	n.nextTick = f.now.Add(n.tickOffset)
	f.perform(n, n.list.SetPublished(f.now, f.entries))
}

func (f *fleet) crash(n *node) {
	n.running = false
}

// resume ends a pause. Heartbeats that arrived during it are handled before the next tick, as by a process that first
// drains its sockets.
func (f *fleet) resume(n *node) {
	n.paused = false
	waiting := n.inbox
	n.inbox = nil
	for _, d := range waiting {
		f.deliver(d)
	}
	n.nextTick = f.now
}

// run advances virtual time by d.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.now.Before(end) {
		f.now = f.now.Add(time.Millisecond)
		f.deliverDue()
		for _, n := range f.nodes {
			if n.running && !n.paused && !f.now.Before(n.nextTick) {
				n.nextTick = n.nextTick.Add(tickInterval)
				f.perform(n, n.list.Tick(f.now))
			}
		}
	}
}

func (f *fleet) deliverDue() {
	due := 0
	for due < len(f.inFlight) && !f.inFlight[due].at.After(f.now) {
		due++
	}
	now := slices.Clone(f.inFlight[:due])
	f.inFlight = slices.Delete(f.inFlight, 0, due)
	for _, d := range now {
		f.deliver(d)
	}
}

func (f *fleet) deliver(d delivery) {
	switch {
	case !d.to.running:
		return
	case d.to.paused:
		d.to.inbox = append(d.to.inbox, d)
		return
	}
	var hb wire.Heartbeat
	if kind := hb.Decode(d.body); kind != errkind.None {
		f.tb.Fatalf("decode heartbeat: %v", kind)
	}
	f.perform(d.to, d.to.list.HandleHeartbeat(f.now, Heartbeat{From: d.from.entry.ID, Incarnation: d.incarnation, Message: &hb}))
}

func (f *fleet) perform(n *node, actions []Action) {
	for _, a := range actions {
		f.watch(n, a)
		switch a := a.(type) {
		case SendHeartbeat:
			f.send(n, a)
		case SelfJoined:
			if n.autoReady {
				f.perform(n, n.list.SetReady(f.now, true))
			}
		}
	}
}

func (f *fleet) send(n *node, a SendHeartbeat) {
	body := a.Heartbeat.AppendTo(nil)
	for _, e := range a.To {
		to := f.node(e.ID)
		f.datagrams++
		f.bytes += len(body) + wire.Overhead + ipUDPBytes
		n.sentBytes += len(body) + wire.Overhead + ipUDPBytes
		if f.cut(n, to) || (f.loss > 0 && f.rand.Float64() < f.loss) {
			continue
		}
		f.inFlight = append(f.inFlight, delivery{at: f.now.Add(f.delay), from: n, to: to, incarnation: n.list.self.incarnation, body: body})
	}
}

func (f *fleet) node(id model.MachineID) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.entry.ID == id })
	return f.nodes[i]
}

// owners returns the ids of the owners in a node's view, sorted.
func (n *node) owners() []model.MachineID {
	var ids []model.MachineID
	for _, m := range n.list.View().Members() {
		if m.Owner {
			ids = append(ids, m.Entry.ID)
		}
	}
	return ids
}

func ids(nodes ...*node) []model.MachineID {
	out := make([]model.MachineID, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, n.entry.ID)
	}
	slices.SortFunc(out, func(a, b model.MachineID) int { return cmp.Compare(a, b) })
	return out
}

// findDisagreement returns the first running node whose view has other owners than want, or nil.
func (f *fleet) findDisagreement(want []model.MachineID) *node {
	for _, n := range f.nodes {
		if n.running && !n.paused && !slices.Equal(n.owners(), want) {
			return n
		}
	}
	return nil
}

func (f *fleet) runningIDs() []model.MachineID {
	var up []*node
	for _, n := range f.nodes {
		if n.running && !n.paused {
			up = append(up, n)
		}
	}
	return ids(up...)
}
