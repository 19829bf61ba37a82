package tags

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// simFault is a fault or another change at a simulated site.
type simFault struct {
	kind string
	at   time.Duration
	// span, 0 to 1, sets how long it lasts, between the shortest and the longest time of its kind.
	span float64
	// who selects the daemon or the target.
	who int
}

func (f simFault) String() string {
	return fmt.Sprintf("%v %s who %d span %.2f", f.at, f.kind, f.who, f.span)
}

// simFaultKind describes a kind of fault; low and high bound its duration.
type simFaultKind struct {
	low, high time.Duration
	do        func(w *sim, who int, span time.Duration)
}

var simFaultKinds = map[string]simFaultKind{
	"daemon restarts": {100 * time.Millisecond, 900 * time.Millisecond, func(w *sim, who int, span time.Duration) {
		w.daemon(who).restart(span)
	}},
	"daemon is killed": {100 * time.Millisecond, 900 * time.Millisecond, func(w *sim, who int, span time.Duration) {
		w.daemon(who).powerOff(span)
	}},
	"all daemons lose power": {300 * time.Millisecond, 1500 * time.Millisecond, func(w *sim, _ int, span time.Duration) {
		w.powerOff(span)
	}},
	"daemon leaves the rotation": {300 * time.Millisecond, 5 * time.Second, func(w *sim, who int, span time.Duration) {
		w.daemon(who).leaveRotation(0, span)
	}},
	"daemon stalls": {200 * time.Millisecond, 950 * time.Millisecond, func(w *sim, who int, span time.Duration) {
		w.daemon(who).stall(span)
	}},
	"daemon pauses": {1050 * time.Millisecond, 3 * time.Second, func(w *sim, who int, span time.Duration) {
		w.daemon(who).stall(span)
	}},
	"target restarts": {200 * time.Millisecond, 2 * time.Second, func(w *sim, who int, span time.Duration) {
		w.target(who).crash(who%2 == 0, span)
	}},
	"target fails":             {0, 0, func(w *sim, who int, _ time.Duration) { w.target(who).crash(who%2 == 0, 0) }},
	"target loses its link":    {200 * time.Millisecond, 2 * time.Second, func(w *sim, who int, span time.Duration) { w.target(who).unplug(span) }},
	"registration is missing":  {200 * time.Millisecond, 2 * time.Second, func(w *sim, who int, span time.Duration) { w.target(who).unregister(span) }},
	"target drains and leaves": {time.Second, 3 * time.Second, func(w *sim, who int, span time.Duration) { w.target(who).drain(span) }},
	"zones are partitioned":    {500 * time.Millisecond, 4 * time.Second, func(w *sim, _ int, span time.Duration) { w.cutZones(span) }},
	"route ends": {100 * time.Millisecond, time.Second, func(w *sim, who int, span time.Duration) {
		w.endRoute(who%2, span)
	}},
	"target joins": {0, 0, func(w *sim, who int, _ time.Duration) { w.addTarget(simZones[who%2]); w.publish() }},
}

// simFaultNames lists the kinds to draw from. Frequent ones are listed more than once.
var simFaultNames = []string{
	simNothing, simNothing, simNothing, simNothing,
	"daemon leaves the rotation", "daemon leaves the rotation", "daemon stalls", "daemon stalls", "daemon restarts", "daemon pauses",
	"registration is missing", "target drains and leaves", "zones are partitioned", "target restarts", "target fails",
	"target loses its link", "target joins", "target joins",
}

// simMoveNames lists the kinds of a run in which flows move often between daemons while targets fail.
var simMoveNames = []string{
	simNothing,
	"daemon leaves the rotation", "daemon leaves the rotation", "daemon leaves the rotation", "daemon restarts", "daemon restarts",
	"daemon stalls", "daemon pauses", "zones are partitioned",
	"target restarts", "target restarts", "target loses its link", "target fails", "target fails",
}

// simRouteNames lists the kinds of a run in which routes end for a while.
var simRouteNames = []string{"route ends", "route ends", "route ends", "daemon leaves the rotation", "daemon restarts", "target loses its link"}

// simKillNames lists the kinds of a run in which SYNs and their copies meet daemons that come and go.
var simKillNames = []string{
	simNothing, simNothing,
	"daemon is killed", "daemon is killed", "daemon restarts", "daemon stalls", "daemon stalls", "daemon pauses",
	"daemon leaves the rotation", "daemon leaves the rotation",
	"zones are partitioned", "target loses its link", "target restarts", "registration is missing",
}

const simNothing = "nothing"

const (
	// simFaultSlots is the number of time slots of a run, each simFaultSlotTime long, in which at most one fault
	// occurs.
	simFaultSlots    = 22
	simFaultSlotTime = 400 * time.Millisecond
)

// drawSimFaults draws the faults of a run. Only their kinds are drawn by rapid, the rest follows from the run's seed.
// So rapid can shrink a failing run to the faults that it needs, without changing those.
func drawSimFaults(t *rapid.T, seed uint64, names []string) []simFault {
	var faults []simFault
	for i := range simFaultSlots {
		kind := rapid.SampledFrom(names).Draw(t, "kind")
		if kind == simNothing {
			continue
		}
		r := rand.New(rand.NewPCG(seed, uint64(i+1)))
		faults = append(faults, simFault{
			kind: kind,
			at:   time.Duration(i+1)*simFaultSlotTime + time.Duration(r.Int64N(int64(simFaultSlotTime))),
			span: r.Float64(),
			who:  r.IntN(24),
		})
	}
	return faults
}

func (w *sim) apply(f simFault) {
	kind := simFaultKinds[f.kind]
	kind.do(w, f.who, kind.low+time.Duration(f.span*float64(kind.high-kind.low)))
}

// powerOff stops all daemons, which lose the packets in their sockets. They start again after a time, within a third of it.
func (w *sim) powerOff(span time.Duration) {
	for _, d := range w.daemons {
		d.powerOff(span + w.between(0, span/3))
	}
}

func (w *sim) daemon(who int) *simDaemon { return w.daemons[who%len(w.daemons)] }

func (w *sim) target(who int) *simTarget { return w.order[who%len(w.order)] }

// cutZones cuts the zones off from each other for a time.
func (w *sim) cutZones(span time.Duration) {
	if w.cut.active {
		return
	}
	w.cut.active = true
	w.after(span, func() { w.cut = simCut{endedAt: w.at} })
}

// endRoute takes a route out of the plan for a time.
func (w *sim) endRoute(i int, span time.Duration) {
	with := w.site.directory.Plan()
	if len(with.Routes) < simRoutes {
		return // another route has ended
	}
	without := *with
	without.Version++
	without.Routes = slices.Delete(slices.Clone(with.Routes), i, i+1)
	w.site.directory.SetPlan(&without)
	w.publish()
	w.after(span, func() {
		again := *with
		again.Version = without.Version + 1
		w.site.directory.SetPlan(&again)
		w.publish()
	})
}

// simRoutes is the number of routes of the plan.
const simRoutes = 3

// crash stops a target without notice. If span is not 0 the target restarts after it, under the same name; otherwise
// its registration ends after 3 s. An unreachable target answers nothing, any other refuses connections.
func (t *simTarget) crash(unreachable bool, span time.Duration) {
	if !t.isHealthy() {
		return
	}
	t.up, t.unreachable = false, unreachable
	t.instance++
	clear(t.conns)
	if span == 0 {
		t.w.after(3*time.Second, func() { t.w.deregister(t.name) })
		return
	}
	t.w.after(span, func() {
		t.up, t.unreachable = true, false
		t.faultEndedAt = t.w.at
		t.registration.StartedAt = t.w.now()
		t.w.register(t.registration)
	})
}

// isHealthy reports whether no fault affects the target at present.
func (t *simTarget) isHealthy() bool { return t.up && !t.unreachable && !t.draining }

// unplug disconnects the target's link for a time.
func (t *simTarget) unplug(span time.Duration) {
	if !t.isHealthy() {
		return
	}
	t.unreachable = true
	t.w.after(span, func() {
		t.unreachable = false
		t.faultEndedAt = t.w.at
	})
}

// unregister ends the registration of a live target for a time.
func (t *simTarget) unregister(span time.Duration) {
	if !t.isHealthy() {
		return
	}
	t.w.deregister(t.name)
	t.w.after(span, func() {
		if t.up {
			t.w.register(t.registration)
		}
	})
}

// drain makes the target drain. The target continues to serve for up to 6 s after its registration has ended.
func (t *simTarget) drain(span time.Duration) {
	if !t.isHealthy() {
		return
	}
	t.draining = true
	t.registration.Draining = true
	t.w.register(t.registration)
	t.w.after(span, func() { t.w.deregister(t.name) })
	t.w.after(span+t.w.between(0, 6*time.Second), func() {
		t.up = false
		t.instance++
		clear(t.conns)
	})
}
