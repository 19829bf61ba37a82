package owners

import (
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Action is an effect that the program around the engine carries out: one of the types of this file.
type Action interface {
	isAction()
}

// SendPeer requests that a body is sealed for one peer and sent to that peer's Peer address.
type SendPeer struct {
	To   *model.EntryVM
	Kind wire.Kind
	Body []byte
}

// FetchSnapshots requests a fetch of log snapshots from a peer, whose result goes to HandleSnapshots: the
// peer's own log and, if All is true, also every replica that it holds.
type FetchSnapshots struct {
	From *model.EntryVM
	All  bool
}

// MemberChanged reports that a member changed its state.
type MemberChanged struct {
	membership.MemberChanged
}

// ZoneChanged reports that another availability zone became reachable or unreachable.
type ZoneChanged struct {
	membership.ZoneChanged
}

// ReadyChanged reports that this daemon started or stopped owning flows.
type ReadyChanged struct {
	Ready  bool
	Reason ReadyReason
}

// ReadyReason is the reason for a change of readiness.
type ReadyReason string

// The reasons for a change of readiness.
const (
	ReasonCaughtUp ReadyReason = "caught up"
	ReasonPaused   ReadyReason = "paused"
	ReasonDraining ReadyReason = "leaving"
)

// PeerSection is a section of a peer's heartbeat that another module handles.
type PeerSection struct {
	From    *model.EntryVM
	Section wire.Section
}

// Outdated reports that peers know a newer incarnation of this machine, with number Newest; this process
// must exit.
type Outdated struct {
	Newest uint64
}

func (SendPeer) isAction()       {}
func (FetchSnapshots) isAction() {}
func (MemberChanged) isAction()  {}
func (ZoneChanged) isAction()    {}
func (ReadyChanged) isAction()   {}
func (PeerSection) isAction()    {}
func (Outdated) isAction()       {}
