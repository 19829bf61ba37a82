package core

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"
)

// simFault is something that happens at a simulated site.
type simFault struct {
	kind string
	at   time.Duration
	// span is how long it lasts, as a share of the kind's longest time.
	span float64
	// who draws the daemon or the target.
	who int
}

func (f simFault) String() string {
	return fmt.Sprintf("%v %s who %d span %.2f", f.at, f.kind, f.who, f.span)
}

// simFaultKind is a kind of fault and how long it lasts.
type simFaultKind struct {
	low, high time.Duration
	do        func(w *sim, who int, span time.Duration)
}

var simFaultKinds = map[string]simFaultKind{
	"daemon restarts": {100 * time.Millisecond, 900 * time.Millisecond, func(w *sim, who int, span time.Duration) {
		w.daemon(who).restart(span)
	}},
	"daemon leaves the rotation": {300 * time.Millisecond, 5 * time.Second, func(w *sim, who int, span time.Duration) {
		w.daemon(who).away(0, span)
	}},
	"daemon stalls": {200 * time.Millisecond, 950 * time.Millisecond, func(w *sim, who int, span time.Duration) {
		w.daemon(who).stall(span)
	}},
	"daemon pauses": {1050 * time.Millisecond, 3 * time.Second, func(w *sim, who int, span time.Duration) {
		w.daemon(who).stall(span)
	}},
	"target starts again": {200 * time.Millisecond, 2 * time.Second, func(w *sim, who int, span time.Duration) {
		w.target(who).crash(who%2 == 0, span)
	}},
	"target dies":              {0, 0, func(w *sim, who int, _ time.Duration) { w.target(who).crash(who%2 == 0, 0) }},
	"target is unplugged":      {200 * time.Millisecond, 2 * time.Second, func(w *sim, who int, span time.Duration) { w.target(who).unplug(span) }},
	"registration is missing":  {200 * time.Millisecond, 2 * time.Second, func(w *sim, who int, span time.Duration) { w.target(who).vanish(span) }},
	"target drains and leaves": {time.Second, 3 * time.Second, func(w *sim, who int, span time.Duration) { w.target(who).drain(span) }},
	"zones are cut":            {500 * time.Millisecond, 4 * time.Second, func(w *sim, _ int, span time.Duration) { w.part(span) }},
	"target joins":             {0, 0, func(w *sim, who int, _ time.Duration) { w.addTarget(simZones[who%2]); w.publish() }},
}

// simFaultNames are the kinds that are drawn, the usual ones more than once.
var simFaultNames = []string{
	simNothing, simNothing, simNothing, simNothing,
	"daemon leaves the rotation", "daemon leaves the rotation", "daemon stalls", "daemon stalls", "daemon restarts", "daemon pauses",
	"registration is missing", "target drains and leaves", "zones are cut", "target starts again", "target dies",
	"target is unplugged", "target joins", "target joins",
}

const simNothing = "nothing"

const (
	// simSlots are the faults of a run, one every simSlot.
	simSlots = 22
	simSlot  = 400 * time.Millisecond
)

// simFaultsOf draws the faults of a run. Only the kinds are rapid's, so that it shrinks a failing run to the faults that
// it needs while those stay as they are; the rest follows from the run's seed.
func simFaultsOf(t *rapid.T, seed uint64) []simFault {
	var faults []simFault
	for i := range simSlots {
		kind := rapid.SampledFrom(simFaultNames).Draw(t, "kind")
		if kind == simNothing {
			continue
		}
		r := rand.New(rand.NewPCG(seed, uint64(i+1)))
		faults = append(faults, simFault{
			kind: kind,
			at:   time.Duration(i+1)*simSlot + time.Duration(r.Int64N(int64(simSlot))),
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

func (w *sim) daemon(who int) *simDaemon { return w.daemons[who%len(w.daemons)] }

func (w *sim) target(who int) *simTarget { return w.order[who%len(w.order)] }

// part cuts the zones off from each other.
func (w *sim) part(span time.Duration) {
	if w.cut.on {
		return
	}
	w.cut.on = true
	w.after(span, func() { w.cut = simCut{over: w.at} })
}

// crash ends a target without a word. With a span it starts again under its name, otherwise its registration ends.
func (t *simTarget) crash(dark bool, span time.Duration) {
	if !t.sound() {
		return
	}
	t.up, t.dark = false, dark
	t.life++
	clear(t.conns)
	if span == 0 {
		t.w.after(3*time.Second, func() { t.w.deregister(t.name) })
		return
	}
	t.w.after(span, func() {
		t.up, t.dark = true, false
		t.unsound = t.w.at
		t.registration.Born = t.w.now()
		t.w.register(t.registration)
	})
}

// sound reports whether nothing is done to the target yet.
func (t *simTarget) sound() bool { return t.up && !t.dark && !t.draining }

// unplug takes the target's link for a time.
func (t *simTarget) unplug(span time.Duration) {
	if !t.sound() {
		return
	}
	t.dark = true
	t.w.after(span, func() {
		t.dark = false
		t.unsound = t.w.at
	})
}

// vanish ends the registration of a target that lives, for a time.
func (t *simTarget) vanish(span time.Duration) {
	if !t.sound() {
		return
	}
	t.w.deregister(t.name)
	t.w.after(span, func() {
		if t.up {
			t.w.register(t.registration)
		}
	})
}

// drain lets the target end its flows. It goes on for a while after its registration has ended.
func (t *simTarget) drain(span time.Duration) {
	if !t.sound() {
		return
	}
	t.draining = true
	t.registration.Leaving = true
	t.w.register(t.registration)
	t.w.after(span, func() { t.w.deregister(t.name) })
	t.w.after(span+t.w.between(0, 6*time.Second), func() {
		t.up = false
		t.life++
		clear(t.conns)
	})
}
