package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// run begins each call of the List: it notices a pause of this process and renews the lease.
func (l *List) run(now time.Time) []Action {
	if !l.started {
		l.start(now)
		return nil
	}
	gap := elapsed(l.lastRun, now)
	l.lastRun = now
	if gap <= l.cfg.PauseLimit {
		l.lease.renew(now, l.cfg.PauseLimit)
		return nil
	}
	return l.wakeUp(now, gap)
}

func (l *List) start(now time.Time) {
	l.started = true
	l.lastRun = now
	l.nextRegular = now
	l.lease.base = now.Add(-time.Nanosecond)
	l.lease.renew(now, l.cfg.PauseLimit)
	for _, z := range l.zones {
		z.heard = now
	}
	l.beginWaking(now)
}

// wakeUp gives up readiness after a pause. The silence of the others during the pause says nothing
// of them, so that it is counted anew.
//
// The lease stays ended until the next call, when the View without self is in force.
func (l *List) wakeUp(now time.Time, gap time.Duration) []Action {
	l.lease.end()
	for _, m := range l.members {
		l.presume(now, m)
	}
	for _, z := range l.zones {
		z.heard = now
		z.synced = false
		z.pulled = time.Time{}
	}
	l.self.ready = false
	l.self.epoch++
	l.nextRegular = now
	l.dirty = true
	l.beginWaking(now)
	return []Action{SelfPaused{Gap: gap}}
}

func (l *List) beginWaking(now time.Time) {
	l.waking = waking{active: true, since: now, heard: make(map[model.MachineID]struct{})}
	l.waking.needed = l.expectedPeers()
}

// expectedPeers is the majority of the machines of the own zone that may be here.
func (l *List) expectedPeers() int {
	n := 0
	for _, m := range l.home.members {
		if m.state != Dead && m.state != Left && m.entry.State == model.MachineLive {
			n++
		}
	}
	return (n + 1) / 2
}

// judgeSelf ends the waking when enough of the zone was heard, or when the rest had the time to be
// heard and is not here.
func (l *List) judgeSelf(now time.Time) []Action {
	if !l.waking.active {
		return nil
	}
	enough := l.self.entry != nil && len(l.waking.heard) >= l.waking.needed
	if !enough && now.Sub(l.waking.since) < l.patience() {
		return nil
	}
	l.waking = waking{}
	return []Action{SelfAwake{}}
}

// patience is how long a waking machine waits for machines that it does not hear.
func (l *List) patience() time.Duration {
	if l.waking.anyone {
		return l.cfg.DeadAfter
	}
	return l.cfg.AloneAfter
}
