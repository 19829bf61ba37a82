package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
)

// Only the functions in this file change the state of a member.

// claim is the state that a machine reports of itself, in a heartbeat or in a gossip update that others pass on.
type claim struct {
	incarnation uint64
	epoch       uint32
	ready       bool
	leaving     bool
}

// alive applies a claim that is newer than the current state, or that shows an unresponsive machine to be alive.
func (l *List) alive(now time.Time, m *member, c claim) []Action {
	before := *m
	m.state = Alive
	m.incarnation, m.epoch = c.incarnation, c.epoch
	m.ready, m.leaving = c.ready, c.leaving
	m.heard = now
	return l.changed(before, m)
}

// suspect marks an unresponsive machine as suspect.
func (l *List) suspect(m *member) []Action {
	before := *m
	m.state = Suspect
	return l.changed(before, m)
}

// dead applies the detection of a failure, by this machine or as reported by another.
func (l *List) dead(m *member, incarnation uint64, epoch uint32) []Action {
	before := *m
	m.state = Dead
	m.incarnation, m.epoch = incarnation, epoch
	return l.changed(before, m)
}

// leave applies the end of a planned stop.
func (l *List) leave(m *member, incarnation uint64, epoch uint32) []Action {
	before := *m
	m.state = Left
	m.incarnation, m.epoch = incarnation, epoch
	return l.changed(before, m)
}

// presume restarts the timeout of a machine that is alive or suspect.
func (l *List) presume(now time.Time, m *member) {
	if m.state.here() {
		m.state = Alive
		m.heard = now
	}
}

// forget resets the state of a machine but keeps its incarnation.
func (l *List) forget(m *member) {
	m.state = Unknown
}

// changed compares a member with its state before. If it has changed, it queues a gossip update and returns a
// MemberChanged action. The times of contact are not part of the comparison.
func (l *List) changed(before member, m *member) []Action {
	now := *m
	now.heard, now.direct, now.asked = before.heard, before.direct, before.asked
	if now == before || m.entry == nil {
		return nil
	}
	l.dirty = true
	if m.state != Suspect && m.rumour() != before.rumour() {
		l.news.put(m.rumour())
	}
	return []Action{MemberChanged{
		Member:      m.entry,
		From:        before.state,
		To:          m.state,
		Incarnation: m.incarnation,
		Restarted:   before.incarnation != 0 && before.incarnation != m.incarnation,
	}}
}

// claimOf returns the claim in a gossip update.
func claimOf(r wire.Rumour) claim {
	return claim{
		incarnation: r.Incarnation,
		epoch:       r.Epoch,
		ready:       r.State == wire.RumourReady,
		leaving:     r.State == wire.RumourLeaving,
	}
}
