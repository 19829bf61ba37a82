package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// State says whether a machine is here.
type State uint8

// The states of a published machine.
const (
	// Unknown is a published machine of which nothing was heard yet.
	Unknown State = iota
	// Alive is a machine that is here.
	Alive
	// Suspect is a machine that is silent; it counts as here while witnesses are asked.
	Suspect
	// Dead is a machine that was silent for too long.
	Dead
	// Left is a machine that ended a planned stop.
	Left
)

var stateNames = [...]string{"unknown", "alive", "suspect", "dead", "left"}

// String returns the state's name in logs and status output.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// here reports whether a machine in this state can be sent to.
func (s State) here() bool {
	return s == Alive || s == Suspect
}

// member is what a List knows of one machine.
type member struct {
	// entry is nil for a guest.
	entry *model.EntryVM
	id    model.MachineID

	state       State
	incarnation uint64
	epoch       uint32
	ready       bool
	leaving     bool

	// direct is when the machine's own heartbeat was last received.
	direct time.Time
	// heard is when the machine's own heartbeat was last received, or a witness vouched for it.
	heard time.Time
	// asked is when witnesses were last asked for the machine.
	asked time.Time
}

// order compares what is told of the machine with what is known: negative when it is older.
func (m *member) order(incarnation uint64, epoch uint32) int {
	switch {
	case incarnation != m.incarnation:
		return compare(incarnation, m.incarnation)
	default:
		return compare(uint64(epoch), uint64(m.epoch))
	}
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// owns reports whether the machine may own new flows.
func (m *member) owns() bool {
	return m.entry != nil && m.entry.State == model.MachineLive && m.state.here() && m.ready && !m.leaving
}

// rumour tells what is known of the machine.
func (m *member) rumour() wire.Rumour {
	return wire.Rumour{Machine: m.id, Incarnation: m.incarnation, Epoch: m.epoch, State: m.rumourState()}
}

func (m *member) rumourState() wire.RumourState {
	switch {
	case m.state == Dead:
		return wire.RumourDead
	case m.state == Left:
		return wire.RumourLeft
	case m.leaving:
		return wire.RumourLeaving
	case m.ready:
		return wire.RumourReady
	default:
		return wire.RumourNotReady
	}
}

// digest mixes what the members of a zone must agree on.
func (m *member) digest() uint64 {
	return mix(mix(uint64(m.id)^uint64(m.rumourState())<<32) ^ mix(m.incarnation) ^ uint64(m.epoch))
}
