package listsource

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

var (
	epoch     = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	errDown   = errors.New("connection refused")
	errBudget = errors.New("over budget")
)

// timedEvent is an event at a point of the fleet's virtual time.
type timedEvent struct {
	at  time.Time
	seq int
	do  func()
}

type timeline []timedEvent

func (t timeline) Len() int      { return len(t) }
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t timeline) Less(i, j int) bool {
	return cmp.Or(t[i].at.Compare(t[j].at), cmp.Compare(t[i].seq, t[j].seq)) < 0
}
func (t *timeline) Push(x any) { *t = append(*t, x.(timedEvent)) }
func (t *timeline) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// fakePlatform publishes lists in virtual time.
type fakePlatform struct {
	docs      [3][][]byte // all published documents, by lists.Kind; revision i is at index i-1
	down      bool
	lagging   float64       // share of reads and watches answered by a replica that lags one revision behind
	delay     time.Duration // added to the delay of every response
	truncated float64       // share of reads whose document is silently truncated to half its length
	budget    *rate.Limiter
	calls     map[int64]int // number of calls by second
	denied    int
	watches   []*openWatch
}

func (p *fakePlatform) revision(kind lists.Kind, lag int) uint64 {
	n := len(p.docs[kind])
	return uint64(max(n-lag, min(n, 1)))
}

// fleet simulates readers, a platform and heartbeats in virtual time.
type fleet struct {
	now      time.Time
	events   timeline
	seq      int
	rng      *rand.Rand
	platform fakePlatform
	nodes    []*node
	// heartbeats is the number of random peers that receive a node's digest each second; 0 for none.
	heartbeats int
	// partitionSide returns the side of a network partition that a node is on; nil for no partition.
	partitionSide func(node int) int
	// withoutPlatform reports whether a node is disconnected from the platform; nil if all are connected.
	withoutPlatform func(node int) bool
	// peerBytes is the total size of the lists that peers sent to each other.
	peerBytes int
}

// node is the reader of one daemon with the history of its active lists.
type node struct {
	f                   *fleet
	id                  int
	bulk                netip.AddrPort
	reader              *Reader
	tick                time.Time
	stopped             bool
	calls               int
	history             []activation
	rejected            []Rejected
	waiting             int
	reachabilityChanges []bool
	startedOutdated     bool // the first active lists were older than the revisions that a peer had reported
}

type activation struct {
	at        time.Time
	revisions model.Revisions
	snapshot  *model.Snapshot
}

func newFleet(seed uint64, size int) *fleet {
	f := &fleet{now: epoch, rng: rand.New(rand.NewPCG(seed, 1))}
	f.platform.budget = rate.NewLimiter(2000, 2000)
	f.platform.calls = make(map[int64]int)
	for i := range size {
		f.nodes = append(f.nodes, &node{f: f, id: i, bulk: bulkOf(i)})
	}
	return f
}

func bulkOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7003)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, timedEvent{at: f.now.Add(d), seq: f.seq, do: do})
}

// run processes the events of the next d of virtual time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(timedEvent)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// latency returns a random one-way latency between two machines.
func (f *fleet) latency() time.Duration {
	return time.Millisecond + time.Duration(f.rng.Int64N(int64(4*time.Millisecond)))
}

func (f *fleet) start(change func(*Config)) {
	for _, n := range f.nodes {
		n.start(change)
	}
}

func (n *node) start(change func(*Config)) {
	cfg := Config{UsePlatform: true, Self: n.bulk, Rand: rand.New(rand.NewPCG(n.f.rng.Uint64(), 2))}
	if change != nil {
		change(&cfg)
	}
	n.reader = New(cfg)
	n.stopped = false
	n.perform(n.reader.Start(n.f.now))
	n.f.after(time.Duration(n.f.rng.Int64N(int64(time.Second))), func() { n.heartbeat(n.reader) })
}

// heartbeat sends the node's digest to random peers each second while of is the node's reader.
func (n *node) heartbeat(of *Reader) {
	if n.stopped || n.reader != of || n.f.heartbeats == 0 {
		return
	}
	for range n.f.heartbeats {
		peer := n.f.nodes[n.f.rng.IntN(len(n.f.nodes))]
		digest := n.reader.Digest()
		n.f.after(n.f.latency(), func() {
			if peer.reachable(n) {
				peer.perform(peer.reader.HandleDigest(n.f.now, n.bulk, DigestOf(digest.Revisions())))
			}
		})
	}
	n.f.after(time.Second, func() { n.heartbeat(of) })
}

func (n *node) reachable(from *node) bool {
	if n.stopped || n.reader == nil || n == from {
		return false
	}
	return n.f.partitionSide == nil || n.f.partitionSide(n.id) == n.f.partitionSide(from.id)
}

func (n *node) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Fetch:
			n.fetch(a.Kind)
		case Watch:
			n.watch(n.reader, a.After, a.Wait)
		case RequestDigest:
			n.requestDigest(a.Peer)
		case RequestBody:
			n.requestBody(a)
		case Apply:
			if len(n.history) == 0 && !a.Snapshot.Revisions.Covers(n.reader.Status().HighestReported) {
				n.startedOutdated = true
			}
			n.history = append(n.history, activation{n.f.now, a.Snapshot.Revisions, a.Snapshot})
		case Rejected:
			n.rejected = append(n.rejected, a)
		case Waiting:
			n.waiting++
		case Reachability:
			n.reachabilityChanges = append(n.reachabilityChanges, a.Reachable)
		}
	}
	n.arm()
}

func (n *node) arm() {
	next, ok := n.reader.NextTick()
	if !ok || n.tick.After(n.f.now) && !next.Before(n.tick) {
		return
	}
	n.tick = next
	reader := n.reader
	n.f.after(max(next.Sub(n.f.now), 0), func() {
		if n.reader == reader && !n.stopped {
			n.tick = time.Time{}
			n.perform(reader.Tick(n.f.now))
		}
	})
}

// admit counts a call to the platform. It returns an error if the platform is unreachable or the call
// exceeds the platform's budget.
func (n *node) admit() error {
	p := &n.f.platform
	n.calls++
	p.calls[n.f.now.Unix()]++
	if n.platformUnreachable() {
		return errDown
	}
	if !p.budget.AllowN(n.f.now, 1) {
		p.denied++
		return errBudget
	}
	return nil
}

// platformUnreachable reports whether the platform is unreachable for the node.
func (n *node) platformUnreachable() bool {
	return n.f.platform.down || n.f.withoutPlatform != nil && n.f.withoutPlatform(n.id)
}

// respond delivers a response to the node's reader after the round trip time and the platform's delay.
func (n *node) respond(event func(r *Reader) []Action) {
	reader := n.reader
	n.f.after(2*n.f.latency()+n.f.platform.delay, func() {
		if n.reader == reader && !n.stopped {
			n.perform(event(reader))
		}
	})
}

func (n *node) fail(err error) {
	f := Failure{Err: err}
	if errors.Is(err, errBudget) {
		f.RetryAfter = time.Second
	}
	n.respond(func(r *Reader) []Action { return r.HandleFailure(n.f.now, f) })
}

func (n *node) fetch(kind lists.Kind) {
	if err := n.admit(); err != nil {
		n.fail(err)
		return
	}
	p := &n.f.platform
	revision := p.revision(kind, n.lag())
	if revision == 0 {
		n.respond(func(r *Reader) []Action { return r.HandleFailure(n.f.now, Failure{Absent: true}) })
		return
	}
	body := p.docs[kind][revision-1]
	if n.f.rng.Float64() < p.truncated {
		body = body[:len(body)/2]
	}
	n.respond(func(r *Reader) []Action { return r.HandleList(n.f.now, kind, revision, body) })
}

func (n *node) lag() int {
	if n.f.rng.Float64() < n.f.platform.lagging {
		return 1
	}
	return 0
}

// openWatch is an open watch at the platform.
type openWatch struct {
	node   *node
	reader *Reader
	after  model.Revisions
	done   bool
}

func (n *node) watch(of *Reader, after model.Revisions, wait time.Duration) {
	if err := n.admit(); err != nil {
		n.fail(err)
		return
	}
	w := &openWatch{node: n, reader: of, after: after}
	n.f.after(wait, func() { w.check(true) })
	n.f.platform.watches = append(n.f.platform.watches, w)
	w.check(false)
}

// check completes a watch if there is a newer revision, the platform is down or the wait has expired.
func (w *openWatch) check(expired bool) {
	n, p := w.node, &w.node.f.platform
	if w.done || n.reader != w.reader || n.stopped {
		w.done = true
		return
	}
	var now Digest
	lag := n.lag()
	for _, kind := range lists.Kinds() {
		now[kind].Revision = p.revision(kind, lag)
	}
	switch {
	case n.platformUnreachable():
		w.done = true
		n.fail(errDown)
	case expired || !w.after.Covers(now.Revisions()):
		w.done = true
		n.respond(func(r *Reader) []Action { return r.HandleWatch(n.f.now, now.Revisions()) })
	}
}

// checkWatches checks every open watch after a change of the platform.
func (f *fleet) checkWatches() {
	watches := f.platform.watches
	f.platform.watches = nil
	for _, w := range watches {
		w.check(false)
		if !w.done {
			f.platform.watches = append(f.platform.watches, w)
		}
	}
}

// setDown makes the platform fail all calls, or recover.
func (f *fleet) setDown(down bool) {
	f.platform.down = down
	f.checkWatches()
}

func (n *node) peer(bulk netip.AddrPort) *node {
	b := bulk.Addr().As4()
	id := int(b[2])<<8 | int(b[3])
	if id >= len(n.f.nodes) || !n.f.nodes[id].reachable(n) {
		return nil
	}
	return n.f.nodes[id]
}

func (n *node) requestDigest(bulk netip.AddrPort) {
	peer := n.peer(bulk)
	n.respond(func(r *Reader) []Action {
		if peer == nil {
			return r.HandlePeerFailure(n.f.now, bulk, false)
		}
		return r.HandleDigest(n.f.now, bulk, peer.reader.Digest())
	})
}

func (n *node) requestBody(a RequestBody) {
	peer := n.peer(a.Peer)
	n.respond(func(r *Reader) []Action {
		if peer == nil || peer.reader.Document(a.Kind) == nil {
			return r.HandlePeerFailure(n.f.now, a.Peer, true)
		}
		d := peer.reader.Document(a.Kind)
		n.f.peerBytes += len(d.Body)
		return r.HandleBody(n.f.now, a.Peer, a.Kind, d.Version, d.Body)
	})
}

// active returns the revisions of a node's active lists.
func (n *node) active() model.Revisions {
	if len(n.history) == 0 {
		return model.Revisions{}
	}
	return n.history[len(n.history)-1].revisions
}

// publish publishes a new revision of a list and returns its number.
func (f *fleet) publish(kind lists.Kind, text string) uint64 {
	revision := len(f.platform.docs[kind]) + 1
	body := fmt.Sprintf("kind: %s\nrevision: %d\n%s", kind, revision, text)
	f.platform.docs[kind] = append(f.platform.docs[kind], []byte(body))
	f.checkWatches()
	return uint64(revision)
}

// listedNodes is the maximum number of nodes in the list of machines. Tests with more nodes reduce
// FleetCallsPerSecond accordingly, so that each of 600 readers does not have to parse 600 entry VMs.
const listedNodes = 8

// publishAll publishes the first revision of all lists. The first listedNodes nodes are entry VMs.
func (f *fleet) publishAll() {
	f.publish(lists.KindCustomers, customersText("gold"))
	f.publish(lists.KindPlans, plansText("gold"))
	f.publish(lists.KindMachines, f.machinesText())
}

func customersText(plan string) string {
	return fmt.Sprintf("customers:\n  - {name: quinta, plan: %s, prefixes: [192.0.2.0/24]}\n", plan)
}

func plansText(plans ...string) string {
	var b strings.Builder
	b.WriteString("services:\n  - {name: booking, addresses: [\"198.51.100.1:443\"]}\nplans:\n")
	for _, p := range plans {
		fmt.Fprintf(&b, "  - {name: %s, services: [booking]}\n", p)
	}
	return b.String()
}

func (f *fleet) machinesText() string {
	var b strings.Builder
	b.WriteString("endpoints: []\nentries:\n")
	for i := range min(len(f.nodes), listedNodes) {
		a := bulkOf(i).Addr()
		fmt.Fprintf(&b, "  - {name: entry-%d, region: r, zone: a, data: \"%s:7001\", peer: \"%s:7002\", bulk: \"%s:7003\"}\n", i, a, a, a)
	}
	return b.String()
}
