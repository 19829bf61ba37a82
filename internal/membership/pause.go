package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// beginCall begins each call of the List. It detects a pause of this process and renews the lease.
func (l *List) beginCall(now time.Time) []Action {
	if !l.started {
		l.initialize(now)
		return nil
	}
	gap := elapsed(l.lastCall, now)
	l.lastCall = now
	if gap <= l.cfg.PauseLimit {
		l.lease.renew(now, l.cfg.PauseLimit)
		return nil
	}
	return l.handlePause(now, gap)
}

// initialize handles the first call of the List.
func (l *List) initialize(now time.Time) {
	l.started = true
	l.lastCall = now
	l.nextPeriodic = now
	l.lease.base = now.Add(-time.Nanosecond)
	l.lease.renew(now, l.cfg.PauseLimit)
	for _, z := range l.zones {
		z.seen = now
	}
	l.startJoining(now)
}

// handlePause clears readiness after a pause. The timeouts of all other machines and zones restart, because heartbeats
// missed during the pause do not indicate a failure.
//
// The lease remains expired until the next call, by which time the View without self has been published.
func (l *List) handlePause(now time.Time, gap time.Duration) []Action {
	l.lease.expire()
	for _, m := range l.members {
		l.restartTimeout(now, m)
	}
	for _, z := range l.zones {
		z.seen = now
		z.synced = false
		z.pulledAt = time.Time{}
	}
	l.self.ready = false
	l.self.epoch++
	l.nextPeriodic = now
	l.dirty = true
	l.startJoining(now)
	return []Action{SelfPaused{Gap: gap}}
}

// startJoining starts to collect contacts with machines of the home zone.
func (l *List) startJoining(now time.Time) {
	l.joining = joining{active: true, since: now, seen: make(map[model.MachineID]struct{})}
	l.joining.quorum = l.joinQuorum()
}

// joinQuorum returns the number of other machines of the home zone that form a majority, with self, of those that may
// be running.
func (l *List) joinQuorum() int {
	n := 0
	for _, m := range l.home.members {
		if m.state != Failed && m.state != Left && m.entry.State == model.MachineLive {
			n++
		}
	}
	return (n + 1) / 2
}

// checkJoined returns SelfJoined once heartbeats from enough machines of the home zone have been received, or the
// timeout for the remaining ones has expired.
func (l *List) checkJoined(now time.Time) []Action {
	if !l.joining.active {
		return nil
	}
	enough := l.self.entry != nil && len(l.joining.seen) >= l.joining.quorum
	if !enough && now.Sub(l.joining.since) < l.joinTimeout() {
		return nil
	}
	l.joining = joining{}
	return []Action{SelfJoined{}}
}

// joinTimeout returns how long to wait, after a start or a pause, for heartbeats from machines of the home zone.
func (l *List) joinTimeout() time.Duration {
	if l.joining.anyContact {
		return l.cfg.FailedAfter
	}
	return l.cfg.AloneAfter
}
