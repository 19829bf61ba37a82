package modelcheck

const (
	daemons = 3
	maxLog  = 10
	maxHops = 2
)

// target is one of the two targets, or 0 for none.
type target int8

const (
	targetA target = 1
	targetB target = 2
)

// defaultOf returns the flow's default target in the lists of a generation.
func defaultOf(generation int8) target {
	return targetA + target(generation)
}

// set is a bit set of daemons or of generations.
type set uint8

func (s set) has(d int) bool     { return s&(1<<d) != 0 }
func (s set) with(d int) set     { return s | 1<<d }
func (s set) without(d int) set  { return s &^ (1 << d) }
func (s set) first() (int, bool) { return s.firstWhere(func(int) bool { return true }) }

func (s set) firstWhere(ok func(int) bool) (int, bool) {
	for d := range daemons {
		if s.has(d) && ok(d) {
			return d, true
		}
	}
	return 0, false
}

// record is one entry of a log. A value that is none of the constants below is the target of an exception.
type record int8

const (
	// recordRemove withdraws the exception of a flow that the daemon no longer has. recordSettled withdraws
	// that of a flow whose target became its default one.
	recordRemove  record = 0
	recordSettled record = 9
	// recordGeneration plus a generation says that the records after it are by the lists of that generation.
	recordGeneration record = 10
)

// position is the content of a log up to one of its positions: the flow's exception, or 0, and the
// generation of the lists.
type position struct {
	exception  target
	generation int8
}

// target returns the target of the exception or, without one, the default target of the generation.
func (p position) target() target {
	if p.exception != 0 {
		return p.exception
	}
	return defaultOf(p.generation)
}

// marks are bits that say which moments of the sending daemon a mark is later than.
type marks uint8

const (
	// sinceSeen is set if the mark is later than the flow's first packet under its present owner.
	sinceSeen marks = 1
	// sinceChange is set if the mark is later than the last change of the owners.
	sinceChange marks = 2
)

// logCopy is a daemon's replica of another daemon's log. Its content is the log up to pos.
type logCopy struct {
	synced bool
	pos    int8
	// echoed holds the marks acknowledged by a complete log, heard those acknowledged by any log.
	echoed, heard marks
	// dropped is true if the exception was dropped from the replica of a retired log.
	dropped bool
}

// batch is a log batch in flight.
type batch struct {
	present  bool
	pos      int8
	echo     marks
	complete bool
	// owners are those in the sender's view.
	owners set
}

// daemon is one daemon. Sets and arrays are indexed by daemon.
type daemon struct {
	up, ready, leaving bool
	// here and owners are the daemon's view: the reachable members and the owners.
	here, owners set
	holds        set // generations of the lists that the daemon has
	generation   int8

	// table is the flow's target in the daemon's flow table, or 0; exception is true if it is logged as one.
	table     target
	exception bool
	log       [maxLog]record
	logLen    int8
	// base is the generation at the start of the log.
	base int8
	// complete is true if the log names every exception of the flows that the daemon owns.
	complete bool

	copies [daemons]logCopy
	// received are the marks received from each other daemon.
	received [daemons]marks
	// sent are the batches in flight to each other daemon.
	sent [daemons]batch

	// seen is 1 + the owner under which the daemon last saw a packet of the flow, or 0.
	seen int8

	// unsettled is true during an ownership transition and delegating during its first step. doubting is
	// true if a target was uncertain, so that the transition must start again.
	unsettled, delegating, doubting bool
	// appeared are the owners added in the present transition, ceased those removed.
	appeared, ceased set
	// former is 1 + the daemon that the flow is delegated to, or 0.
	former int8
}

// packet is a packet in flight between daemons. hops counts how often it was forwarded.
type packet struct {
	present, syn, delegated bool
	to, from                int8
	hops                    int8
}

// state is one state of the whole model. It is comparable.
type state struct {
	d           [daemons]daemon
	packet      packet
	established target
	// excused is true once an owner crashed before every live daemon had the flow's record. The protocol does
	// not protect the flow then, so such states are not explored.
	excused bool
	left    Budget
}

// Budget bounds the events of a run.
type Budget struct {
	// Machines is the number of daemons, 2 or 3, including the joining one.
	Machines int8
	// Crashes, Stops and Joins bound how often a daemon crashes, stops as planned, or joins.
	Crashes, Stops, Joins int8
	// Switches is 1 if the lists change once, else 0.
	Switches int8
	// Batches bounds the log batches in flight at the same time.
	Batches int8
	// Joiner is the daemon that is down at first if Joins is 1.
	Joiner int8
}

// at returns the content of a daemon's log up to a position.
func (m *daemon) at(pos int8) position {
	p := position{generation: m.base}
	for _, r := range m.log[:pos] {
		switch {
		case r == recordRemove || r == recordSettled:
			p.exception = 0
		case r >= recordGeneration:
			p.generation = int8(r - recordGeneration)
		default:
			p.exception = target(r)
		}
	}
	return p
}

// end returns the content of the whole log.
func (m *daemon) end() position {
	return m.at(m.logLen)
}

func (m *daemon) append(r record) {
	m.log[m.logLen] = r
	m.logLen++
}

// addException logs that the flow has a target other than its default one.
func (m *daemon) addException(t target) {
	if m.end().exception != t {
		m.append(record(t))
	}
}

// removeException logs the withdrawal of the exception, if there is one, with record r.
func (m *daemon) removeException(r record) {
	if m.end().exception != 0 {
		m.append(r)
	}
}

// copyAt returns the content of daemon d's replica of another daemon's log.
func (s *state) copyAt(d, other int) position {
	c := s.d[d].copies[other]
	p := s.d[other].at(c.pos)
	if c.dropped {
		p.exception = 0
	}
	return p
}

// initial returns the state in which the running daemons know each other and the flow does not exist.
func initial(b Budget) state {
	s := state{left: b}
	all := set(0)
	for d := range int(b.Machines) {
		if b.Joins == 0 || int(b.Joiner) != d {
			all = all.with(d)
		}
	}
	for d := range daemons {
		if !all.has(d) {
			continue
		}
		s.d[d] = daemon{up: true, ready: true, here: all, owners: all, holds: set(1), complete: true}
		for o := range daemons {
			s.d[d].copies[o].synced = o != d && all.has(o)
		}
	}
	return s
}
