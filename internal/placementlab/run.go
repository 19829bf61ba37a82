package placementlab

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/health"
	"github.com/fireflypin/fireflypin/internal/retry"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

const (
	// step is the time step of the simulation.
	step = 100 * time.Millisecond
	// handshakeTime is the handshake time of a responsive target.
	handshakeTime = time.Millisecond
	// attemptTimeout is the time after which an owner gives up on an unanswered connection attempt.
	attemptTimeout = 700 * time.Millisecond
	// coldSpeed is the processing speed of a cold target relative to the normal speed.
	coldSpeed = 0.25
	// ramp is the published ramp time of the service, during which a new target is cold.
	ramp = 30 * time.Second
	// reconnectSteps is the number of time steps (10 s) over which the flows of a failed zone reconnect.
	reconnectSteps = float64(10 * time.Second / step)
	// closingTimeout is how long owners still count the flows of a failed target. It corresponds to the closing
	// timeout of the flow table.
	closingTimeout = time.Minute
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// owner is one daemon, which owns a part of the flows.
type owner struct {
	id      model.MachineID
	zone    string
	failed  bool
	loads   *placement.LoadTable
	monitor *health.Monitor
	policy  placement.Policy
	budget  *retry.Budget
}

// backend is the actual state of one target.
type backend struct {
	target *model.Target
	// present is false before the target joins and after its zone fails.
	present      bool
	unresponsive bool
	coldUntil    time.Time
	open         int
	// rate is the sum of the request rates of its flows, in requests per second. backlog is the slot time of
	// waiting requests, offered the slot time of all requests since the last sample, both in seconds.
	rate    float64
	backlog float64
	offered float64
	// attempts counts connection attempts in the current second.
	attempts int
}

// flowEnd is the scheduled end of a flow.
type flowEnd struct {
	at      time.Time
	owner   *owner
	backend *backend
	rate    float64
	// exception is true if the flow's target is not its default target.
	exception bool
}

type endHeap []flowEnd

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(flowEnd)) }
func (h *endHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// newFlow is an arriving flow.
type newFlow struct {
	hash     model.FlowHash
	lifetime time.Duration
	rate     float64
}

// pendingAttempt is a connection attempt that times out at a given time. tried lists all targets tried so far.
type pendingAttempt struct {
	at    time.Time
	owner *owner
	flow  newFlow
	tried []model.TargetID
}

// heartbeat is a heartbeat in transit between owners; at is its arrival time. body is its health section,
// which contains the sender's probe results.
type heartbeat struct {
	at   time.Time
	from *owner
	body []byte
}

// run is the state of one simulation run.
type run struct {
	sc        Scenario
	candidate Candidate
	// flowRand generates flows and serveRand requests. They are separate so that every policy gets the same
	// flows.
	flowRand, serveRand *rand.Rand
	now                 time.Time
	faultAt             time.Time
	services            []*model.Service
	table               *placement.ServiceTable
	owners              []*owner
	backends            map[model.TargetID]*backend
	backendOrder        []*backend
	ends                endHeap
	// closing holds the flows of failed targets that their owners still count.
	closing         []flowEnd
	pendingAttempts []pendingAttempt
	heartbeats      []heartbeat
	reconnecting    float64
	exception       int
	open            int

	result            Result
	flows             loadRatios
	slots             loadRatios
	exceptionShareSum float64
	samples           int
	waits             []float64
	attempts          int
}

// Run simulates one scenario with one policy.
func Run(sc Scenario, c Candidate) Result {
	r := &run{
		sc: sc, candidate: c, now: epoch, faultAt: epoch.Add(sc.Warmup),
		flowRand:  rand.New(rand.NewPCG(sc.Seed, 11)),
		serveRand: rand.New(rand.NewPCG(sc.Seed, 12)),
		backends:  make(map[model.TargetID]*backend),
		result: Result{
			Workload: sc.Workload.Name, Fault: sc.Fault, Policy: c.Name, Seed: sc.Seed,
			Refused: make(map[string]int), AvoidedAfter: -1,
		},
	}
	r.build()
	for range sc.Workload.OpenFlows {
		r.createFlow()
	}
	end := r.faultAt.Add(sc.Measure)
	for r.now.Before(end) {
		r.step()
	}
	return r.finalResult()
}

func (r *run) build() {
	targets := r.sc.Workload.Targets
	if r.sc.Fault == Cold {
		targets++
	}
	for i := range targets {
		name := fmt.Sprintf("target-%02d", i)
		t := &model.Target{
			ID: model.TargetIDOf(name), Name: name, Service: "service",
			Zone:   model.Zone{Region: "r", Name: r.zone(i)},
			Weight: 1, MaxConnections: 2000, Slots: 3,
			Report: netip.MustParseAddrPort("127.0.0.1:1"),
		}
		b := &backend{target: t, present: true}
		r.backends[t.ID] = b
		r.backendOrder = append(r.backendOrder, b)
	}
	if r.sc.Fault == Cold {
		r.faultTarget().present = false
	}
	for i := range r.sc.Owners {
		l := placement.NewLoadTable()
		l.SetOwners(r.sc.Owners)
		o := &owner{
			id: model.MachineID(i + 1), zone: r.zone(i), loads: l,
			budget: retry.NewBudget(retry.BudgetConfig{}),
		}
		o.monitor = health.New(health.Config{}, o.id, l)
		r.owners = append(r.owners, o)
	}
	r.publish()
}

func (r *run) zone(i int) string {
	return string(rune('a' + i%r.sc.Zones))
}

// faultTarget returns the target that the fault affects.
func (r *run) faultTarget() *backend {
	return r.backendOrder[len(r.backendOrder)-1]
}

// publish applies new lists at all owners at the same time.
func (r *run) publish() {
	svc := &model.Service{Name: "service", Margin: r.sc.Workload.Margin, Ramp: ramp}
	if svc.Margin == 0 {
		svc.Margin = placement.DefaultMargin
	}
	if r.candidate.Margin > 0 {
		svc.Margin = r.candidate.Margin
	}
	for _, b := range r.backendOrder {
		if b.present || r.sc.Fault == FailedZone {
			svc.Targets = append(svc.Targets, b.target)
		}
	}
	r.services = []*model.Service{svc}
	table := placement.NewTable(model.NewSnapshot(model.Revisions{}, nil, nil, r.services, nil, nil))
	r.table = table.Service(svc)
	for _, o := range r.owners {
		o.loads.SetTable(r.now, table)
		o.policy = r.candidate.New(r.table)
		o.monitor.SetTargets(r.services)
	}
	r.updateOwners()
}

func (r *run) updateOwners() {
	live := make(map[string][]model.MachineID)
	n := 0
	for _, o := range r.owners {
		if !o.failed {
			live[o.zone] = append(live[o.zone], o.id)
			n++
		}
	}
	probers := func(z model.Zone) []model.MachineID {
		if len(live[z.Name]) == 0 {
			return live[r.zone(0)]
		}
		return live[z.Name]
	}
	for _, o := range r.owners {
		o.loads.SetOwners(n)
		o.monitor.SetLive(probers, n)
	}
}

func (r *run) measuring() bool {
	return !r.now.Before(r.faultAt)
}

func (r *run) step() {
	r.now = r.now.Add(step)
	if r.now.Equal(r.faultAt) {
		r.injectFault()
	}
	r.endFlows()
	r.handleTimeouts()
	r.createFlows()
	r.processRequests()
	r.deliver()
	sinceFullSecond := r.now.Sub(epoch) % time.Second
	if sinceFullSecond == 0 {
		r.sample()
	}
	if r.now.Sub(epoch)%r.sc.ReportInterval == 0 {
		r.probe()
	}
}

// injectFault starts the fault.
func (r *run) injectFault() {
	b := r.faultTarget()
	switch r.sc.Fault {
	case FalselyIdle:
		b.unresponsive = true
	case Cold:
		b.present = true
		b.coldUntil = r.now.Add(ramp)
		r.publish()
	case Drain:
		draining := *b.target
		draining.Draining = true
		b.target = &draining
		r.publish()
	case FailedZone:
		r.failZone(r.zone(r.sc.Zones - 1))
	}
}

func (r *run) failZone(zone string) {
	lostFlows := 0
	for _, b := range r.backendOrder {
		if b.target.Zone.Name == zone {
			b.present = false
			b.unresponsive = true
			lostFlows += b.open
		}
	}
	for _, o := range r.owners {
		o.failed = o.failed || o.zone == zone
	}
	r.updateOwners()
	kept := r.ends[:0]
	for _, e := range r.ends {
		if e.backend.present {
			kept = append(kept, e)
			continue
		}
		r.removeFlow(e)
		r.closing = append(r.closing, e)
	}
	r.ends = kept
	heap.Init(&r.ends)
	r.reconnecting += float64(lostFlows)
}

func (r *run) endFlows() {
	for len(r.ends) > 0 && !r.ends[0].at.After(r.now) {
		e := heap.Pop(&r.ends).(flowEnd)
		r.removeFlow(e)
		e.owner.loads.Closed(e.backend.target.ID)
	}
	if len(r.closing) > 0 && r.now.Sub(r.faultAt) >= closingTimeout {
		for _, e := range r.closing {
			e.owner.loads.Closed(e.backend.target.ID)
		}
		r.closing = nil
	}
}

// addFlow adds a flow to its target and schedules its end.
func (r *run) addFlow(e flowEnd) {
	r.addToCounts(e, 1)
	e.owner.loads.Opened(e.backend.target.ID)
	heap.Push(&r.ends, e)
}

// removeFlow removes a flow from its target.
func (r *run) removeFlow(e flowEnd) {
	r.addToCounts(e, -1)
}

func (r *run) addToCounts(e flowEnd, n int) {
	e.backend.open += n
	e.backend.rate += float64(n) * e.rate
	r.open += n
	if e.exception {
		r.exception += n
	}
}

func (r *run) createFlows() {
	w := r.sc.Workload
	mean := w.NewPerSecond * step.Seconds()
	since := r.now.Sub(r.faultAt)
	if w.Burst > 0 && since > 0 && since <= w.BurstDuration {
		mean += float64(w.Burst) * step.Seconds() / w.BurstDuration.Seconds()
	}
	// The flows of a failed zone reconnect over ten seconds.
	reconnects := min(r.reconnecting, math.Ceil(float64(w.OpenFlows)/reconnectSteps))
	r.reconnecting -= reconnects
	for range poisson(r.flowRand, mean) + int(reconnects) {
		r.createFlow()
	}
}

func poisson(r *rand.Rand, mean float64) int {
	if mean > 50 {
		return max(int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())), 0)
	}
	limit, p := math.Exp(-mean), 1.0
	for n := 0; ; n++ {
		p *= r.Float64()
		if p < limit {
			return n
		}
	}
}

// createFlow creates a new flow and makes its first connection attempt.
func (r *run) createFlow() {
	f := newFlow{hash: model.FlowHash(r.flowRand.Uint64()), lifetime: r.lifetime(), rate: r.randomRequestRate()}
	o := r.ownerOf(f.hash)
	o.budget.NewFlow()
	if r.measuring() {
		r.result.NewFlows++
	}
	r.attempt(o, f, nil)
}

func (r *run) ownerOf(h model.FlowHash) *owner {
	for i := uint64(0); ; i++ {
		o := r.owners[(uint64(h)>>17+i*uint64(h>>40))%uint64(len(r.owners))]
		if !o.failed {
			return o
		}
		if i > uint64(len(r.owners)) {
			return r.owners[0]
		}
	}
}

// attempt selects a target for a flow and connects to it. tried lists the targets of earlier attempts.
func (r *run) attempt(o *owner, f newFlow, tried []model.TargetID) {
	var usableLoads placement.Loads = o.loads
	if len(tried) > 0 {
		usableLoads = placement.ExcludingLoads{Loads: o.loads, Tried: tried}
	}
	t, kind := o.policy.Choose(r.now, f.hash, r.table, usableLoads)
	if kind != errkind.None {
		if r.measuring() {
			r.result.Refused[kind.String()]++
		}
		return
	}
	b := r.backends[t.ID]
	b.attempts++
	r.attempts++
	if b.unresponsive {
		r.scheduleTimeout(o, f, b, tried)
		return
	}
	o.loads.Answered(r.now, t.ID, handshakeTime)
	e := flowEnd{
		at: r.now.Add(f.lifetime), owner: o, backend: b, rate: f.rate,
		exception: t.ID != r.table.Default(f.hash).ID,
	}
	if e.exception && r.measuring() {
		r.result.NewExceptions++
	}
	if r.sc.Fault == Drain && b == r.faultTarget() && r.now.Sub(r.faultAt) >= 3*time.Second {
		r.result.LateFlows++
	}
	r.addFlow(e)
}

func (r *run) scheduleTimeout(o *owner, f newFlow, b *backend, tried []model.TargetID) {
	if len(tried) == 0 {
		r.result.Unanswered++
	}
	r.pendingAttempts = append(r.pendingAttempts, pendingAttempt{
		at: r.now.Add(attemptTimeout), owner: o, flow: f,
		tried: append(append([]model.TargetID{}, tried...), b.target.ID),
	})
}

func (r *run) handleTimeouts() {
	var due []pendingAttempt
	kept := r.pendingAttempts[:0]
	for _, a := range r.pendingAttempts {
		if a.at.After(r.now) {
			kept = append(kept, a)
			continue
		}
		due = append(due, a)
	}
	r.pendingAttempts = kept
	for _, a := range due {
		a.owner.loads.Unanswered(r.now, a.tried[len(a.tried)-1])
		if len(a.tried) < 3 && a.owner.budget.Take() {
			r.attempt(a.owner, a.flow, a.tried)
			continue
		}
		if r.measuring() {
			r.result.Refused[errkind.AttemptTimedOut.String()]++
		}
	}
}

func (r *run) lifetime() time.Duration {
	w := r.sc.Workload
	if w.LifetimeSpread == 0 {
		return time.Duration(r.flowRand.ExpFloat64() * float64(w.Lifetime))
	}
	return time.Duration(r.logNormal(w.LifetimeSpread) * float64(w.Lifetime))
}

func (r *run) randomRequestRate() float64 {
	w := r.sc.Workload
	return w.RequestRate * r.logNormal(w.RateSpread)
}

// logNormal returns a log-normally distributed random number with mean 1.
func (r *run) logNormal(spread float64) float64 {
	return math.Exp(spread*r.flowRand.NormFloat64() - spread*spread/2)
}

// processRequests simulates request processing on every target for one time step.
func (r *run) processRequests() {
	for _, b := range r.backendOrder {
		speed := 1.0
		if r.now.Before(b.coldUntil) {
			speed = coldSpeed
		}
		work := r.sc.Workload.RequestTime.Seconds() / speed
		n := poisson(r.serveRand, b.rate*step.Seconds())
		b.offered += float64(n) * work
		b.backlog += float64(n) * work
		capacity := float64(b.target.Slots) * step.Seconds()
		if n > 0 && r.measuring() {
			r.waits = append(r.waits, max(b.backlog-capacity, 0)/float64(b.target.Slots)*1000)
		}
		b.backlog = max(b.backlog-capacity, 0)
	}
}
