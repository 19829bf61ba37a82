package core

import (
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// simWhy is the reason for a probe.
type simWhy uint8

const (
	simMissed simWhy = iota // flows of this daemon miss responses
	simTold                 // another daemon did not find the target
	simNear                 // other targets of its zone have failed
)

const (
	simProbeTimeout = 500 * time.Millisecond
	simProbeSpacing = 40 * time.Millisecond
	simProbeTries   = 3
	simToldTries    = 2
	simProbeEvery   = 400 * time.Millisecond
	simToldEvery    = 4 * time.Second
	simMassDeaths   = 3
	simMassTime     = time.Second
)

// simProbes is the state of a daemon's probes, as in package edge.
type simProbes struct {
	last, told map[model.TargetID]time.Duration
	deaths     []time.Duration
	searched   time.Duration
}

func newSimProbes() simProbes {
	return simProbes{
		last: make(map[model.TargetID]time.Duration), told: make(map[model.TargetID]time.Duration), searched: -simToldEvery,
	}
}

// recently reports whether the time recorded for a target is less than span ago; otherwise it records now.
func recently(times map[model.TargetID]time.Duration, id model.TargetID, now, span time.Duration) bool {
	if before, noted := times[id]; noted && now-before < span {
		return true
	}
	times[id] = now
	return false
}

// simSight is the result of one connection attempt to a target.
type simSight uint8

const (
	simSilence simSight = iota
	simFound
	simRefused
)

// see attempts a connection to a target.
func (d *simDaemon) see(t *simTarget) simSight {
	switch {
	case t.dark || d.w.cut.parts(d.zone, t.zone) || d.w.chance(2*d.w.cfg.loss):
		return simSilence
	case !t.up:
		return simRefused
	}
	return simFound
}

// probe starts a probe of a target. Its result is lost if the daemon stalls or restarts meanwhile.
func (d *simDaemon) probe(id model.TargetID, why simWhy) {
	every, tries := simProbeEvery, simProbeTries
	if why == simTold {
		every, tries = simToldEvery, simToldTries
	}
	if recently(d.probes.last, id, d.w.at, every) {
		return
	}
	d.try(d.w.now(), d.w.targets[id], why, tries, 0)
}

// try makes one connection attempt of a probe that began at the given time. left counts the remaining attempts
// including this one, waited is the time spent on earlier ones that got no answer.
func (d *simDaemon) try(began time.Time, t *simTarget, why simWhy, left int, waited time.Duration) {
	trip := 2 * d.w.delay(t.zone != d.zone)
	switch sight := d.see(t); {
	case sight == simFound:
		d.conclude(trip, func() { d.handIn(began, t, why, placement.FoundTarget) })
	case sight == simRefused && left == 1 && waited == 0:
		d.conclude(trip, func() { d.handIn(began, t, why, placement.FoundOther) })
	case sight == simRefused && left > 1:
		d.conclude(trip, func() { d.try(began, t, why, left-1, waited) })
	case left > 1:
		d.conclude(simProbeSpacing, func() { d.try(began, t, why, left-1, waited+simProbeSpacing) })
	default:
		d.judgeSilence(began, t, why, waited)
	}
}

// judgeSilence ends a probe that got no answer. The result counts only if another target of the daemon's zone is
// reachable.
func (d *simDaemon) judgeSilence(began time.Time, t *simTarget, why simWhy, waited time.Duration) {
	other, ok := d.engine.Loads().LatestAnswer(model.Zone{Name: d.zone}, t.id)
	reached := ok && d.reaches(d.w.targets[other])
	d.conclude(simProbeTimeout-waited, func() {
		if reached {
			d.handIn(began, t, why, placement.FoundNothing)
		}
	})
}

// reaches reports whether any of several connection attempts to a target succeeds.
func (d *simDaemon) reaches(t *simTarget) bool {
	for range simProbeTries {
		if d.see(t) == simFound {
			return true
		}
	}
	return false
}

// conclude calls do after a time, unless the daemon is blocked then or has restarted.
func (d *simDaemon) conclude(in time.Duration, do func()) {
	life := d.life
	d.w.after(in, func() {
		if d.life == life && !d.blocked {
			do()
		}
	})
}

// handIn passes a probe's result to the engine, and notifies other daemons if the target was not found.
func (d *simDaemon) handIn(began time.Time, t *simTarget, why simWhy, found placement.Finding) {
	if why == simMissed || found == placement.FoundTarget {
		d.engine.Probed(began, t.id, found)
	} else {
		d.engine.NotFound(began, t.id, found)
	}
	if found == placement.FoundTarget {
		return
	}
	d.w.counts.absent++
	if why != simTold {
		d.tellAbsent(t, why)
	}
}

func (d *simDaemon) tellAbsent(t *simTarget, why simWhy) {
	if !recently(d.probes.told, t.id, d.w.at, simToldEvery) {
		for _, peer := range d.w.daemons {
			if peer != d && peer.zone == d.zone {
				d.w.after(d.w.delay(false), func() { peer.soon(func() { peer.told(t.id) }) })
			}
		}
	}
	if why == simMissed && d.died() {
		d.search(t)
	}
}

// told handles another daemon's report that it did not find a target.
func (d *simDaemon) told(id model.TargetID) {
	if d.engine.Loads().Open(id) > 0 {
		d.probe(id, simTold)
		return
	}
	d.engine.Told(d.w.now(), id)
}

// died records that a target was not found, and reports whether so many were that others of its zone should be
// probed.
func (d *simDaemon) died() bool {
	p := &d.probes
	p.deaths = append(p.deaths, d.w.at)
	p.deaths = p.deaths[max(len(p.deaths)-simMassDeaths, 0):]
	if len(p.deaths) < simMassDeaths || d.w.at-p.deaths[0] > simMassTime || d.w.at-p.searched < simToldEvery {
		return false
	}
	p.searched = d.w.at
	return true
}

func (d *simDaemon) search(dead *simTarget) {
	for _, svc := range d.engine.Lists().Services {
		for _, t := range slices.Clone(svc.Targets) {
			if t.Zone.Name == dead.zone && !t.Lapsed && t.ID != dead.id && d.engine.Loads().Open(t.ID) > 0 {
				d.probe(t.ID, simNear)
			}
		}
	}
}
