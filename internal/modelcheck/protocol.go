package modelcheck

// Mutation switches off one mechanism of the protocol, to show that the model checker detects its absence.
type Mutation uint8

// The mutations. Faithful is the protocol without any.
const (
	Faithful Mutation = iota
	// SilenceIsDefault sends packets to the default target without the owner although no mark is
	// acknowledged, so the replica may lack the flow's exception.
	SilenceIsDefault
	// NoDelegation decides on unknown flows during an ownership transition without asking a previous owner.
	NoDelegation
	// OwnGeneration gives flows without an exception the default target of the daemon's newest lists, not
	// of the lists that the log names.
	OwnGeneration
	// SwitchFirst logs a new generation of lists before the exceptions that it causes.
	SwitchFirst
	// StopAtOnce ends a planned stop before the log is acknowledged.
	StopAtOnce
	// AnyView accepts acknowledgements from a daemon that sees another set of owners.
	AnyView
	// AllAppeared counts the owners that a joining daemon already finds as added, like itself.
	AllAppeared
	// NoLeaver decides on flows of a draining daemon without delegating to it.
	NoLeaver
	// Guess sends a packet to the newest default target if the lists of the flow's generation are missing.
	Guess
	// OneLog trusts the owner's log for flows without an exception, whatever other logs say.
	OneLog
	// SettledIsOver withdraws the exception of a flow whose target became its default one with the record
	// for the end of a flow.
	SettledIsOver
	// UnheardJoin makes a joining daemon ready before the other daemons replicate its log.
	UnheardJoin
	// SwitchUnsettled lets the log switch to new lists during an ownership transition.
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

// reach delivers a packet to a target and checks the invariant.
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

// hand forwards a packet to another daemon.
func (m *model) hand(s state, from, to int, p packet, delegated bool) {
	s.packet = packet{present: true, syn: p.syn, delegated: delegated, from: int8(from), to: int8(to), hops: p.hops + 1}
	m.next = append(m.next, s)
}

func (m *model) drop(s state) {
	s.packet = packet{}
	m.next = append(m.next, s)
}

// arrive models FromFabric and FromPeer of package core.
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

// sendStraightOrHop sends a packet to its target if d's replica of the owner's log gives it, else it
// forwards the packet to the owner. A SYN always goes to the owner.
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

// covered returns the target that d may send a packet to without the owner, or 0. The replica of the
// owner's log decides once it is known to be newer than the first packet that d saw under this owner.
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

// undisputed reports whether no other log that d knows, its own included, gives the flow another target.
// The present owner may not know a flow of a previous owner if the forwarded packet that would have told
// it was lost.
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

// unnamedOr returns the target at a log position: that of the exception or, without one, the default target
// of the position's generation. It returns 0 if d does not hold the lists of that generation.
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

// forgetMarks records that one of d's two moments is now: no mark sent so far is later than it.
func (s *state) forgetMarks(d int, bit marks) {
	for o := range daemons {
		s.d[d].copies[o].echoed &^= bit
		s.d[d].copies[o].heard &^= bit
		s.d[o].received[d] &^= bit
		s.d[o].sent[d].echo &^= bit
	}
}

// own handles a packet of a flow that d owns.
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

// place chooses the target of a new flow. Both targets are explored, except during an ownership transition:
// then the target is the default one by the log's generation, because a daemon that has not received the
// change yet derives the same one.
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

// enter adds the flow to d's table and, if its target is not the default one or another log gives another
// target, as an exception to d's log.
func (s *state) enter(d int, t target) {
	told, ok := s.find(d, -1)
	logged := defaultOf(s.d[d].end().generation)
	s.d[d].table = t
	if (ok && told != t) || logged != t {
		s.d[d].exception = true
		s.d[d].addException(t)
	}
}

// known reports whether o is a reachable peer of d or d has a replica of its log, live or retired.
func (s *state) known(d, o int) bool {
	return o != d && (s.d[d].here.has(o) || s.d[d].copies[o].synced)
}

// rankOf returns the order in which replicas are searched: by rank, but with daemon last at the end. A
// negative last changes nothing.
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

// find returns the target of the first exception in d's replicas.
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

// predecessor returns the first daemon in search order whose log may name the flow's previous target.
func (s *state) predecessor(d, last int) (int, bool) {
	for _, o := range rankOf(last) {
		if s.known(d, o) {
			return o, true
		}
	}
	return 0, false
}

// resolveFrom returns the target of a flow that a previous owner placed, and whether it is certain. ok is
// false if there is no previous owner.
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

// resolve is resolveFrom with the previous owner that d's replicas give.
func (m *model) resolve(s *state, d int) (target, bool) {
	former, ok := s.predecessor(d, -1)
	return m.resolveFrom(s, d, former, ok, -1)
}

// carryOn decides on a packet of a flow that d owns but does not know. If the target is uncertain, the
// packet goes to another owner and the ownership transition starts again.
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

// takeOver sends a packet of an unknown flow to its target and adds the flow to the table. A packet whose
// target is uncertain is dropped; the caller retransmits it.
func (m *model) takeOver(s state, d int, t target, sure bool, p packet) {
	if !sure && m.mutation != Guess {
		m.drop(s)
		return
	}
	s.enter(d, t)
	m.reach(s, t, p.syn)
}

// delegate returns the daemon that packets of the unknown flow are delegated to. It models the choice of a
// previous owner in package core.
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

// formerOwner returns the daemon that owned the flow before the present ownership transition: the first
// reachable previous owner in the flow's order of owners. If d was an owner itself, it is a removed owner
// that precedes d or, failing that, an added one, which may have been an owner on the other side of a
// partition.
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

// decideFor decides on a packet that the owner delegated to d because it does not know the flow.
func (m *model) decideFor(s state, d, owner int, p packet) {
	if s.d[d].table != 0 {
		m.reach(s, s.d[d].table, p.syn)
		return
	}
	former, ok := s.predecessor(d, owner)
	t, sure := m.resolveFrom(&s, d, former, ok, owner)
	m.takeOver(s, d, t, sure, p)
}

// disputed handles a packet that was forwarded to d although d considers another daemon the owner.
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

// apply applies a log batch to d's replica and updates d's own flow accordingly.
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

// yieldTo drops the flow from d's table if its owner's new log records give it another target or none.
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

// forget removes the flow from d's table.
func (s *state) forget(d int) {
	s.d[d].table = 0
	s.d[d].exception = false
	s.d[d].removeException(recordRemove)
}

// dropRetired drops the flow's exception from the retired replicas: those of unreachable daemons.
func (s *state) dropRetired(d int) {
	for o := range daemons {
		if o != d && !s.d[d].here.has(o) && s.d[d].copies[o].synced {
			s.d[d].copies[o].dropped = true
		}
	}
}

// inherit takes over the exception of another log if d owns the flow and does not have it in its table.
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

// viewChanged models how package core applies a view in which the owners changed.
func (m *model) viewChanged(s *state, d int, appeared, ceased set) {
	s.unsettle(d, appeared, ceased)
	if appeared.has(d) && m.mutation != AllAppeared {
		s.d[d].appeared = appeared
	}
	m.inherit(s, d)
}

// unsettle starts d's ownership transition, or extends the one in progress by a further change.
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

// settle advances d's ownership transition by one step and reports whether a step was due. The first step
// ends the delegation, the second takes over the delegated flow and marks the log complete.
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

// current reports whether the logs of all other owners, removed but reachable ones included, are newer than
// the change of the owners, and d holds their lists.
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

// takeIn takes over the delegated flow if d owns it and its target is certain.
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

// settledRecord returns the record that withdraws the exception of a flow whose target became its default
// one.
func (m *model) settledRecord() record {
	if m.mutation == SettledIsOver {
		return recordRemove
	}
	return recordSettled
}

// adopt applies the lists of generation 1. During an ownership transition, the log switches to them only
// when the transition finishes.
func (m *model) adopt(s state, d int) state {
	s.d[d].generation = 1
	s.d[d].holds = s.d[d].holds.with(1)
	if !s.d[d].unsettled || m.mutation == SwitchUnsettled {
		m.switchLog(&s, d)
	}
	return s
}

// switchLog models switchGeneration of package core. It logs the exceptions that the new generation causes,
// then the generation, then the withdrawal of exceptions whose target is now the default one.
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
