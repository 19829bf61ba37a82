package modelcheck

// Mutation switches one mechanism of the protocol off, to show that the check notices.
type Mutation uint8

// The mutations.
const (
	Faithful Mutation = iota
	// SilenceIsDefault sends packets straight although the copy does not cover the flow.
	SilenceIsDefault
	// NoDelegation decides on unknown flows at once after a change of the owners.
	NoDelegation
	// OwnGeneration resolves unnamed flows by the daemon's newest lists, not by those of the log.
	OwnGeneration
	// SwitchFirst logs a new generation before the exceptions that it makes.
	SwitchFirst
	// StopAtOnce ends a planned stop before the log is acknowledged.
	StopAtOnce
	// AnyView relies on a complete log although its owner has another view of the owners.
	AnyView
	// AllAppeared counts the owners that a joining daemon meets as new ones, like itself.
	AllAppeared
	// NoLeaver decides at once on flows of a daemon that leaves.
	NoLeaver
	// Guess sends a packet to the newest default target where the lists of the flow's generation are
	// missing.
	Guess
	// OneLog trusts the owner's log for unnamed flows, whatever other logs say.
	OneLog
	// SettledIsOver withdraws the exception of a flow that became a default one as if the flow were over.
	SettledIsOver
	// UnheardJoin makes a joining daemon ready before the others take its log.
	UnheardJoin
	// SwitchUnsettled lets the log follow new lists while the members are settling.
	SwitchUnsettled
)

// model is the protocol with or without a mutation.
type model struct {
	mutation Mutation
	// violation is set when a packet of the established flow reaches another target.
	violation bool
	// next collects the states that an event leads to.
	next []state
}

// reach ends a packet's way at a target.
func (m *model) reach(s state, t target, syn bool) {
	s.packet = packet{}
	switch {
	case syn && s.established == 0:
		s.established = t
	case !syn && s.established != t:
		m.violation = true
	}
	m.next = append(m.next, s)
}

// hand puts a packet in flight to another daemon.
func (m *model) hand(s state, from, to int, p packet, delegated bool) {
	s.packet = packet{present: true, syn: p.syn, delegated: delegated, from: int8(from), to: int8(to), hops: p.hops + 1}
	m.next = append(m.next, s)
}

func (m *model) drop(s state) {
	s.packet = packet{}
	m.next = append(m.next, s)
}

// arrive is core's FromFabric and FromPeer.
func (m *model) arrive(s state, d int, p packet) {
	if p.delegated {
		m.decideFor(s, d, int(p.from), p)
		return
	}
	owner, ok := s.d[d].owners.first()
	switch {
	case !ok:
		m.drop(s)
	case owner == d:
		m.own(s, d, p)
	case p.hops > 0:
		m.disputed(s, d, owner, p)
	default:
		m.sendStraightOrHop(s, d, owner, p)
	}
}

func (m *model) sendStraightOrHop(s state, d, owner int, p packet) {
	if p.syn {
		s.d[d].seen = 0
		m.hand(s, d, owner, p, false)
		return
	}
	if t := m.covered(&s, d, owner); t != 0 {
		m.reach(s, t, false)
		return
	}
	m.hand(s, d, owner, p, false)
}

// covered returns the target that d may send a packet straight to, or 0.
func (m *model) covered(s *state, d, owner int) target {
	c := s.d[d].copies[owner]
	if !c.synced {
		return 0
	}
	if s.d[d].seen != int8(owner)+1 {
		s.d[d].seen = int8(owner) + 1
		s.forgetMarks(d, sinceSeen)
		c = s.d[d].copies[owner]
	}
	if c.echoed&sinceSeen == 0 && m.mutation != SilenceIsDefault {
		return 0
	}
	p := s.copyAt(d, owner)
	t := m.unnamedOr(s, d, p)
	if p.exception == 0 && !s.undisputed(d, owner, t) && m.mutation != OneLog {
		return 0
	}
	return t
}

// undisputed reports whether no other log that d knows, its own among them, gives the flow another
// target. A flow of a former owner may be unknown to the present one while
// the hop that would tell it was lost.
func (s *state) undisputed(d, owner int, t target) bool {
	for o := range daemons {
		p := s.d[d].end()
		if o != d {
			p = s.copyAt(d, o)
		}
		if o != owner && (o == d || s.d[d].copies[o].synced) && p.target() != t {
			return false
		}
	}
	return true
}

// unnamedOr returns the target at a position: the exception, or the default of the position's
// generation if d holds its lists, or 0.
func (m *model) unnamedOr(s *state, d int, p position) target {
	if p.exception != 0 {
		return p.exception
	}
	if m.mutation == OwnGeneration {
		return defaultOf(s.d[d].generation)
	}
	if !s.d[d].holds.has(int(p.generation)) {
		return 0
	}
	return defaultOf(p.generation)
}

// forgetMarks begins a new moment of d: no mark issued so far is later.
func (s *state) forgetMarks(d int, bit marks) {
	for o := range daemons {
		s.d[d].copies[o].echoed &^= bit
		s.d[d].copies[o].heard &^= bit
		s.d[o].received[d] &^= bit
		s.d[o].sent[d].echo &^= bit
	}
}

func (m *model) own(s state, d int, p packet) {
	switch {
	case s.d[d].table != 0:
		m.reach(s, s.d[d].table, p.syn)
	case p.syn:
		m.place(s, d)
	default:
		m.carryOn(s, d, p)
	}
}

// place chooses the target of a new flow: either, unless the members are settling. Then it is the default
// one of the log, which a daemon that has not heard of the change derives as well.
func (m *model) place(s state, d int) {
	if s.d[d].unsettled {
		t := defaultOf(s.d[d].end().generation)
		s.enter(d, t)
		m.reach(s, t, true)
		return
	}
	for _, t := range []target{targetA, targetB} {
		placed := s
		placed.enter(d, t)
		m.reach(placed, t, true)
	}
}

// enter writes the flow into d's table and, where needed, into its log.
func (s *state) enter(d int, t target) {
	told, ok := s.find(d, -1)
	logged := defaultOf(s.d[d].end().generation)
	s.d[d].table = t
	if (ok && told != t) || logged != t {
		s.d[d].exception = true
		s.d[d].addException(t)
	}
}

// known reports whether d has a copy of another's log, live or retired.
func (s *state) known(d, o int) bool {
	return o != d && (s.d[d].here.has(o) || s.d[d].copies[o].synced)
}

// rankOf is the order in which copies are asked; the daemon named last comes last.
func rankOf(last int) [daemons]int {
	var order [daemons]int
	n := 0
	for d := range daemons {
		if d != last {
			order[n] = d
			n++
		}
	}
	if last >= 0 {
		order[n] = last
	}
	return order
}

// find looks for an exception in d's copies.
func (s *state) find(d, last int) (target, bool) {
	for _, o := range rankOf(last) {
		if s.known(d, o) {
			if p := s.copyAt(d, o); s.d[d].copies[o].synced && p.exception != 0 {
				return p.exception, true
			}
		}
	}
	return 0, false
}

// predecessor returns the daemon that owned the flow before, as far as d's copies tell.
func (s *state) predecessor(d, last int) (int, bool) {
	for _, o := range rankOf(last) {
		if s.known(d, o) {
			return o, true
		}
	}
	return 0, false
}

// resolveFrom returns the target of a flow that a former owner placed, and whether it is sure.
func (m *model) resolveFrom(s *state, d, former int, ok bool, last int) (target, bool) {
	if ok && s.d[d].copies[former].synced {
		if p := s.copyAt(d, former); p.exception != 0 {
			return p.exception, true
		}
	}
	if t, found := s.find(d, last); found {
		return t, true
	}
	if !ok {
		return defaultOf(s.d[d].generation), true
	}
	if s.d[d].copies[former].synced {
		if t := m.unnamedOr(s, d, s.copyAt(d, former)); t != 0 {
			return t, true
		}
	}
	return defaultOf(s.d[d].generation), false
}

func (m *model) resolve(s *state, d int) (target, bool) {
	former, ok := s.predecessor(d, -1)
	return m.resolveFrom(s, d, former, ok, -1)
}

// carryOn decides on a packet of a flow that d owns but does not know.
func (m *model) carryOn(s state, d int, p packet) {
	if p.hops < maxHops && m.mutation != NoDelegation {
		if former, ok := m.delegate(&s, d); ok {
			m.hand(s, d, former, p, true)
			return
		}
	}
	t, sure := m.resolve(&s, d)
	if !sure && p.hops < maxHops {
		if other, ok := s.d[d].owners.firstWhere(func(o int) bool { return o != d }); ok {
			s.d[d].complete = false
			s.d[d].doubting = true
			m.hand(s, d, other, p, true)
			return
		}
	}
	m.takeOver(s, d, t, sure, p)
}

// takeOver sends a packet of an unknown flow to its target and remembers the flow. A packet whose target
// is not sure is dropped: the caller repeats it.
func (m *model) takeOver(s state, d int, t target, sure bool, p packet) {
	if !sure && m.mutation != Guess {
		m.drop(s)
		return
	}
	s.enter(d, t)
	m.reach(s, t, p.syn)
}

// delegate is core's formerOwner.
func (m *model) delegate(s *state, d int) (int, bool) {
	self := &s.d[d]
	if self.former != 0 && self.here.has(int(self.former)-1) {
		return int(self.former) - 1, true
	}
	if !self.delegating {
		return 0, false
	}
	former, ok := m.formerOwner(self, d)
	if ok {
		self.former = int8(former) + 1
	}
	return former, ok
}

// formerOwner returns the daemon that owned the flow before the change that settles: the first in the
// flow's order that was an owner and can be reached. Where d was an owner itself, it is one that comes
// before d: one that ceased to be an owner, or one that appeared and may have been an owner on the other
// side of a partition.
func (m *model) formerOwner(self *daemon, d int) (int, bool) {
	ceased := self.ceased & self.here
	if m.mutation == NoLeaver {
		ceased = 0
	}
	if self.appeared.has(d) {
		return (self.owners&^self.appeared | ceased).firstWhere(func(o int) bool { return o != d })
	}
	if former, ok := ceased.firstWhere(func(o int) bool { return o < d }); ok {
		return former, true
	}
	return (self.owners & self.appeared).firstWhere(func(o int) bool { return o != d })
}

// decideFor decides on a packet that another owner does not know.
func (m *model) decideFor(s state, d, owner int, p packet) {
	if s.d[d].table != 0 {
		m.reach(s, s.d[d].table, p.syn)
		return
	}
	former, ok := s.predecessor(d, owner)
	t, sure := m.resolveFrom(&s, d, former, ok, owner)
	m.takeOver(s, d, t, sure, p)
}

// disputed handles a hop to a daemon that holds another to be the owner.
func (m *model) disputed(s state, d, owner int, p packet) {
	switch {
	case !p.syn && s.d[d].table != 0:
		m.reach(s, s.d[d].table, false)
	case p.hops < maxHops:
		m.hand(s, d, owner, p, false)
	case p.syn:
		m.drop(s)
	default:
		t, sure := m.resolve(&s, d)
		if !sure && m.mutation != Guess {
			m.drop(s)
			return
		}
		m.reach(s, t, false)
	}
}

// apply takes a batch and what it means for d's own flows.
func (m *model) apply(s state, from, d int) state {
	b := s.d[from].sent[d]
	s.d[from].sent[d] = batch{}
	c := &s.d[d].copies[from]
	if !s.d[d].here.has(from) || !c.synced || b.pos < c.pos {
		return s
	}
	old := c.pos
	c.pos = b.pos
	if b.owners == s.d[d].owners || m.mutation == AnyView {
		c.heard |= b.echo
		if b.complete {
			c.echoed |= b.echo
		}
	}
	s.yieldTo(d, from, old)
	m.inherit(&s, d)
	return s
}

// yieldTo drops a flow of d's table that its owner placed elsewhere or no longer names.
func (s *state) yieldTo(d, from int, old int8) {
	owner, ok := s.d[d].owners.first()
	if !ok || owner != from {
		return
	}
	for _, r := range s.d[from].log[old:s.d[d].copies[from].pos] {
		if r >= recordSettled {
			continue
		}
		if r == recordRemove {
			s.dropRetired(d)
		}
		if s.d[d].table != 0 && s.d[d].table != target(r) {
			s.forget(d)
		}
	}
}

// forget drops the flow from d's table.
func (s *state) forget(d int) {
	s.d[d].table = 0
	s.d[d].exception = false
	s.d[d].removeException(recordRemove)
}

// dropRetired forgets the flow in the copies of daemons that are gone.
func (s *state) dropRetired(d int) {
	for o := range daemons {
		if o != d && !s.d[d].here.has(o) && s.d[d].copies[o].synced {
			s.d[d].copies[o].dropped = true
		}
	}
}

// inherit takes in an exception of another log when the flow is d's.
func (m *model) inherit(s *state, d int) {
	owner, ok := s.d[d].owners.first()
	if !ok || owner != d || s.d[d].table != 0 {
		return
	}
	if t, found := s.find(d, -1); found {
		s.d[d].table = t
		s.d[d].exception = true
		s.d[d].addException(t)
	}
}

// viewChanged is core's refreshView for a change of the owners.
func (m *model) viewChanged(s *state, d int, appeared, ceased set) {
	s.unsettle(d, appeared, ceased)
	if appeared.has(d) && m.mutation != AllAppeared {
		s.d[d].appeared = appeared
	}
	m.inherit(s, d)
}

func (s *state) unsettle(d int, appeared, ceased set) {
	self := &s.d[d]
	self.complete = false
	self.doubting = false
	if !self.unsettled {
		self.appeared, self.ceased = 0, 0
		self.former = 0
	}
	self.unsettled, self.delegating = true, true
	self.appeared |= appeared
	self.ceased = (self.ceased | ceased) &^ appeared
	s.forgetMarks(d, sinceChange)
}

// settle is one step of settling, if it is due.
func (m *model) settle(s state, d int) (state, bool) {
	self := &s.d[d]
	if self.doubting {
		s.unsettle(d, 0, 0)
		return s, true
	}
	if !self.unsettled || !s.current(d) {
		return s, false
	}
	if self.delegating && self.former != 0 {
		self.delegating = false
		s.forgetMarks(d, sinceChange)
		return s, true
	}
	if self.former != 0 {
		m.takeIn(&s, d)
	}
	self.unsettled, self.delegating = false, false
	self.former, self.appeared, self.ceased = 0, 0, 0
	self.complete = true
	m.switchLog(&s, d)
	return s, true
}

// current reports whether all other owners were heard of since the change.
func (s *state) current(d int) bool {
	for o := range daemons {
		waited := s.d[d].owners | s.d[d].ceased&s.d[d].here
		if o == d || !waited.has(o) {
			continue
		}
		c := s.d[d].copies[o]
		if c.heard&sinceChange == 0 || !s.d[d].holds.has(int(s.copyAt(d, o).generation)) {
			return false
		}
	}
	return true
}

func (m *model) takeIn(s *state, d int) {
	owner, ok := s.d[d].owners.first()
	if !ok || owner != d || s.d[d].table != 0 {
		return
	}
	former, known := int(s.d[d].former)-1, true
	if !s.d[d].here.has(former) {
		former, known = s.predecessor(d, -1)
	}
	if t, sure := m.resolveFrom(s, d, former, known, -1); sure {
		s.enter(d, t)
	}
}

func (m *model) settledRecord() record {
	if m.mutation == SettledIsOver {
		return recordRemove
	}
	return recordSettled
}

// adopt takes the lists of generation 1. The log follows once the members are settled.
func (m *model) adopt(s state, d int) state {
	s.d[d].generation = 1
	s.d[d].holds = s.d[d].holds.with(1)
	if !s.d[d].unsettled || m.mutation == SwitchUnsettled {
		m.switchLog(&s, d)
	}
	return s
}

// switchLog is core's switchGeneration: first the exceptions of the new generation, then the generation,
// then the exceptions that became defaults.
func (m *model) switchLog(s *state, d int) {
	self := &s.d[d]
	if self.end().generation == self.generation {
		return
	}
	moves := self.table != 0 && self.table != defaultOf(1)
	if m.mutation == SwitchFirst {
		self.append(recordGeneration + 1)
	}
	if moves && !self.exception {
		self.addException(self.table)
		self.exception = true
	}
	if m.mutation != SwitchFirst {
		self.append(recordGeneration + 1)
	}
	if self.table != 0 && !moves && self.exception {
		self.removeException(m.settledRecord())
		self.exception = false
	}
}
