package modelcheck

const (
	// numDaemons is the maximum number of daemons; a run may use fewer.
	numDaemons = 3
	// maxLog is the capacity of a daemon's log in records.
	maxLog = 10
	// maxForwards is the maximum number of times that a packet is forwarded.
	maxForwards = 2
)

// target is one of the two targets, or 0 for none.
type target int8

const (
	targetA target = 1
	targetB target = 2
)

// defaultTarget returns the flow's default target in the lists of a generation.
func defaultTarget(generation int8) target {
	return targetA + target(generation)
}

// set is a bit set of daemons or of generations.
type set uint8

func (s set) has(d int) bool     { return s&(1<<d) != 0 }
func (s set) with(d int) set     { return s | 1<<d }
func (s set) without(d int) set  { return s &^ (1 << d) }
func (s set) first() (int, bool) { return s.firstWhere(func(int) bool { return true }) }

func (s set) firstWhere(ok func(int) bool) (int, bool) {
	for d := range numDaemons {
		if s.has(d) && ok(d) {
			return d, true
		}
	}
	return 0, false
}

// record is one entry of a log: one of the constants below, or the target of an exception.
type record int8

const (
	// recordRemove withdraws the exception of a flow that the daemon no longer has. recordBecameDefault
	// withdraws that of a flow whose target became its default one.
	recordRemove        record = 0
	recordBecameDefault record = 9
	// recordGeneration plus a generation says that the records after it are by the lists of that generation.
	recordGeneration record = 10
)

// logState is the content of a log up to one of its positions: the flow's exception, or 0, and the
// generation of the lists.
type logState struct {
	exception  target
	generation int8
}

// target returns the target of the exception or, without one, the default target of the generation.
func (p logState) target() target {
	if p.exception != 0 {
		return p.exception
	}
	return defaultTarget(p.generation)
}

// marks are bits that say which moments of the sending daemon a mark is later than.
type marks uint8

const (
	// afterFirstPacket is set if the mark is later than the flow's first packet under its current owner.
	afterFirstPacket marks = 1
	// afterOwnerChange is set if the mark is later than the last change of the owners.
	afterOwnerChange marks = 2
)

// replica is a daemon's replica of another daemon's log. Its content is the log up to pos.
type replica struct {
	synced bool
	pos    int8
	// ackedComplete holds the marks acknowledged by a complete log, acked those acknowledged by any log.
	ackedComplete, acked marks
	// exceptionDropped is true if the exception was dropped from the replica of a retired log.
	exceptionDropped bool
}

// batch is a log batch in flight.
type batch struct {
	present  bool
	pos      int8
	acks     marks
	complete bool
	// owners are those in the sender's view.
	owners set
}

// daemon is one daemon. Sets and arrays are indexed by daemon.
type daemon struct {
	up, ready, draining bool
	// reachable and owners are the daemon's view: the reachable members and the owners.
	reachable, owners set
	knownGenerations  set // generations of the lists that the daemon has
	generation        int8

	// tableTarget is the flow's target in the daemon's flow table, or 0. isException is true if the daemon's
	// log names it as an exception.
	tableTarget target
	isException bool
	log         [maxLog]record
	logLen      int8
	// base is the generation at the start of the log.
	base int8
	// complete is true if the log names every exception of the flows that the daemon owns.
	complete bool

	replicas [numDaemons]replica
	// receivedMarks are the marks received from each other daemon.
	receivedMarks [numDaemons]marks
	// sentBatches are the batches in flight to each other daemon.
	sentBatches [numDaemons]batch

	// seenOwner is 1 + the owner under which the daemon last saw a packet of the flow, or 0.
	seenOwner int8

	// inTransition is true during an ownership transition and delegating during its first step.
	// restartTransition is true if a target was uncertain, so that the transition must start again.
	inTransition, delegating, restartTransition bool
	// added are the owners added in the current transition, removed those that are no owners any more.
	added, removed set
	// previousOwner is 1 + the previous owner that the flow is delegated to, or 0.
	previousOwner int8
}

// packet is a packet in flight between daemons. forwards counts how often it was forwarded.
type packet struct {
	present, syn, delegated bool
	to, from                int8
	forwards                int8
}

// state is one state of the whole model. It is comparable.
type state struct {
	// d holds the daemons by index.
	d           [numDaemons]daemon
	packet      packet
	established target
	// unprotectedCrash is true once an owner crashed before every live daemon had the flow's record. The
	// protocol does not protect the flow then, so such states are not explored.
	unprotectedCrash bool
	budget           Budget
}

// Budget bounds the events of a run.
type Budget struct {
	// Daemons is the number of daemons, 2 or 3, including the joining one.
	Daemons int8
	// Crashes, Stops and Joins bound how often a daemon crashes, stops as planned, or joins.
	Crashes, Stops, Joins int8
	// ListChanges is 1 if the lists change once, else 0.
	ListChanges int8
	// BatchesInFlight bounds the log batches in flight at the same time.
	BatchesInFlight int8
	// Joiner is the daemon that is down at first if Joins is 1.
	Joiner int8
}

// logStateAt returns the content of a daemon's log up to a position.
func (d *daemon) logStateAt(pos int8) logState {
	st := logState{generation: d.base}
	for _, r := range d.log[:pos] {
		switch {
		case r == recordRemove || r == recordBecameDefault:
			st.exception = 0
		case r >= recordGeneration:
			st.generation = int8(r - recordGeneration)
		default:
			st.exception = target(r)
		}
	}
	return st
}

// logEnd returns the content of the whole log.
func (d *daemon) logEnd() logState {
	return d.logStateAt(d.logLen)
}

func (d *daemon) append(r record) {
	d.log[d.logLen] = r
	d.logLen++
}

// addException logs that the flow has a target other than its default one.
func (d *daemon) addException(t target) {
	if d.logEnd().exception != t {
		d.append(record(t))
	}
}

// removeException logs the withdrawal of the exception, if there is one, with record r.
func (d *daemon) removeException(r record) {
	if d.logEnd().exception != 0 {
		d.append(r)
	}
}

// replicaState returns the content of daemon d's replica of another daemon's log.
func (s *state) replicaState(d, other int) logState {
	rep := s.d[d].replicas[other]
	st := s.d[other].logStateAt(rep.pos)
	if rep.exceptionDropped {
		st.exception = 0
	}
	return st
}

// initial returns the state in which the running daemons know each other and the flow does not exist.
func initial(b Budget) state {
	s := state{budget: b}
	all := set(0)
	for d := range int(b.Daemons) {
		if b.Joins == 0 || int(b.Joiner) != d {
			all = all.with(d)
		}
	}
	for d := range numDaemons {
		if !all.has(d) {
			continue
		}
		s.d[d] = daemon{up: true, ready: true, reachable: all, owners: all, knownGenerations: set(1), complete: true}
		for o := range numDaemons {
			s.d[d].replicas[o].synced = o != d && all.has(o)
		}
	}
	return s
}
