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
	case arrives:
		return fmt.Sprintf(e.format, e.packet.syn, e.a)
	case handedOn:
		return fmt.Sprintf(e.format, e.packet.syn, e.packet.hops, e.packet.delegated, e.a)
	case lost:
		return e.format
	}
	if e.b < 0 {
		return fmt.Sprintf(e.format, e.a)
	}
	return fmt.Sprintf(e.format, e.a, e.b)
}

const (
	arrives  = "packet (syn %v) arrives at %d"
	handedOn = "packet (syn %v, forwards %d, delegated %v) forwarded to %d"
	lost     = "forwarded packet lost"
)

func one(format string, a int) event    { return event{format: format, a: a, b: -1} }
func two(format string, a, b int) event { return event{format: format, a: a, b: b} }

// successors returns the successor state of each possible event, together with the events.
func (m *model) successors(s state) (states []state, events []event) {
	add := func(e event, next ...state) {
		for _, n := range next {
			n.canonical()
			states = append(states, n)
			events = append(events, e)
		}
	}
	m.packetEvents(s, add)
	for d := range daemons {
		if s.d[d].up {
			m.ownEvents(s, d, add)
			m.pairEvents(s, d, add)
			m.viewEvents(s, d, add)
		}
	}
	m.failures(s, add)
	return states, events
}

type addFunc func(e event, next ...state)

// packetEvents adds the arrival of a packet from the fabric or, while a packet is in flight, its loss and
// its arrival.
func (m *model) packetEvents(s state, add addFunc) {
	if !s.packet.present {
		for d := range daemons {
			if s.d[d].up {
				p := packet{syn: s.established == 0}
				add(event{format: arrives, a: d, packet: p}, m.handle(s, d, p)...)
			}
		}
		return
	}
	without := s
	without.packet = packet{}
	add(event{format: lost}, without)
	if to := int(s.packet.to); s.d[to].up {
		add(event{format: handedOn, a: to, packet: s.packet}, m.handle(s, to, s.packet)...)
	}
}

func (m *model) handle(s state, d int, p packet) []state {
	m.next = nil
	m.arrive(s, d, p)
	return m.next
}

// ownEvents adds the events that involve only daemon d.
func (m *model) ownEvents(s state, d int, add addFunc) {
	if next, ok := m.settle(s, d); ok {
		add(one("%d advances its ownership transition", d), next)
	}
	if s.left.Switches > 0 && s.d[d].generation == 0 {
		add(one("%d applies the lists of generation 1", d), m.adopt(s, d))
	}
	if s.caughtUp(d) && (s.followed(d) || m.mutation == UnheardJoin) {
		next := s
		next.d[d].ready = true
		next.d[d].owners = next.d[d].owners.with(d)
		m.viewChanged(&next, d, set(0).with(d), 0)
		add(one("%d becomes ready", d), next)
	}
	if s.d[d].leaving && (m.mutation == StopAtOnce || s.drained(d)) {
		next := s
		next.d[d].up = false
		next.loseFlight(d)
		add(one("%d has stopped", d), next)
	}
}

// caughtUp reports whether the joining daemon d has a replica of the log of every reachable peer.
func (s *state) caughtUp(d int) bool {
	if s.d[d].ready || s.d[d].leaving {
		return false
	}
	for o := range daemons {
		if o != d && s.d[d].here.has(o) && !s.d[d].copies[o].synced {
			return false
		}
	}
	return true
}

// followed reports whether all reachable live peers know d as a member and have applied its whole log.
func (s *state) followed(d int) bool {
	for o := range daemons {
		if o != d && s.d[d].here.has(o) && s.d[o].up && (!s.d[o].here.has(d) || !s.d[o].copies[d].synced || s.d[o].copies[d].pos < s.d[d].logLen) {
			return false
		}
	}
	return true
}

// drained reports whether every reachable peer has applied d's whole log.
func (s *state) drained(d int) bool {
	for o := range daemons {
		if o == d || !s.d[d].here.has(o) {
			continue
		}
		c := s.d[o].copies[d]
		if !s.d[o].up || !c.synced || c.pos < s.d[d].logLen {
			return false
		}
	}
	return true
}

// loseFlight drops the batches in flight from and to a stopped daemon.
func (s *state) loseFlight(d int) {
	s.d[d].sent = [daemons]batch{}
	for o := range daemons {
		s.d[o].sent[d] = batch{}
	}
}

// pairEvents adds the messages between d and each other daemon.
func (m *model) pairEvents(s state, d int, add addFunc) {
	for o := range daemons {
		if o == d || !s.d[o].up || !s.d[d].here.has(o) {
			continue
		}
		m.markEvent(s, d, o, add)
		m.batchEvents(s, o, d, add)
		if !s.d[d].copies[o].synced {
			next := s
			next.d[d].copies[o] = logCopy{synced: true, pos: s.d[o].logLen}
			if !s.d[d].ready {
				next.takeCopies(d, o)
			}
			m.inherit(&next, d)
			add(two("%d fetches snapshots of %d", d, o), next)
		}
	}
}

// takeCopies gives a starting daemon the replicas of other daemons' logs that a peer holds.
func (s *state) takeCopies(d, peer int) {
	for o := range daemons {
		theirs := s.d[peer].copies[o]
		if o != d && o != peer && theirs.synced && !s.d[d].copies[o].synced {
			s.d[d].copies[o] = logCopy{synced: true, pos: theirs.pos, dropped: theirs.dropped}
		}
	}
}

// markEvent adds the arrival of a mark of d at o.
func (m *model) markEvent(s state, d, o int, add addFunc) {
	bits := marks(0)
	if s.d[d].seen == int8(o)+1 {
		bits |= sinceSeen
	}
	if s.d[d].unsettled {
		bits |= sinceChange
	}
	if !s.d[o].here.has(d) || s.d[o].received[d]|bits == s.d[o].received[d] {
		return
	}
	next := s
	next.d[o].received[d] |= bits
	add(two("a mark of %d reaches %d", d, o), next)
}

// batchEvents adds the sending of a log batch from o to d and the arrival of the batch in flight. Only a
// batch that reaches the end of the log acknowledges marks.
func (m *model) batchEvents(s state, o, d int, add addFunc) {
	if s.d[o].sent[d].present {
		add(two("a batch of %d reaches %d", o, d), m.apply(s, o, d))
	}
	c := s.d[d].copies[o]
	if !c.synced || !s.d[o].here.has(d) || s.inFlight() >= s.left.Batches {
		return
	}
	for pos := c.pos; pos <= s.d[o].logLen; pos++ {
		b := batch{present: true, pos: pos, complete: s.d[o].complete, owners: s.d[o].owners}
		if pos == s.d[o].logLen {
			b.echo = s.d[o].received[d]
		}
		if (pos == c.pos && !b.tellsMarks(&c)) || s.d[o].sent[d] == b {
			continue
		}
		next := s
		next.d[o].sent[d] = b
		add(two("%d sends a batch to %d", o, d), next)
	}
}

// inFlight counts the batches in flight.
func (s *state) inFlight() int8 {
	n := int8(0)
	for d := range daemons {
		for o := range daemons {
			if s.d[d].sent[o].present {
				n++
			}
		}
	}
	return n
}

// viewEvents adds the membership changes of other daemons that d can learn of.
func (m *model) viewEvents(s state, d int, add addFunc) {
	for o := range daemons {
		if o == d {
			continue
		}
		next := s
		self, other := &next.d[d], &s.d[o]
		switch {
		case !other.up && self.here.has(o):
			owned := self.owners.has(o)
			self.here, self.owners = self.here.without(o), self.owners.without(o)
			if owned {
				m.viewChanged(&next, d, 0, set(0).with(o))
			}
			add(two("%d learns that %d has failed or stopped", d, o), next)
		case other.up && !self.here.has(o):
			self.here = self.here.with(o)
			add(two("%d learns that %d is a member", d, o), next)
		case other.up && other.leaving && self.owners.has(o):
			self.owners = self.owners.without(o)
			m.viewChanged(&next, d, 0, set(0).with(o))
			add(two("%d learns that %d is draining", d, o), next)
		case other.up && other.ready && !other.leaving && !self.owners.has(o):
			self.owners = self.owners.with(o)
			m.viewChanged(&next, d, set(0).with(o), 0)
			add(two("%d learns that %d is ready", d, o), next)
		}
	}
}

// failures adds crashes, planned stops and joins.
func (m *model) failures(s state, add addFunc) {
	for d := range daemons {
		if s.left.Crashes > 0 && s.d[d].up && s.anotherOwner(d) {
			next := s
			next.left.Crashes--
			next.excused = next.excused || s.unprotected(d)
			next.d[d].up = false
			next.loseFlight(d)
			add(one("%d crashes", d), next)
		}
		if s.left.Stops > 0 && s.d[d].up && s.d[d].ready && !s.d[d].leaving && s.anotherOwner(d) {
			next := s
			next.left.Stops--
			next.d[d].leaving = true
			next.d[d].owners = next.d[d].owners.without(d)
			m.viewChanged(&next, d, 0, set(0).with(d))
			add(one("%d starts to drain", d), next)
		}
	}
	if s.left.Joins > 0 {
		for generation := range s.left.Switches + 1 {
			add(two("%d joins with generation %d", int(s.left.Joiner), int(generation)), m.join(s, generation))
		}
	}
}

// anotherOwner reports whether a daemon other than d is up, ready and not draining.
func (s *state) anotherOwner(d int) bool {
	for o := range daemons {
		if o != d && s.d[o].up && s.d[o].ready && !s.d[o].leaving {
			return true
		}
	}
	return false
}

// unprotected reports whether a crash of d now is the protocol's documented limit: d alone knows the flow's
// target, because a live daemon's replica of d's log gives another one.
func (s *state) unprotected(d int) bool {
	if s.d[d].table == 0 || s.established == 0 {
		return false
	}
	for o := range daemons {
		if o == d || !s.d[o].up || !s.d[o].copies[d].synced {
			continue
		}
		if s.copyAt(o, d).target() != s.d[d].table {
			return true
		}
	}
	return false
}

// join starts a daemon that knows only the members and one generation of lists.
func (m *model) join(s state, generation int8) state {
	d := int(s.left.Joiner)
	s.left.Joins--
	self := daemon{up: true, generation: generation, base: generation, holds: set(1 << generation)}
	for o := range daemons {
		if o != d && s.d[o].up {
			self.here = self.here.with(o)
			if s.d[o].ready && !s.d[o].leaving {
				self.owners = self.owners.with(o)
			}
		}
	}
	s.d[d] = self
	m.viewChanged(&s, d, self.owners, 0)
	return s
}
