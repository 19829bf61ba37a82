package modelcheck

const (
	daemons = 3
	maxLog  = 10
	maxHops = 2
)

// target is 0 for none.
type target int8

const (
	targetA target = 1
	targetB target = 2
)

// defaultOf returns the flow's default target by the lists of a generation.
func defaultOf(generation int8) target {
	return targetA + target(generation)
}

// set is a set of daemons.
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

// record is one entry of a log.
type record int8

const (
	// recordRemove withdraws the exception of a flow that is over here, recordSettled that of a flow whose
	// target became its default one.
	recordRemove  record = 0
	recordSettled record = 9
	// recordGeneration, plus the generation, names the generation from there on.
	recordGeneration record = 10
)

// position is what a log says at one of its positions.
type position struct {
	exception  target
	generation int8
}

// target returns where the flow goes.
func (p position) target() target {
	if p.exception != 0 {
		return p.exception
	}
	return defaultOf(p.generation)
}

// marks are the bits of a mark that is later than a moment of the daemon that issued it.
type marks uint8

const (
	// sinceSeen is later than the flow's first packet under its present owner.
	sinceSeen marks = 1
	// sinceChange is later than the last change of the owners.
	sinceChange marks = 2
)

// logCopy is a daemon's copy of another's log.
type logCopy struct {
	synced bool
	pos    int8
	// echoed holds marks that a complete log has echoed, heard those that any log has.
	echoed, heard marks
	dropped       bool
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
	// here and owners are the daemon's view.
	here, owners set
	holds        set // of generations
	generation   int8

	table     target
	exception bool
	log       [maxLog]record
	logLen    int8
	// base is the generation at the start of the log.
	base     int8
	complete bool

	copies [daemons]logCopy
	// received are the marks of each other daemon that arrived here.
	received [daemons]marks
	// sent are the batches under way to each other daemon.
	sent [daemons]batch

	// seen is 1 + the owner under which the flow was seen.
	seen int8

	unsettled, delegating, doubting bool
	// appeared became owners in the change that settles; ceased are no owners any more.
	appeared, ceased set
	// former is 1 + the daemon that the flow is delegated to.
	former int8
}

// packet is a packet on its way between daemons.
type packet struct {
	present, syn, delegated bool
	to, from                int8
	hops                    int8
}

// state is one state of the whole system. It is comparable.
type state struct {
	d           [daemons]daemon
	packet      packet
	established target
	// excused is true once the protocol's stated limit has been met.
	excused bool
	left    Budget
}

// Budget bounds the events of a run.
type Budget struct {
	// Machines is the number of daemons, 2 or 3; the joining one is among them.
	Machines int8
	// Crashes, Stops and Joins bound how often a daemon crashes, stops as planned, or joins.
	Crashes, Stops, Joins int8
	// Switches is 1 when the lists change once.
	Switches int8
	// Batches bounds the batches that are under way at a time.
	Batches int8
	// Joiner is the daemon that is down at first, when Joins is 1.
	Joiner int8
}

// at returns what a daemon's log says at a position.
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

func (m *daemon) removeException(r record) {
	if m.end().exception != 0 {
		m.append(r)
	}
}

// copyAt returns what daemon d's copy of another's log says.
func (s *state) copyAt(d, other int) position {
	c := s.d[d].copies[other]
	p := s.d[other].at(c.pos)
	if c.dropped {
		p.exception = 0
	}
	return p
}

// initial returns the state in which the daemons that run know each other and the flow does not exist.
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
