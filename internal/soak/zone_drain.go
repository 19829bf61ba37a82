package soak

import (
	"math/rand/v2"
	"time"

	"github.com/fireflypin/fireflypin/packet"
)

const (
	// zoneDrainBound is how long flows may still open at the targets of a zone after the store took its drain.
	zoneDrainBound = 5 * time.Second
	// A drawn drain lasts minZoneDrain to maxZoneDrain; meanZoneDrainGap is the mean time between the starts of two.
	minZoneDrain     = zoneDrainBound + time.Second
	maxZoneDrain     = 3 * zoneDrainBound
	meanZoneDrainGap = 8 * time.Second
)

// zoneDrain is the drain of a zone that stands.
type zoneDrain struct {
	since time.Time
	// steps is the number of steps that have the zone drained.
	steps int
}

// drainZone publishes the drain of a zone and takes it back at the end of the step, unless another one still stands.
func (h *harness) drainZone(s Step) {
	zone := h.zones[s.Subject%len(h.zones)]
	key, value := h.dialect.ZoneDrainItem(zone)
	if h.drains[zone] == nil {
		h.drains[zone] = &zoneDrain{since: time.Now()}
		h.store.put(key, value)
	}
	h.drains[zone].steps++
	h.after(s.For, func() {
		if h.drains[zone].steps--; h.drains[zone].steps == 0 {
			delete(h.drains, zone)
			h.store.put(key, nil)
		}
	})
}

// writeZoneDrain publishes the drain of a zone if it stands, and takes it back if the store still has one that does not.
func (h *harness) writeZoneDrain(zone string) {
	key, value := h.dialect.ZoneDrainItem(zone)
	switch {
	case h.drains[zone] != nil:
		h.store.put(key, value)
	case h.store.has(key):
		h.store.put(key, nil)
	}
}

// checkZoneDrain checks that no flow opens at a target whose zone has been drained for longer than zoneDrainBound. Daemons
// affected by a fault are not checked.
func (h *harness) checkZoneDrain(now time.Time, e *entry, t *target, key packet.FlowKey) {
	d := h.drains[t.entry.Zone]
	if d == nil || now.Sub(d.since) <= zoneDrainBound || now.Before(e.excusedUntil) || now.Before(h.excusedUntil) {
		return
	}
	h.reportViolation("zone drains", "%s opened the flow to %v from %v at target %s of zone %s, which has been drained for %v",
		e.name, key.Service, key.Caller, t.entry.Name, t.entry.Zone, now.Sub(d.since).Round(time.Millisecond))
}

// drawZoneDrains returns the drains of zones of a seed, all of which end before the end of the run.
func drawZoneDrains(seed uint64, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, uint64(minZoneDrain)))
	var steps []Step
	for at := exponential(r, meanZoneDrainGap); at < length; at += exponential(r, meanZoneDrainGap) {
		lasts := minZoneDrain + time.Duration(r.Int64N(int64(maxZoneDrain-minZoneDrain)))
		if at+lasts < length {
			steps = append(steps, Step{Kind: ZoneDrain, At: at, For: lasts, Subject: r.IntN(1 << 16)})
		}
	}
	return steps
}
