package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// State is the state of a machine as determined by failure detection.
type State uint8

// The states of a published machine.
const (
	// Unknown is a published machine about which nothing has been received yet.
	Unknown State = iota
	// Alive is a machine that is responsive.
	Alive
	// Suspect is a machine that is unresponsive. Heartbeats are still sent to it while witnesses are requested
	// to confirm that it is alive.
	Suspect
	// Failed is a machine that was unresponsive for too long. Its name in logs is "dead".
	Failed
	// Left is a machine that completed a planned stop.
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

// presumedAlive reports whether a machine in this state is presumed to be running, so that messages are sent to it.
func (s State) presumedAlive() bool {
	return s == Alive || s == Suspect
}

// member is the state that a List keeps about one machine.
type member struct {
	// entry is nil for an unlisted machine.
	entry *model.EntryVM
	id    model.MachineID

	state       State
	incarnation uint64
	epoch       uint32
	ready       bool
	draining    bool

	// lastHeartbeat is when a heartbeat from the machine was last received.
	lastHeartbeat time.Time
	// seen is when a heartbeat from the machine was last received or a witness last confirmed the machine.
	seen time.Time
	// probedAt is when the machine and witnesses were last probed because it is suspect.
	probedAt time.Time
}

// order compares a report about the machine with the current state. It is negative if the report is older, positive if
// it is newer.
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

// mayOwn reports whether the machine may own new flows.
func (m *member) mayOwn() bool {
	return m.entry != nil && m.entry.State == model.MachineLive && m.state.presumedAlive() && m.ready && !m.draining
}

// gossipUpdate returns the current state of the machine as a gossip update.
func (m *member) gossipUpdate() wire.GossipUpdate {
	return wire.GossipUpdate{Machine: m.id, Incarnation: m.incarnation, Epoch: m.epoch, State: m.gossipState()}
}

func (m *member) gossipState() wire.GossipState {
	switch {
	case m.state == Failed:
		return wire.GossipFailed
	case m.state == Left:
		return wire.GossipLeft
	case m.draining:
		return wire.GossipDraining
	case m.ready:
		return wire.GossipReady
	default:
		return wire.GossipNotReady
	}
}

// digest returns a hash of the machine state on which all machines have to agree.
func (m *member) digest() uint64 {
	return mix(mix(uint64(m.id)^uint64(m.gossipState())<<32) ^ mix(m.incarnation) ^ uint64(m.epoch))
}
