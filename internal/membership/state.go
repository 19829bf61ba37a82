package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
)

// Only the functions in this file change the state of a member.

// selfReport is the state that a machine reports of itself, in a heartbeat or in a gossip update that others pass on.
type selfReport struct {
	incarnation uint64
	epoch       uint32
	ready       bool
	draining    bool
}

// markAlive applies a report that is newer than the current state, or that shows an unresponsive machine to be alive.
func (l *List) markAlive(now time.Time, m *member, c selfReport) []Action {
	before := *m
	m.state = Alive
	m.incarnation, m.epoch = c.incarnation, c.epoch
	m.ready, m.draining = c.ready, c.draining
	m.seen = now
	return l.reportChange(before, m)
}

// markSuspect marks an unresponsive machine as suspect.
func (l *List) markSuspect(m *member) []Action {
	before := *m
	m.state = Suspect
	return l.reportChange(before, m)
}

// markFailed applies the detection of a failure, by this machine or as reported by another.
func (l *List) markFailed(m *member, incarnation uint64, epoch uint32) []Action {
	before := *m
	m.state = Failed
	m.incarnation, m.epoch = incarnation, epoch
	return l.reportChange(before, m)
}

// markLeft applies the end of a planned stop.
func (l *List) markLeft(m *member, incarnation uint64, epoch uint32) []Action {
	before := *m
	m.state = Left
	m.incarnation, m.epoch = incarnation, epoch
	return l.reportChange(before, m)
}

// restartTimeout restarts the timeout of a machine that is alive or suspect.
func (l *List) restartTimeout(now time.Time, m *member) {
	if m.state.presumedAlive() {
		m.state = Alive
		m.seen = now
	}
}

// resetState resets the state of a machine but keeps its incarnation.
func (l *List) resetState(m *member) {
	m.state = Unknown
}

// reportChange compares a member with its state before. If it has changed, it queues a gossip update and returns a
// MemberChanged action. The times of contact are not part of the comparison.
func (l *List) reportChange(before member, m *member) []Action {
	now := *m
	now.seen, now.lastHeartbeat, now.probedAt = before.seen, before.lastHeartbeat, before.probedAt
	if now == before || m.entry == nil {
		return nil
	}
	l.dirty = true
	if m.state != Suspect && m.gossipUpdate() != before.gossipUpdate() {
		l.gossip.put(m.gossipUpdate())
	}
	return []Action{MemberChanged{
		Member:      m.entry,
		From:        before.state,
		To:          m.state,
		Incarnation: m.incarnation,
		Restarted:   before.incarnation != 0 && before.incarnation != m.incarnation,
	}}
}

// selfReportOf returns the self-reported state in a gossip update.
func selfReportOf(r wire.GossipUpdate) selfReport {
	return selfReport{
		incarnation: r.Incarnation,
		epoch:       r.Epoch,
		ready:       r.State == wire.GossipReady,
		draining:    r.State == wire.GossipDraining,
	}
}
