package membership

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Action is an effect that the caller of a List carries out: one of the types of this file.
type Action interface {
	isAction()
}

// SendHeartbeat asks to send one heartbeat, sealed once for anyone, to the Peer address of each
// machine.
type SendHeartbeat struct {
	To []*model.EntryVM
	// Heartbeat is complete but for its sections.
	Heartbeat wire.Heartbeat
	// Regular is true for the heartbeat of an interval, which carries sections; false for questions
	// and answers.
	Regular bool
}

// MemberChanged tells that a member changed its state, its readiness or its incarnation.
type MemberChanged struct {
	Member *model.EntryVM
	From   State
	To     State
	// Incarnation is the member's newest known one.
	Incarnation uint64
	// Restarted is true when the incarnation is another than before: the earlier process is gone.
	Restarted bool
}

// ZoneChanged tells that another zone became reachable or unreachable as a whole.
type ZoneChanged struct {
	Zone      model.Zone
	Reachable bool
}

// SelfPaused tells that this process did not run for longer than Config.PauseLimit. Everything it
// believes may be outdated; it is not ready until SetReady is called after SelfAwake.
type SelfPaused struct {
	Gap time.Duration
}

// SelfAwake tells that this process has heard enough of its zone, after its start or a pause, to
// catch up and become ready.
type SelfAwake struct{}

// IncarnationOutdated tells that other machines know a newer incarnation of this machine, as after
// a restart with the clock set back. They drop all datagrams of this one: the process must go on
// under an incarnation above Newest.
type IncarnationOutdated struct {
	Newest uint64
}

func (SendHeartbeat) isAction()       {}
func (MemberChanged) isAction()       {}
func (ZoneChanged) isAction()         {}
func (SelfPaused) isAction()          {}
func (SelfAwake) isAction()           {}
func (IncarnationOutdated) isAction() {}
