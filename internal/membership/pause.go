package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// run begins each call of the List. It detects a pause of this process and renews the lease.
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

// start handles the first call of the List.
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

// wakeUp clears readiness after a pause. The timeouts of all other machines and zones restart, because heartbeats missed
// during the pause do not indicate a failure.
//
// The lease remains ended until the next call, by which time the View without self has been published.
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

// beginWaking starts to collect contacts with machines of the own zone.
func (l *List) beginWaking(now time.Time) {
	l.waking = waking{active: true, since: now, heard: make(map[model.MachineID]struct{})}
	l.waking.needed = l.expectedPeers()
}

// expectedPeers returns the number of other machines of the own zone that form a majority, with self, of those that may
// be running.
func (l *List) expectedPeers() int {
	n := 0
	for _, m := range l.home.members {
		if m.state != Dead && m.state != Left && m.entry.State == model.MachineLive {
			n++
		}
	}
	return (n + 1) / 2
}

// judgeSelf returns SelfAwake once heartbeats from enough machines of the own zone have been received, or the timeout for
// the remaining ones has expired.
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

// patience returns how long to wait, after a start or a pause, for heartbeats from machines of the own zone.
func (l *List) patience() time.Duration {
	if l.waking.anyone {
		return l.cfg.DeadAfter
	}
	return l.cfg.AloneAfter
}
