package soak

import "time"

const (
	// warmupInterval is the interval between seeds whose configuration publishes a rate for targets that warm up: one in
	// five.
	warmupInterval = 5
	// warmupRate is that rate. In any second a target that warms up may get warmupRate x warmupOverage + warmupSlack first
	// packets, from all daemons.
	warmupRate, warmupOverage, warmupSlack = 4, 1.5, 5
	// warmupTime is how long targets that start during traffic warm up.
	warmupTime = 6 * time.Second
)

// warming is the warm-up of a target.
type warming struct {
	// until is the end of the warm-up; zero if the target does not warm up.
	until time.Time
	// arrivals holds the times of the first packets of the last second.
	arrivals []time.Time
	// stalls is the harness's number of stalls when arrivals was last emptied.
	stalls int
}

// checkWarmup counts a first packet and checks that a target that warms up gets no more of them in a second than it bears,
// whatever fault daemons and links have. After a stall of the machine, packets that waited arrive together, so the count
// starts again.
func (t *target) checkWarmup(now time.Time) {
	w := &t.warming
	if !now.Before(w.until) {
		return
	}
	if w.stalls != t.h.stalls || now.Sub(t.h.lastTick) >= stallThreshold {
		w.stalls, w.arrivals = t.h.stalls, nil
	}
	w.arrivals = append(w.arrivals, now)
	for now.Sub(w.arrivals[0]) >= time.Second {
		w.arrivals = w.arrivals[1:]
	}
	t.h.warmingArrivals++
	if n := float64(len(w.arrivals)); n > warmupRate*warmupOverage+warmupSlack {
		t.h.reportViolation("warm-up", "%s, which warms up, got %v first packets within a second", t.entry.Name, n)
	}
}
