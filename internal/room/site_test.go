// A small model of a site for tests: callers with retries, daemons with a gate each, targets with slots and a queue.

package room

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/core/tags"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// siteKind is a kind of request.
type siteKind struct {
	priority     uint32
	perSecond    float64
	work         time.Duration
	goal, budget time.Duration
	worth        float64
	bytes        uint32
}

// siteConfig describes a site and what is taken out of it.
type siteConfig struct {
	seed            uint64
	zones, perZone  int
	targetsPerZone  int
	slots, queue    int
	kinds           []siteKind
	pooled          float64 // share of first attempts that use an open flow
	noGate, noWait  bool
	equal           bool // all kinds alike
	refuseBySilence bool
	// demand multiplies a kind's rate at a time; nil for 1.
	demand func(at time.Duration, kind int) float64
	// hog is the share of the first kind's requests that one caller address sends.
	hog float64
	// from is the time from which requests that begin are counted.
	from time.Duration
}

// siteResult counts what callers got of a kind.
type siteResult struct {
	asked, onTime, late, refused, rejected int
	credit, owed                           float64
}

type siteEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type siteEvents []siteEvent

func (q siteEvents) Len() int { return len(q) }
func (q siteEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q siteEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *siteEvents) Push(x any)   { *q = append(*q, x.(siteEvent)) }
func (q *siteEvents) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type siteTarget struct {
	model   *model.Target
	running int
	queue   []func()
	dark    bool
}

// takesFlows reports whether new flows may be placed at the target.
func (t *siteTarget) takesFlows() bool {
	return !t.model.Draining && !t.model.ZoneDraining
}

type siteDaemon struct {
	gate    *Gate
	waiting []*siteAttempt
	changes []Change
}

type siteRequest struct {
	kind   int
	zone   int
	began  time.Duration
	tries  int
	caller [16]byte
	hog    bool
}

type siteAttempt struct {
	tags.Attempt
	request *siteRequest
	daemon  *siteDaemon
	until   time.Duration
}

// site is a running model.
type site struct {
	cfg      siteConfig
	rand     *rand.Rand
	now      time.Duration
	events   siteEvents
	seq      int
	snapshot *model.Snapshot
	service  *model.Service
	targets  []*siteTarget
	byID     map[model.TargetID]*siteTarget
	daemons  []*siteDaemon
	results  []siteResult
	hog      siteResult
	// busy is the slot time used; idle is the slot time that was free although an attempt was refused within the last
	// 0.2 s.
	busy, idle  time.Duration
	refusedAt   time.Duration
	served      int
	connections int
	// refusedBefore is the number of flows refused before there was room again, if a test counts them.
	refusedBefore int
}

var siteEpoch = time.Unix(1_700_000_000, 0)

const (
	siteTick       = 50 * time.Millisecond
	siteHandshake  = 8 * time.Millisecond
	siteBackoff    = 60 * time.Millisecond
	siteRejectSize = 120
)

func zoneOf(i int) model.Zone { return model.Zone{Region: "r", Name: fmt.Sprintf("z%d", i)} }

func newSite(cfg siteConfig) *site {
	s := &site{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.seed, 1)), byID: make(map[model.TargetID]*siteTarget), refusedAt: -time.Hour}
	s.results = make([]siteResult, len(cfg.kinds))
	s.service = &model.Service{Name: "service"}
	for z := range cfg.zones {
		for i := range cfg.targetsPerZone {
			name := fmt.Sprintf("t%d-%d", z, i)
			t := &model.Target{ID: model.TargetIDOf(name), Name: name, Service: "service", Zone: zoneOf(z), Slots: uint32(cfg.slots)}
			st := &siteTarget{model: t}
			s.targets = append(s.targets, st)
			s.byID[t.ID] = st
			s.service.Targets = append(s.service.Targets, t)
		}
	}
	for z := range cfg.zones {
		for range cfg.perZone {
			d := &siteDaemon{gate: NewGate(zoneOf(z))}
			d.gate.SetDaemons(cfg.perZone)
			s.daemons = append(s.daemons, d)
		}
	}
	s.apply()
	return s
}

// apply publishes the targets and routes to all daemons.
func (s *site) apply() {
	var routes []*model.Route
	for i, k := range s.cfg.kinds {
		p := k.priority
		if s.cfg.equal {
			p = 0
		}
		routes = append(routes, &model.Route{
			Name: fmt.Sprint(i), Address: siteAddress(i), Priority: p, LatencyGoal: k.goal, TimeBudget: k.budget,
			Shares: []model.Share{{Service: s.service, Weight: 1}},
		})
	}
	s.snapshot = model.NewRoutedSnapshot(model.Parts{Services: []*model.Service{s.service}, Routes: routes})
	for _, d := range s.daemons {
		d.gate.ApplyLists(s.snapshot)
	}
}

func siteAddress(kind int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), uint16(8000+kind))
}

func (s *site) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, siteEvent{at: s.now + d, seq: s.seq, do: do})
}

func (s *site) time() time.Time { return siteEpoch.Add(s.now) }

// run plays the site for a time.
func (s *site) run(length time.Duration) *site {
	for k := range s.cfg.kinds {
		s.arrive(k, length)
	}
	for i, d := range s.daemons {
		s.after(time.Duration(i)*time.Millisecond%siteTick, func() { s.tick(d) })
	}
	s.after(0, s.sample)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(siteEvent)
		if e.at > length+5*time.Second {
			break
		}
		s.now = e.at
		e.do()
	}
	return s
}

// at calls do at a time of the run.
func (s *site) at(t time.Duration, do func()) *site {
	s.after(t, do)
	return s
}

func (s *site) sample() {
	const step = 10 * time.Millisecond
	for _, t := range s.targets {
		if t.dark || !t.takesFlows() {
			continue
		}
		s.busy += time.Duration(min(t.running, s.cfg.slots)) * step
		if s.now-s.refusedAt < 200*time.Millisecond {
			s.idle += time.Duration(max(s.cfg.slots-t.running, 0)) * step
		}
	}
	s.after(step, s.sample)
}

func (s *site) arrive(kind int, length time.Duration) {
	rate := s.cfg.kinds[kind].perSecond
	if s.cfg.demand != nil {
		rate *= s.cfg.demand(s.now, kind)
	}
	gap := time.Duration(s.rand.ExpFloat64() / max(rate, 1) * float64(time.Second))
	s.after(gap, func() {
		if s.now >= length {
			return
		}
		r := &siteRequest{kind: kind, zone: s.rand.IntN(s.cfg.zones), began: s.now}
		r.caller[15], r.caller[14] = byte(s.rand.IntN(200)+1), byte(r.zone)
		if kind == 0 && s.rand.Float64() < s.cfg.hog {
			r.hog, r.caller = true, [16]byte{9}
		}
		s.count(r, func(c *siteResult) { c.asked++; c.owed += s.cfg.kinds[kind].worth })
		s.try(r)
		s.arrive(kind, length)
	})
}

func (s *site) count(r *siteRequest, f func(*siteResult)) {
	if r.began < s.cfg.from {
		return
	}
	f(&s.results[r.kind])
	if r.hog {
		f(&s.hog)
	}
}

// try makes one attempt of a request at a random daemon of its zone.
func (s *site) try(r *siteRequest) {
	d := s.daemons[r.zone*s.cfg.perZone+s.rand.IntN(s.cfg.perZone)]
	r.tries++
	if r.tries == 1 && s.rand.Float64() < s.cfg.pooled {
		t := s.pick(r.zone, nil, true)
		if t == nil {
			t = s.targets[s.rand.IntN(len(s.targets))]
		}
		s.send(r, d, t, 0)
		return
	}
	a := &siteAttempt{request: r, daemon: d}
	a.Route = s.snapshot.RouteAt(siteAddress(r.kind))
	a.Service, a.Caller, a.Hash = s.service, flow.PackedAddrPort{IP: r.caller, Port: uint16(s.rand.IntN(60000))}, model.FlowHash(s.rand.Uint64())
	s.decide(a)
}

// decide asks the gate and reports whether the attempt no longer waits.
func (s *site) decide(a *siteAttempt) bool {
	if s.cfg.noGate {
		s.place(a, nil)
		return true
	}
	v := a.daemon.gate.Admit(s.time(), &a.Attempt)
	switch {
	case v.Answer == tags.Admit:
		s.place(a, v.Full)
		return true
	case v.Answer == tags.Refuse:
		s.refuse(a)
		return true
	case s.cfg.noWait:
		a.daemon.gate.GiveUp(s.time(), &a.Attempt)
		s.refuse(a)
		return true
	case !a.Waited:
		a.Waited, a.until = true, s.now+v.MaxWait
		a.daemon.waiting = append(a.daemon.waiting, a)
	case s.now >= a.until:
		a.daemon.gate.GiveUp(s.time(), &a.Attempt)
		s.refuse(a)
		return true
	}
	return false
}

func (s *site) refuse(a *siteAttempt) {
	s.refusedAt = s.now
	s.count(a.request, func(c *siteResult) { c.refused++ })
	wait := 3 * time.Millisecond
	if s.cfg.refuseBySilence {
		wait = 1400 * time.Millisecond
	}
	s.retry(a.request, wait)
}

func (s *site) retry(r *siteRequest, wait time.Duration) {
	if r.tries < 3 && s.now-r.began+wait < s.cfg.kinds[r.kind].budget {
		s.after(wait+siteBackoff/2+time.Duration(s.rand.Int64N(int64(siteBackoff))), func() { s.try(r) })
	}
}

// pick returns a random target of the zone, or of others if the zone has none that is not full; nil if there is none.
// reachable leaves out dark targets.
func (s *site) pick(zone int, full []model.Zone, reachable bool) *siteTarget {
	usable := func(t *siteTarget) bool {
		return t.takesFlows() && !(reachable && t.dark) && !slices.Contains(full, t.model.Zone)
	}
	local := s.targets[zone*s.cfg.targetsPerZone : (zone+1)*s.cfg.targetsPerZone]
	for _, of := range [][]*siteTarget{local, s.targets} {
		if !slices.ContainsFunc(of, usable) {
			continue
		}
		for {
			if t := of[s.rand.IntN(len(of))]; usable(t) {
				return t
			}
		}
	}
	return nil
}

func (s *site) place(a *siteAttempt, full []model.Zone) {
	t := s.pick(a.request.zone, full, false)
	if t == nil {
		s.refuse(a)
		return
	}
	s.connections++
	if !s.cfg.noGate {
		a.daemon.gate.Placed(s.time(), t.model.ID, flow.PackAddrPort(a.Route.Address))
	}
	if t.dark {
		s.retry(a.request, 1400*time.Millisecond)
		return
	}
	s.after(siteHandshake, func() { s.send(a.request, a.daemon, t, siteHandshake) })
}

// send sends a request to a target; age is the time since its flow was opened, 0 for a flow that was open before.
func (s *site) send(r *siteRequest, d *siteDaemon, t *siteTarget, age time.Duration) {
	e := tags.FlowEvent{Target: t.model.ID, Address: flow.PackAddrPort(siteAddress(r.kind)), Requests: 2, Age: time.Minute}
	if age > 0 {
		e.Requests, e.Opened, e.Age = 1, true, age
	}
	d.gate.RequestSent(s.time(), e)
	sent := s.now
	answer := func(bytes uint32) {
		d.gate.ResponseBegan(s.time(), e, s.now-sent, bytes)
		s.release(d)
	}
	run := func() {
		t.running++
		work := time.Duration((0.5 + s.rand.Float64()) * float64(s.cfg.kinds[r.kind].work))
		s.after(work, func() { s.finish(r, t, answer) })
	}
	switch {
	case t.dark:
	case t.running < s.cfg.slots:
		run()
	case len(t.queue) < s.cfg.queue:
		t.queue = append(t.queue, run)
	default:
		s.count(r, func(c *siteResult) { c.rejected++ })
		s.after(siteHandshake, func() {
			answer(siteRejectSize)
			s.retry(r, 0)
		})
	}
}

func (s *site) finish(r *siteRequest, t *siteTarget, answer func(uint32)) {
	t.running--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		next()
	}
	if t.dark {
		return
	}
	s.served++
	k := s.cfg.kinds[r.kind]
	took := s.now - r.began + siteHandshake
	s.count(r, func(c *siteResult) {
		switch {
		case took <= k.goal:
			c.onTime++
			c.credit += k.worth
		case took <= k.budget:
			c.late++
			c.credit += k.worth / 2
		}
	})
	s.after(siteHandshake, func() { answer(k.bytes) })
}

// release decides again on the attempts that wait at a daemon.
func (s *site) release(d *siteDaemon) {
	waiting := d.waiting
	d.waiting = nil
	for level := range levels {
		for _, a := range waiting {
			if d.gate.index.Load().routes[flow.PackAddrPort(a.Route.Address)].level == level && !s.decide(a) {
				d.waiting = append(d.waiting, a)
			}
		}
	}
}

func (s *site) tick(d *siteDaemon) {
	d.changes = append(d.changes, d.gate.Tick(s.time())...)
	s.release(d)
	s.after(siteTick, func() { s.tick(d) })
}

// credit returns the share of the owed credit that a kind earned.
func (r *siteResult) share() float64 { return r.credit / max(r.owed, 1) }

// credit returns the share of the owed credit that all kinds earned.
func (s *site) credit() float64 {
	earned, owed := 0.0, 0.0
	for _, r := range s.results {
		earned, owed = earned+r.credit, owed+r.owed
	}
	return earned / owed
}
