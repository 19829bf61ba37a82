package modelcheck

import "fmt"

// event describes a step of the model. It is formatted only for a trace.
type event struct {
	format string
	a, b   int
	packet packet
}

// String formats the event for a trace.
func (e event) String() string {
	switch e.format {
	case "":
		return ""
	case formatArrival:
		return fmt.Sprintf(e.format, e.packet.syn, e.a)
	case formatForwarded:
		return fmt.Sprintf(e.format, e.packet.syn, e.packet.forwards, e.packet.delegated, e.a)
	case formatLost:
		return e.format
	}
	if e.b < 0 {
		return fmt.Sprintf(e.format, e.a)
	}
	return fmt.Sprintf(e.format, e.a, e.b)
}

const (
	formatArrival   = "packet (syn %v) arrives at %d"
	formatForwarded = "packet (syn %v, forwards %d, delegated %v) forwarded to %d"
	formatLost      = "forwarded packet lost"
)

func oneArgEvent(format string, a int) event    { return event{format: format, a: a, b: -1} }
func twoArgEvent(format string, a, b int) event { return event{format: format, a: a, b: b} }

// successors returns the successor state of each possible event, together with the events.
func (m *model) successors(s state) (states []state, events []event) {
	add := func(e event, next ...state) {
		for _, n := range next {
			n.canonicalize()
			states = append(states, n)
			events = append(events, e)
		}
	}
	m.packetEvents(s, add)
	for d := range numDaemons {
		if s.d[d].up {
			m.localEvents(s, d, add)
			m.pairEvents(s, d, add)
			m.membershipEvents(s, d, add)
		}
	}
	m.lifecycleEvents(s, add)
	return states, events
}

type addFunc func(e event, next ...state)

// packetEvents adds the arrival of a packet from the fabric or, while a packet is in flight, its loss and
// its arrival.
func (m *model) packetEvents(s state, add addFunc) {
	if !s.packet.present {
		for d := range numDaemons {
			if s.d[d].up {
				p := packet{syn: s.established == 0}
				add(event{format: formatArrival, a: d, packet: p}, m.handle(s, d, p)...)
			}
		}
		return
	}
	without := s
	without.packet = packet{}
	add(event{format: formatLost}, without)
	if to := int(s.packet.to); s.d[to].up {
		add(event{format: formatForwarded, a: to, packet: s.packet}, m.handle(s, to, s.packet)...)
	}
}

// handle returns the states that can follow when daemon d receives a packet.
func (m *model) handle(s state, d int, p packet) []state {
	m.next = nil
	m.receive(s, d, p)
	return m.next
}

// localEvents adds the events that involve only daemon d.
func (m *model) localEvents(s state, d int, add addFunc) {
	if next, ok := m.advanceTransition(s, d); ok {
		add(oneArgEvent("%d advances its ownership transition", d), next)
	}
	if s.budget.ListChanges > 0 && s.d[d].generation == 0 {
		add(oneArgEvent("%d applies the lists of generation 1", d), m.applyLists(s, d))
	}
	if s.hasAllReplicas(d) && (s.logReplicated(d) || m.mutation == ReadyBeforeReplicated) {
		next := s
		next.d[d].ready = true
		next.d[d].owners = next.d[d].owners.with(d)
		m.ownersChanged(&next, d, set(0).with(d), 0)
		add(oneArgEvent("%d becomes ready", d), next)
	}
	if s.d[d].draining && (m.mutation == StopWithoutAck || s.logAcknowledged(d)) {
		next := s
		next.d[d].up = false
		next.dropBatches(d)
		add(oneArgEvent("%d has stopped", d), next)
	}
}

// hasAllReplicas reports whether the joining daemon d has a replica of the log of every reachable peer.
func (s *state) hasAllReplicas(d int) bool {
	if s.d[d].ready || s.d[d].draining {
		return false
	}
	for o := range numDaemons {
		if o != d && s.d[d].reachable.has(o) && !s.d[d].replicas[o].synced {
			return false
		}
	}
	return true
}

// logReplicated reports whether all reachable live peers know d as a member and have applied its whole log.
func (s *state) logReplicated(d int) bool {
	for o := range numDaemons {
		if o != d && s.d[d].reachable.has(o) && s.d[o].up && (!s.d[o].reachable.has(d) || !s.d[o].replicas[d].synced || s.d[o].replicas[d].pos < s.d[d].logLen) {
			return false
		}
	}
	return true
}

// logAcknowledged reports whether every reachable peer has applied d's whole log.
func (s *state) logAcknowledged(d int) bool {
	for o := range numDaemons {
		if o == d || !s.d[d].reachable.has(o) {
			continue
		}
		rep := s.d[o].replicas[d]
		if !s.d[o].up || !rep.synced || rep.pos < s.d[d].logLen {
			return false
		}
	}
	return true
}

// dropBatches drops the batches in flight from and to a stopped daemon.
func (s *state) dropBatches(d int) {
	s.d[d].sentBatches = [numDaemons]batch{}
	for o := range numDaemons {
		s.d[o].sentBatches[d] = batch{}
	}
}

// pairEvents adds the messages between d and each other daemon.
func (m *model) pairEvents(s state, d int, add addFunc) {
	for o := range numDaemons {
		if o == d || !s.d[o].up || !s.d[d].reachable.has(o) {
			continue
		}
		m.markEvent(s, d, o, add)
		m.batchEvents(s, o, d, add)
		if !s.d[d].replicas[o].synced {
			next := s
			next.d[d].replicas[o] = replica{synced: true, pos: s.d[o].logLen}
			if !s.d[d].ready {
				next.copyReplicas(d, o)
			}
			m.takeOverException(&next, d)
			add(twoArgEvent("%d fetches snapshots of %d", d, o), next)
		}
	}
}

// copyReplicas gives a starting daemon the replicas of other daemons' logs that a peer holds.
func (s *state) copyReplicas(d, peer int) {
	for o := range numDaemons {
		peerReplica := s.d[peer].replicas[o]
		if o != d && o != peer && peerReplica.synced && !s.d[d].replicas[o].synced {
			s.d[d].replicas[o] = replica{synced: true, pos: peerReplica.pos, exceptionDropped: peerReplica.exceptionDropped}
		}
	}
}

// markEvent adds the arrival of a mark of d at o.
func (m *model) markEvent(s state, d, o int, add addFunc) {
	bits := marks(0)
	if s.d[d].seenOwner == int8(o)+1 {
		bits |= afterFirstPacket
	}
	if s.d[d].inTransition {
		bits |= afterOwnerChange
	}
	if !s.d[o].reachable.has(d) || s.d[o].receivedMarks[d]|bits == s.d[o].receivedMarks[d] {
		return
	}
	next := s
	next.d[o].receivedMarks[d] |= bits
	add(twoArgEvent("a mark of %d reaches %d", d, o), next)
}

// batchEvents adds the sending of a log batch from o to d and the arrival of the batch in flight. Only a
// batch that reaches the end of the log acknowledges marks.
func (m *model) batchEvents(s state, o, d int, add addFunc) {
	if s.d[o].sentBatches[d].present {
		add(twoArgEvent("a batch of %d reaches %d", o, d), m.applyBatch(s, o, d))
	}
	rep := s.d[d].replicas[o]
	if !rep.synced || !s.d[o].reachable.has(d) || s.inFlight() >= s.budget.BatchesInFlight {
		return
	}
	for pos := rep.pos; pos <= s.d[o].logLen; pos++ {
		b := batch{present: true, pos: pos, complete: s.d[o].complete, owners: s.d[o].owners}
		if pos == s.d[o].logLen {
			b.acks = s.d[o].receivedMarks[d]
		}
		if (pos == rep.pos && !b.acksNewMarks(&rep)) || s.d[o].sentBatches[d] == b {
			continue
		}
		next := s
		next.d[o].sentBatches[d] = b
		add(twoArgEvent("%d sends a batch to %d", o, d), next)
	}
}

// inFlight counts the batches in flight.
func (s *state) inFlight() int8 {
	n := int8(0)
	for d := range numDaemons {
		for o := range numDaemons {
			if s.d[d].sentBatches[o].present {
				n++
			}
		}
	}
	return n
}

// membershipEvents adds the membership changes of other daemons that d can learn of.
func (m *model) membershipEvents(s state, d int, add addFunc) {
	for o := range numDaemons {
		if o == d {
			continue
		}
		next := s
		self, other := &next.d[d], &s.d[o]
		switch {
		case !other.up && self.reachable.has(o):
			wasOwner := self.owners.has(o)
			self.reachable, self.owners = self.reachable.without(o), self.owners.without(o)
			if wasOwner {
				m.ownersChanged(&next, d, 0, set(0).with(o))
			}
			add(twoArgEvent("%d learns that %d has failed or stopped", d, o), next)
		case other.up && !self.reachable.has(o):
			self.reachable = self.reachable.with(o)
			add(twoArgEvent("%d learns that %d is a member", d, o), next)
		case other.up && other.draining && self.owners.has(o):
			self.owners = self.owners.without(o)
			m.ownersChanged(&next, d, 0, set(0).with(o))
			add(twoArgEvent("%d learns that %d is draining", d, o), next)
		case other.up && other.ready && !other.draining && !self.owners.has(o):
			self.owners = self.owners.with(o)
			m.ownersChanged(&next, d, set(0).with(o), 0)
			add(twoArgEvent("%d learns that %d is ready", d, o), next)
		}
	}
}

// lifecycleEvents adds crashes, planned stops and joins.
func (m *model) lifecycleEvents(s state, add addFunc) {
	for d := range numDaemons {
		if s.budget.Crashes > 0 && s.d[d].up && s.hasOtherOwner(d) {
			next := s
			next.budget.Crashes--
			next.unprotectedCrash = next.unprotectedCrash || s.unprotected(d)
			next.d[d].up = false
			next.dropBatches(d)
			add(oneArgEvent("%d crashes", d), next)
		}
		if s.budget.Stops > 0 && s.d[d].up && s.d[d].ready && !s.d[d].draining && s.hasOtherOwner(d) {
			next := s
			next.budget.Stops--
			next.d[d].draining = true
			next.d[d].owners = next.d[d].owners.without(d)
			m.ownersChanged(&next, d, 0, set(0).with(d))
			add(oneArgEvent("%d starts to drain", d), next)
		}
	}
	if s.budget.Joins > 0 {
		for generation := range s.budget.ListChanges + 1 {
			add(twoArgEvent("%d joins with generation %d", int(s.budget.Joiner), int(generation)), m.join(s, generation))
		}
	}
}

// hasOtherOwner reports whether a daemon other than d is up, ready and not draining.
func (s *state) hasOtherOwner(d int) bool {
	for o := range numDaemons {
		if o != d && s.d[o].up && s.d[o].ready && !s.d[o].draining {
			return true
		}
	}
	return false
}

// unprotected reports whether a crash of d now is the protocol's documented limit: d alone knows the flow's
// target, because a live daemon's replica of d's log gives another one.
func (s *state) unprotected(d int) bool {
	if s.d[d].tableTarget == 0 || s.established == 0 {
		return false
	}
	for o := range numDaemons {
		if o == d || !s.d[o].up || !s.d[o].replicas[d].synced {
			continue
		}
		if s.replicaState(o, d).target() != s.d[d].tableTarget {
			return true
		}
	}
	return false
}

// join starts a daemon that knows only the members and one generation of lists.
func (m *model) join(s state, generation int8) state {
	d := int(s.budget.Joiner)
	s.budget.Joins--
	self := daemon{up: true, generation: generation, base: generation, knownGenerations: set(1 << generation)}
	for o := range numDaemons {
		if o != d && s.d[o].up {
			self.reachable = self.reachable.with(o)
			if s.d[o].ready && !s.d[o].draining {
				self.owners = self.owners.with(o)
			}
		}
	}
	s.d[d] = self
	m.ownersChanged(&s, d, self.owners, 0)
	return s
}
