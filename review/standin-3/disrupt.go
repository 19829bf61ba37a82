//go:build review

package main

import "time"

const (
	// restartDelay is the shortest time from the end of a process to its next start, and restartGap the pause between the
	// machines of a rolling restart.
	restartDelay = 300 * time.Millisecond
	restartGap   = 1300 * time.Millisecond
	// lossyTime is how long links lose packets: around the return of the first daemon, in every second round.
	lossyTime = 1200 * time.Millisecond
)

// restarts restarts the daemons in turn, again and again, until the end is near. In every second round the links between the
// zones lose packets for lossyTime when the first daemon comes back.
func (w *world) restarts(end time.Time, a, b *daemon) error {
	for round := 0; time.Until(end) > 16*time.Second; round++ {
		lossy := round%2 == 0
		a.stop()
		if lossy {
			w.setLossy(true)
			go func() {
				time.Sleep(lossyTime)
				w.setLossy(false)
			}()
		}
		a.sleepUntilRestart()
		if err := a.start(); err != nil {
			return err
		}
		time.Sleep(restartGap)
		b.stop()
		time.Sleep(restartDelay)
		if err := b.start(); err != nil {
			return err
		}
		time.Sleep(restartGap)
	}
	return nil
}

// sleepUntilRestart waits for restartDelay, and then until the daemon can be ready shortly before the next readiness check of
// the routers. At other phases of the checks fewer flows meet the fault, at six of ten none.
func (d *daemon) sleepUntilRestart() {
	time.Sleep(restartDelay)
	d.sleepUntilCheck(d.startTime + readyMargin)
}

// readyMargin is how long before a readiness check a restarted daemon is to be ready.
const readyMargin = 40 * time.Millisecond

// measureStart measures how long the daemon takes from its start until it is ready.
func (d *daemon) measureStart(started time.Time) {
	for d.startTime == 0 && time.Since(started) < 2*time.Second {
		if d.w.routers.ready(d) {
			d.startTime = time.Since(started)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

const (
	// outageDelay is the time from the kill of all processes to the start of the first one; the others follow after
	// secondStart and thirdStart.
	outageDelay = 400 * time.Millisecond
	secondStart = 150 * time.Millisecond
	thirdStart  = 250 * time.Millisecond
	// killLead is how long before a readiness check of the first daemon all processes are killed.
	killLead = 50 * time.Millisecond
	// awayTime is how long the store turns the first daemon away after its start.
	awayTime = time.Second
	// outageInterval is the time from one outage to the next.
	outageInterval = 16 * time.Second
)

// outages kills all daemons at once, again and again, and starts them again. The store turns the first one away for a moment as
// it comes back.
func (w *world) outages(end time.Time, a, b, c *daemon) error {
	for time.Until(end) > outageInterval {
		begin := time.Now()
		a.sleepUntilCheck(killLead)
		w.locked(func(now time.Time) {
			w.turnedAway = a
			w.judge.note(now, "all daemons are killed; the store turns %s away", a.name)
		})
		for _, d := range []*daemon{a, b, c} {
			_ = d.cmd.Process.Kill()
		}
		killed := time.Now()
		for _, s := range []struct {
			d     *daemon
			after time.Duration
		}{{a, outageDelay}, {b, outageDelay + secondStart}, {c, outageDelay + thirdStart}} {
			<-s.d.exited
			time.Sleep(time.Until(killed.Add(s.after)))
			if err := s.d.start(); err != nil {
				return err
			}
		}
		time.Sleep(awayTime)
		w.locked(func(now time.Time) {
			w.turnedAway, w.calmSince = nil, now
			w.judge.note(now, "the store serves %s again", a.name)
		})
		time.Sleep(time.Until(begin.Add(outageInterval)))
	}
	return nil
}

// sleepUntilCheck waits until lead before a readiness check of the daemon.
func (d *daemon) sleepUntilCheck(lead time.Duration) {
	var last time.Time
	d.w.locked(func(time.Time) { last = d.checkedAt })
	at := last.Add(-lead)
	for time.Until(at) < 0 {
		at = at.Add(checkInterval)
	}
	time.Sleep(time.Until(at))
}

const (
	// cutTime is how long the zone of the targets is cut off, cutInterval the time from one cut to the next.
	cutTime     = 5 * time.Second
	cutInterval = 16 * time.Second
	// stopAfterCut is the time from the begin of a cut to the planned stop of a daemon.
	stopAfterCut = 8400 * time.Millisecond
)

// zoneCuts cuts the zone of most targets off, again and again, and restarts one daemon as planned some seconds after it is back.
func (w *world) zoneCuts(end time.Time, a, b *daemon) error {
	for round := 0; time.Until(end) > cutInterval; round++ {
		begin := time.Now()
		if err := w.setCut(true); err != nil {
			return err
		}
		time.Sleep(time.Until(begin.Add(cutTime)))
		if err := w.setCut(false); err != nil {
			return err
		}
		time.Sleep(time.Until(begin.Add(stopAfterCut)))
		d := []*daemon{a, b}[round%2]
		d.stop()
		time.Sleep(restartDelay)
		if err := d.start(); err != nil {
			return err
		}
		time.Sleep(time.Until(begin.Add(cutInterval)))
	}
	return nil
}

// setCut begins or ends a cut that loses packets and refuses connections.
func (w *world) setCut(cut bool) (err error) {
	w.locked(func(now time.Time) {
		w.judge.note(now, "%s is cut off: %v", zoneOfTargets, cut)
		w.cut = cut
		if cut {
			w.lossyFrom, w.lossyTo = now, time.Time{}
		} else {
			w.lossyTo = now
		}
		for _, t := range w.targets {
			switch {
			case t.zone == zoneOfClients:
			case cut:
				_ = t.probes.Close()
			case err == nil:
				err = t.listen()
			}
		}
	})
	return err
}
