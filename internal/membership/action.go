package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Action is an effect that the caller of a List carries out. It is one of the types in this file.
type Action interface {
	isAction()
}

// SendHeartbeat requests that a heartbeat is sent to the Peer address of each machine in To. It is sealed once, for any
// receiver.
type SendHeartbeat struct {
	To []*model.EntryVM
	// Heartbeat is complete except for its sections.
	Heartbeat wire.Heartbeat
	// Periodic is true for the periodic heartbeat, which carries sections, and false for requests and replies.
	Periodic bool
}

// MemberChanged reports that a member changed its state, its readiness or its incarnation.
type MemberChanged struct {
	Member *model.EntryVM
	From   State
	To     State
	// Incarnation is the highest known incarnation of the member.
	Incarnation uint64
	// Restarted is true when the incarnation has changed, which means that the previous process has ended.
	Restarted bool
}

// ZoneChanged reports that another zone became reachable or unreachable as a whole.
type ZoneChanged struct {
	Zone      model.Zone
	Reachable bool
}

// SelfPaused reports that this process did not run for longer than Config.PauseLimit. All of its state may be outdated.
// It is not ready until SetReady is called after SelfJoined.
type SelfPaused struct {
	Gap time.Duration
}

// SelfJoined reports that this process, after its start or a pause, has received heartbeats from enough machines of its
// zone to synchronize its state and become ready.
type SelfJoined struct{}

// IncarnationOutdated reports that other machines know a higher incarnation of this machine, for example after a
// restart with the clock set back. They drop all datagrams of this process, so it must continue with an incarnation
// above Newest.
type IncarnationOutdated struct {
	Newest uint64
}

func (SendHeartbeat) isAction()       {}
func (MemberChanged) isAction()       {}
func (ZoneChanged) isAction()         {}
func (SelfPaused) isAction()          {}
func (SelfJoined) isAction()          {}
func (IncarnationOutdated) isAction() {}
