package tags

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// simConfig describes a simulated site and its faults.
type simConfig struct {
	seed uint64
	// strict makes callers return the tag of the latest answer to their SYN, from whichever target. Otherwise they
	// return only the tag of the target whose answer came first.
	strict bool
	// reuse lets callers reuse a port after its flow has ended.
	reuse bool
	// bulk makes flows long and answers so large that a few of them exceed the callers' window for resets.
	bulk bool
	// lateSYNs lets some SYNs be under way for a long time.
	lateSYNs bool
	// loss is the packet loss rate, per direction.
	loss float64
	// targets are the numbers of targets in the two zones.
	targets [2]int
	faults  []simFault
	length  time.Duration
}

const (
	simDaemonsPerZone = 3
	// simFlowInterval is the mean time between new flows of a zone.
	simFlowInterval = 50 * time.Millisecond
)

var simZones = [2]string{"a", "b"}

// sim is a simulated site in virtual time. Its run is determined by its simConfig alone.
type sim struct {
	cfg    simConfig
	rand   *rand.Rand
	site   *tagSite
	at     time.Duration
	queue  simQueue
	events int

	daemons []*simDaemon
	targets map[model.TargetID]*simTarget
	order   []*simTarget
	cut     simCut
	lists   *model.Snapshot
	version int

	// ports holds the latest flow of each caller address, free the addresses that may be reused, by zone.
	ports      map[netip.AddrPort]*simFlow
	free       map[string][]netip.AddrPort
	violations []simViolation
	counts     simCounts
}

// simCounts shows whether a run exercised what it is meant to.
type simCounts struct {
	flows, opened, requests, answered int
	repeated, learned, absent         int
	// idleResets counts resets without a packet of the caller.
	idleResets int
	// placedDuplicates counts duplicate SYNs that were placed like first ones.
	placedDuplicates int
	// offered counts the flows that a target was offered, unknownDuplicates the duplicate SYNs that were dropped at daemons
	// which do not know the first one.
	offered, unknownDuplicates int
}

func newSim(cfg simConfig) *sim {
	w := &sim{
		cfg:     cfg,
		rand:    rand.New(rand.NewPCG(cfg.seed, 0)),
		site:    newTagSite(0),
		targets: make(map[model.TargetID]*simTarget),
		ports:   make(map[netip.AddrPort]*simFlow),
		free:    make(map[string][]netip.AddrPort),
	}
	for z, n := range cfg.targets {
		for range n {
			w.addTarget(simZones[z])
		}
	}
	w.lists = w.site.directory.Snapshot(w.now())
	for _, zone := range simZones {
		for range simDaemonsPerZone {
			w.addDaemon(zone)
		}
		w.keepOpeningFlows(zone)
	}
	for _, f := range cfg.faults {
		w.after(f.at, func() { w.apply(f) })
	}
	return w
}

// run advances the simulation to the configured length, or to the first violation of one of the given rules.
func (w *sim) run(until ...simRule) *sim {
	for len(w.queue) > 0 && w.queue[0].at <= w.cfg.length && w.first(until...) == nil {
		e := heap.Pop(&w.queue).(simEvent)
		w.at = e.at
		e.do()
	}
	return w
}

func (w *sim) now() time.Time { return w.site.now.Add(w.at) }

// after schedules do after a delay.
func (w *sim) after(d time.Duration, do func()) {
	w.events++
	heap.Push(&w.queue, simEvent{at: w.at + d, n: w.events, do: do})
}

// between returns a random duration between low and high, inclusive.
func (w *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rand.Int64N(int64(high-low)+1))
}

func (w *sim) chance(p float64) bool { return w.rand.Float64() < p }

// delay returns a packet's random transit time. It is similar for most packets, but sometimes longer, so that later
// packets overtake the delayed ones.
func (w *sim) delay(far bool) time.Duration {
	low, high := 100*time.Microsecond, time.Millisecond
	if far {
		low, high = time.Millisecond, 3*time.Millisecond
	}
	if w.chance(0.05) {
		high = 7 * time.Millisecond
	}
	return w.between(low, high)
}

// deliver delivers a packet from one zone to another, or drops it.
func (w *sim) deliver(from, to string, arrive func()) {
	if w.cut.separates(from, to) || w.chance(w.cfg.loss) {
		return
	}
	w.after(w.delay(from != to), arrive)
}

// route returns the daemon that the routers choose for a flow, by a consistent hash over the zone's daemons in
// rotation. If fewer than half are in rotation, all of them are used.
func (w *sim) route(f *simFlow) *simDaemon {
	inRotation := 0
	for _, d := range w.daemons {
		if d.zone == f.zone && d.isInRotation() {
			inRotation++
		}
	}
	var best *simDaemon
	var bestDraw uint64
	for _, d := range w.daemons {
		if d.zone != f.zone || 2*inRotation >= simDaemonsPerZone && !d.isInRotation() {
			continue
		}
		draw := uint64((packet.FlowKey{Caller: f.src, Service: d.address}).Hash())
		if best == nil || draw > bestDraw {
			best, bestDraw = d, draw
		}
	}
	return best
}

// publish sends the registered targets to the daemons, to each after its own random delay.
func (w *sim) publish() {
	w.version++
	version := w.version
	w.lists = w.site.directory.Snapshot(w.now())
	lists := w.lists
	for _, d := range w.daemons {
		w.after(w.between(20*time.Millisecond, 150*time.Millisecond), func() {
			d.whenRunning(func() { d.applyLists(version, lists) })
		})
	}
}

func (w *sim) register(r directory.Registration) {
	w.site.directory.Register(w.now(), r)
	w.publish()
}

// deregister ends a target's registration. It publishes again after the time for which the lists still offer an
// expired target as a last resort.
func (w *sim) deregister(name string) {
	const expiry = 2501 * time.Millisecond
	w.site.directory.EndRegistration(w.now(), name)
	w.publish()
	w.after(expiry, w.publish)
}

// simEvent is a scheduled event; n orders events of the same time.
type simEvent struct {
	at time.Duration
	n  int
	do func()
}

// simQueue is a heap of events, ordered by time.
type simQueue []simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q *simQueue) Push(e any) { *q = append(*q, e.(simEvent)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simCut tells whether the two zones are cut off from each other.
type simCut struct {
	active bool
	// endedAt is when the last cut ended.
	endedAt time.Duration
}

func (c simCut) separates(a, b string) bool { return c.active && a != b }

// simPacket is a packet from a caller.
type simPacket struct {
	flow *simFlow
	meta packet.Meta
	tag  uint32
}

// simAnswer is a packet to a caller.
type simAnswer struct {
	// from is the target that sent it and instance that target's instance number. For a packet of a daemon, from is
	// nil and daemon is the daemon's name.
	from     *simTarget
	instance int
	daemon   string
	// onBehalfOf is the target on whose behalf a daemon resets; nil if the daemon refuses a SYN.
	onBehalfOf *simTarget
	meta       packet.Meta
	tag        uint32
}

func (a *simAnswer) sender() string {
	if a.from == nil {
		return "daemon " + a.daemon
	}
	return fmt.Sprintf("target %s instance %d", a.from.name, a.instance)
}
