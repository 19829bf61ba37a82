package modelcheck

// Mutation switches off one mechanism of the protocol, to show that the model checker detects its absence.
type Mutation uint8

// The mutations. NoMutation is the protocol as it is.
const (
	NoMutation Mutation = iota
	// DefaultWithoutAck sends packets to the default target without the owner although no mark is
	// acknowledged, so the replica may lack the flow's exception.
	DefaultWithoutAck
	// NoDelegation decides on unknown flows during an ownership transition without delegating to a previous owner.
	NoDelegation
	// NewestLists gives flows without an exception the default target of the daemon's newest lists instead
	// of that of the lists that the log names.
	NewestLists
	// GenerationFirst logs a new generation of lists before the exceptions that it causes.
	GenerationFirst
	// StopWithoutAck ends a planned stop before the log is acknowledged.
	StopWithoutAck
	// AnyOwnersView accepts acknowledgements from a daemon that sees another set of owners.
	AnyOwnersView
	// AllOwnersAdded counts the owners that a joining daemon already finds as added, like itself.
	AllOwnersAdded
	// NoDelegationToDraining decides on flows of a draining daemon without delegating to it.
	NoDelegationToDraining
	// GuessDefault sends a packet to the newest default target if the lists of the flow's generation are
	// missing.
	GuessDefault
	// OwnerLogOnly trusts the owner's log for flows without an exception, whatever other logs say.
	OwnerLogOnly
	// DefaultLoggedAsEnd withdraws the exception of a flow whose target became its default one with the record
	// for the end of a flow.
	DefaultLoggedAsEnd
	// ReadyBeforeReplicated makes a joining daemon ready before the other daemons replicate its log.
	ReadyBeforeReplicated
	// SwitchInTransition lets the log switch to new lists during an ownership transition.
	SwitchInTransition
)

// model is the protocol with or without a mutation.
type model struct {
	mutation Mutation
	// violation is set when a packet of the established flow reaches another target.
	violation bool
	// next collects the states that an event leads to.
	next []state
}

// deliver delivers a packet to a target and checks the invariant.
func (m *model) deliver(s state, t target, syn bool) {
	s.packet = packet{}
	switch {
	case syn && s.established == 0:
		s.established = t
	case !syn && s.established != t:
		m.violation = true
	}
	m.next = append(m.next, s)
}

// forward forwards a packet to another daemon.
func (m *model) forward(s state, from, to int, p packet, delegated bool) {
	s.packet = packet{present: true, syn: p.syn, delegated: delegated, from: int8(from), to: int8(to), forwards: p.forwards + 1}
	m.next = append(m.next, s)
}

func (m *model) drop(s state) {
	s.packet = packet{}
	m.next = append(m.next, s)
}

// receive models FromFabric and FromPeer of package core.
func (m *model) receive(s state, d int, p packet) {
	if p.delegated {
		m.decideForOwner(s, d, int(p.from), p)
		return
	}
	owner, ok := s.d[d].owners.first()
	switch {
	case !ok:
		m.drop(s)
	case owner == d:
		m.handleOwned(s, d, p)
	case p.forwards > 0:
		m.handleOwnerDispute(s, d, owner, p)
	default:
		m.sendToTargetOrOwner(s, d, owner, p)
	}
}

// sendToTargetOrOwner sends a packet to its target if d's replica of the owner's log gives it, else it
// forwards the packet to the owner. A SYN always goes to the owner.
func (m *model) sendToTargetOrOwner(s state, d, owner int, p packet) {
	if p.syn {
		s.d[d].seenOwner = 0
		m.forward(s, d, owner, p, false)
		return
	}
	if t := m.replicaTarget(&s, d, owner); t != 0 {
		m.deliver(s, t, false)
		return
	}
	m.forward(s, d, owner, p, false)
}

// replicaTarget returns the target that d may send a packet to without the owner, or 0. The replica of the
// owner's log decides once it is known to be newer than the flow's first packet that d received under this owner.
func (m *model) replicaTarget(s *state, d, owner int) target {
	rep := s.d[d].replicas[owner]
	if !rep.synced {
		return 0
	}
	if s.d[d].seenOwner != int8(owner)+1 {
		s.d[d].seenOwner = int8(owner) + 1
		s.resetMarks(d, afterFirstPacket)
		rep = s.d[d].replicas[owner]
	}
	if rep.ackedComplete&afterFirstPacket == 0 && m.mutation != DefaultWithoutAck {
		return 0
	}
	st := s.replicaState(d, owner)
	t := m.targetOf(s, d, st)
	if st.exception == 0 && !s.logsAgree(d, owner, t) && m.mutation != OwnerLogOnly {
		return 0
	}
	return t
}

// logsAgree reports whether no other log that d knows, its own included, gives the flow another target.
// The current owner may not know a flow of a previous owner if the forwarded packet that would have
// announced it was lost.
func (s *state) logsAgree(d, owner int, t target) bool {
	for o := range numDaemons {
		st := s.d[d].logEnd()
		if o != d {
			st = s.replicaState(d, o)
		}
		if o != owner && (o == d || s.d[d].replicas[o].synced) && st.target() != t {
			return false
		}
	}
	return true
}

// targetOf returns the target at a log position: that of the exception or, without one, the default target
// of the position's generation. It returns 0 if d does not hold the lists of that generation.
func (m *model) targetOf(s *state, d int, st logState) target {
	if st.exception != 0 {
		return st.exception
	}
	if m.mutation == NewestLists {
		return defaultTarget(s.d[d].generation)
	}
	if !s.d[d].knownGenerations.has(int(st.generation)) {
		return 0
	}
	return defaultTarget(st.generation)
}

// resetMarks records that the moment of d that bit stands for is now: no mark sent so far is later than it.
func (s *state) resetMarks(d int, bit marks) {
	for o := range numDaemons {
		s.d[d].replicas[o].ackedComplete &^= bit
		s.d[d].replicas[o].acked &^= bit
		s.d[o].receivedMarks[d] &^= bit
		s.d[o].sentBatches[d].acks &^= bit
	}
}

// handleOwned handles a packet of a flow that d owns.
func (m *model) handleOwned(s state, d int, p packet) {
	switch {
	case s.d[d].tableTarget != 0:
		m.deliver(s, s.d[d].tableTarget, p.syn)
	case p.syn:
		m.chooseTarget(s, d)
	default:
		m.handleUnknown(s, d, p)
	}
}

// chooseTarget chooses the target of a new flow. Both targets are explored, except during an ownership
// transition: then the target is the default one by the log's generation, because a daemon that has not
// received the change yet derives the same one.
func (m *model) chooseTarget(s state, d int) {
	if s.d[d].inTransition {
		t := defaultTarget(s.d[d].logEnd().generation)
		s.addFlow(d, t)
		m.deliver(s, t, true)
		return
	}
	for _, t := range []target{targetA, targetB} {
		placed := s
		placed.addFlow(d, t)
		m.deliver(placed, t, true)
	}
}

// addFlow adds the flow to d's table and, if its target is not the default one or another log gives another
// target, as an exception to d's log.
func (s *state) addFlow(d int, t target) {
	otherTarget, ok := s.findException(d, -1)
	loggedDefault := defaultTarget(s.d[d].logEnd().generation)
	s.d[d].tableTarget = t
	if (ok && otherTarget != t) || loggedDefault != t {
		s.d[d].isException = true
		s.d[d].addException(t)
	}
}

// hasLogOf reports whether o is a reachable peer of d or d has a replica of its log, live or retired.
func (s *state) hasLogOf(d, o int) bool {
	return o != d && (s.d[d].reachable.has(o) || s.d[d].replicas[o].synced)
}

// searchOrder returns the order in which replicas are searched: by rank, but with the daemon last at the end. A
// negative last stands for no daemon.
func searchOrder(last int) [numDaemons]int {
	var order [numDaemons]int
	n := 0
	for d := range numDaemons {
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

// findException returns the target of the first exception in d's replicas, in search order.
func (s *state) findException(d, last int) (target, bool) {
	for _, o := range searchOrder(last) {
		if s.hasLogOf(d, o) {
			if st := s.replicaState(d, o); s.d[d].replicas[o].synced && st.exception != 0 {
				return st.exception, true
			}
		}
	}
	return 0, false
}

// previousOwnerLog returns the first daemon in search order whose log may have the target that a previous owner
// chose for the flow.
func (s *state) previousOwnerLog(d, last int) (int, bool) {
	for _, o := range searchOrder(last) {
		if s.hasLogOf(d, o) {
			return o, true
		}
	}
	return 0, false
}

// resolveFromLog returns the target of a flow that a previous owner placed, and whether it is certain. ok is
// false if there is no previous owner.
func (m *model) resolveFromLog(s *state, d, previous int, ok bool, last int) (target, bool) {
	if ok && s.d[d].replicas[previous].synced {
		if st := s.replicaState(d, previous); st.exception != 0 {
			return st.exception, true
		}
	}
	if t, found := s.findException(d, last); found {
		return t, true
	}
	if !ok {
		return defaultTarget(s.d[d].generation), true
	}
	if s.d[d].replicas[previous].synced {
		if t := m.targetOf(s, d, s.replicaState(d, previous)); t != 0 {
			return t, true
		}
	}
	return defaultTarget(s.d[d].generation), false
}

// resolveTarget is resolveFromLog with the previous owner that d's replicas give.
func (m *model) resolveTarget(s *state, d int) (target, bool) {
	previous, ok := s.previousOwnerLog(d, -1)
	return m.resolveFromLog(s, d, previous, ok, -1)
}

// handleUnknown decides on a packet of a flow that d owns but does not know. During an ownership transition the
// packet is delegated to a previous owner. If the target is uncertain, the packet goes to another owner and the
// ownership transition starts again.
func (m *model) handleUnknown(s state, d int, p packet) {
	if p.forwards < maxForwards && m.mutation != NoDelegation {
		if previous, ok := m.assignDelegate(&s, d); ok {
			m.forward(s, d, previous, p, true)
			return
		}
	}
	t, certain := m.resolveTarget(&s, d)
	if !certain && p.forwards < maxForwards {
		if other, ok := s.d[d].owners.firstWhere(func(o int) bool { return o != d }); ok {
			s.d[d].complete = false
			s.d[d].restartTransition = true
			m.forward(s, d, other, p, true)
			return
		}
	}
	m.takeOver(s, d, t, certain, p)
}

// takeOver sends a packet of an unknown flow to its target and adds the flow to the table. A packet whose
// target is uncertain is dropped; the caller retransmits it.
func (m *model) takeOver(s state, d int, t target, certain bool, p packet) {
	if !certain && m.mutation != GuessDefault {
		m.drop(s)
		return
	}
	s.addFlow(d, t)
	m.deliver(s, t, p.syn)
}

// assignDelegate returns the daemon that packets of the unknown flow are delegated to. It models the choice
// of a previous owner in package core.
func (m *model) assignDelegate(s *state, d int) (int, bool) {
	self := &s.d[d]
	if self.previousOwner != 0 && self.reachable.has(int(self.previousOwner)-1) {
		return int(self.previousOwner) - 1, true
	}
	if !self.delegating {
		return 0, false
	}
	previousOwner, ok := m.ownerBeforeTransition(self, d)
	if ok {
		self.previousOwner = int8(previousOwner) + 1
	}
	return previousOwner, ok
}

// ownerBeforeTransition returns the daemon that owned the flow before the current ownership transition: the first
// reachable previous owner in the flow's order of owners. If d was an owner itself, it is a removed owner
// that precedes d or, failing that, an added one, which may have been an owner on the other side of a
// partition.
func (m *model) ownerBeforeTransition(self *daemon, d int) (int, bool) {
	removed := self.removed & self.reachable
	if m.mutation == NoDelegationToDraining {
		removed = 0
	}
	if self.added.has(d) {
		return (self.owners&^self.added | removed).firstWhere(func(o int) bool { return o != d })
	}
	if previous, ok := removed.firstWhere(func(o int) bool { return o < d }); ok {
		return previous, true
	}
	return (self.owners & self.added).firstWhere(func(o int) bool { return o != d })
}

// decideForOwner decides on a packet that the owner delegated to d because it does not know the flow.
func (m *model) decideForOwner(s state, d, owner int, p packet) {
	if s.d[d].tableTarget != 0 {
		m.deliver(s, s.d[d].tableTarget, p.syn)
		return
	}
	previous, ok := s.previousOwnerLog(d, owner)
	t, certain := m.resolveFromLog(&s, d, previous, ok, owner)
	m.takeOver(s, d, t, certain, p)
}

// handleOwnerDispute handles a packet that was forwarded to d although d considers another daemon the owner.
func (m *model) handleOwnerDispute(s state, d, owner int, p packet) {
	switch {
	case !p.syn && s.d[d].tableTarget != 0:
		m.deliver(s, s.d[d].tableTarget, false)
	case p.forwards < maxForwards:
		m.forward(s, d, owner, p, false)
	case p.syn:
		m.drop(s)
	default:
		t, certain := m.resolveTarget(&s, d)
		if !certain && m.mutation != GuessDefault {
			m.drop(s)
			return
		}
		m.deliver(s, t, false)
	}
}

// applyBatch applies a log batch to d's replica and updates d's own flow accordingly.
func (m *model) applyBatch(s state, from, d int) state {
	b := s.d[from].sentBatches[d]
	s.d[from].sentBatches[d] = batch{}
	rep := &s.d[d].replicas[from]
	if !s.d[d].reachable.has(from) || !rep.synced || b.pos < rep.pos {
		return s
	}
	oldPos := rep.pos
	rep.pos = b.pos
	if b.owners == s.d[d].owners || m.mutation == AnyOwnersView {
		rep.acked |= b.acks
		if b.complete {
			rep.ackedComplete |= b.acks
		}
	}
	s.dropConflicting(d, from, oldPos)
	m.takeOverException(&s, d)
	return s
}

// dropConflicting drops the flow from d's table if its owner's new log records give it another target or none.
func (s *state) dropConflicting(d, from int, oldPos int8) {
	owner, ok := s.d[d].owners.first()
	if !ok || owner != from {
		return
	}
	for _, r := range s.d[from].log[oldPos:s.d[d].replicas[from].pos] {
		if r >= recordBecameDefault {
			continue
		}
		if r == recordRemove {
			s.dropRetiredExceptions(d)
		}
		if s.d[d].tableTarget != 0 && s.d[d].tableTarget != target(r) {
			s.removeFlow(d)
		}
	}
}

// removeFlow removes the flow from d's table.
func (s *state) removeFlow(d int) {
	s.d[d].tableTarget = 0
	s.d[d].isException = false
	s.d[d].removeException(recordRemove)
}

// dropRetiredExceptions drops the flow's exception from the retired replicas: those of unreachable daemons.
func (s *state) dropRetiredExceptions(d int) {
	for o := range numDaemons {
		if o != d && !s.d[d].reachable.has(o) && s.d[d].replicas[o].synced {
			s.d[d].replicas[o].exceptionDropped = true
		}
	}
}

// takeOverException takes over the exception of another log if d owns the flow and does not have it in its
// table.
func (m *model) takeOverException(s *state, d int) {
	owner, ok := s.d[d].owners.first()
	if !ok || owner != d || s.d[d].tableTarget != 0 {
		return
	}
	if t, found := s.findException(d, -1); found {
		s.d[d].tableTarget = t
		s.d[d].isException = true
		s.d[d].addException(t)
	}
}

// ownersChanged models how package core applies a view in which the owners changed.
func (m *model) ownersChanged(s *state, d int, added, removed set) {
	s.startTransition(d, added, removed)
	if added.has(d) && m.mutation != AllOwnersAdded {
		s.d[d].added = added
	}
	m.takeOverException(s, d)
}

// startTransition starts d's ownership transition, or extends the one in progress by a further change.
func (s *state) startTransition(d int, added, removed set) {
	self := &s.d[d]
	self.complete = false
	self.restartTransition = false
	if !self.inTransition {
		self.added, self.removed = 0, 0
		self.previousOwner = 0
	}
	self.inTransition, self.delegating = true, true
	self.added |= added
	self.removed = (self.removed | removed) &^ added
	s.resetMarks(d, afterOwnerChange)
}

// advanceTransition advances d's ownership transition by one step and reports whether a step was due. If the
// flow was delegated, the first step ends the delegation and the second takes the flow over. The last step
// marks the log complete and switches it to the newest lists.
func (m *model) advanceTransition(s state, d int) (state, bool) {
	self := &s.d[d]
	if self.restartTransition {
		s.startTransition(d, 0, 0)
		return s, true
	}
	if !self.inTransition || !s.replicasCurrent(d) {
		return s, false
	}
	if self.delegating && self.previousOwner != 0 {
		self.delegating = false
		s.resetMarks(d, afterOwnerChange)
		return s, true
	}
	if self.previousOwner != 0 {
		m.takeOverDelegated(&s, d)
	}
	self.inTransition, self.delegating = false, false
	self.previousOwner, self.added, self.removed = 0, 0, 0
	self.complete = true
	m.switchGeneration(&s, d)
	return s, true
}

// replicasCurrent reports whether the logs of all other owners, removed but reachable ones included, are newer
// than the change of the owners, and d holds their lists.
func (s *state) replicasCurrent(d int) bool {
	for o := range numDaemons {
		awaited := s.d[d].owners | s.d[d].removed&s.d[d].reachable
		if o == d || !awaited.has(o) {
			continue
		}
		rep := s.d[d].replicas[o]
		if rep.acked&afterOwnerChange == 0 || !s.d[d].knownGenerations.has(int(s.replicaState(d, o).generation)) {
			return false
		}
	}
	return true
}

// takeOverDelegated takes over the delegated flow if d owns it and its target is certain.
func (m *model) takeOverDelegated(s *state, d int) {
	owner, ok := s.d[d].owners.first()
	if !ok || owner != d || s.d[d].tableTarget != 0 {
		return
	}
	previousOwner, found := int(s.d[d].previousOwner)-1, true
	if !s.d[d].reachable.has(previousOwner) {
		previousOwner, found = s.previousOwnerLog(d, -1)
	}
	if t, certain := m.resolveFromLog(s, d, previousOwner, found, -1); certain {
		s.addFlow(d, t)
	}
}

// becameDefaultRecord returns the record that withdraws the exception of a flow whose target became its
// default one.
func (m *model) becameDefaultRecord() record {
	if m.mutation == DefaultLoggedAsEnd {
		return recordRemove
	}
	return recordBecameDefault
}

// applyLists applies the lists of generation 1. During an ownership transition, the log switches to them only
// when the transition finishes.
func (m *model) applyLists(s state, d int) state {
	s.d[d].generation = 1
	s.d[d].knownGenerations = s.d[d].knownGenerations.with(1)
	if !s.d[d].inTransition || m.mutation == SwitchInTransition {
		m.switchGeneration(&s, d)
	}
	return s
}

// switchGeneration models switchGeneration of package core. It logs the exceptions that the new generation
// causes, then the generation, then the withdrawal of exceptions whose target is now the default one.
func (m *model) switchGeneration(s *state, d int) {
	self := &s.d[d]
	if self.logEnd().generation == self.generation {
		return
	}
	needsException := self.tableTarget != 0 && self.tableTarget != defaultTarget(1)
	if m.mutation == GenerationFirst {
		self.append(recordGeneration + 1)
	}
	if needsException && !self.isException {
		self.addException(self.tableTarget)
		self.isException = true
	}
	if m.mutation != GenerationFirst {
		self.append(recordGeneration + 1)
	}
	if self.tableTarget != 0 && !needsException && self.isException {
		self.removeException(m.becameDefaultRecord())
		self.isException = false
	}
}
