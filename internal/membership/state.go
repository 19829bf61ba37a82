package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
)

// The functions of this file are the only ones that change the state of a member.

// claim is what a machine tells of itself, or a rumour tells in its name.
type claim struct {
	incarnation uint64
	epoch       uint32
	ready       bool
	leaving     bool
}

// alive takes a claim that is newer than what is known, or the first evidence of a silent machine.
func (l *List) alive(now time.Time, m *member, c claim) []Action {
	before := *m
	m.state = Alive
	m.incarnation, m.epoch = c.incarnation, c.epoch
	m.ready, m.leaving = c.ready, c.leaving
	m.heard = now
	return l.changed(before, m)
}

// suspect starts the questions about a silent machine.
func (l *List) suspect(m *member) []Action {
	before := *m
	m.state = Suspect
	return l.changed(before, m)
}

// dead takes a judgement of this machine or of its zone.
func (l *List) dead(m *member, incarnation uint64, epoch uint32) []Action {
	before := *m
	m.state = Dead
	m.incarnation, m.epoch = incarnation, epoch
	return l.changed(before, m)
}

// leave takes the end of a planned stop.
func (l *List) leave(m *member, incarnation uint64, epoch uint32) []Action {
	before := *m
	m.state = Left
	m.incarnation, m.epoch = incarnation, epoch
	return l.changed(before, m)
}

// presume counts the silence of a machine anew.
func (l *List) presume(now time.Time, m *member) {
	if m.state.here() {
		m.state = Alive
		m.heard = now
	}
}

// forget drops what is known of a machine's presence, but not its incarnation.
func (l *List) forget(m *member) {
	m.state = Unknown
}

// changed queues the news of a change and reports it.
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

func claimOf(r wire.Rumour) claim {
	return claim{
		incarnation: r.Incarnation,
		epoch:       r.Epoch,
		ready:       r.State == wire.RumourReady,
		leaving:     r.State == wire.RumourLeaving,
	}
}
