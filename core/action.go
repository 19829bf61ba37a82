package core

import (
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Action is an effect that the caller of the engine carries out: one of the types of this file.
type Action interface {
	isAction()
}

// SendPeer asks to seal a body for one peer and to send it to its Peer address.
type SendPeer struct {
	To   *model.EntryVM
	Kind wire.Kind
	Body []byte
}

// FetchSnapshots asks to fetch snapshots from a peer and to hand them to HandleSnapshots: the peer's
// own log, and with All every copy that it holds.
type FetchSnapshots struct {
	From *model.EntryVM
	All  bool
}

// MemberChanged tells that a member changed its state.
type MemberChanged struct {
	membership.MemberChanged
}

// ZoneChanged tells that another availability zone became reachable or unreachable.
type ZoneChanged struct {
	membership.ZoneChanged
}

// ReadyChanged tells that this daemon began or ceased to own flows.
type ReadyChanged struct {
	Ready  bool
	Reason ReadyReason
}

// ReadyReason says why readiness changed.
type ReadyReason string

// The reasons.
const (
	ReasonCaughtUp ReadyReason = "caught up"
	ReasonPaused   ReadyReason = "paused"
	ReasonLeaving  ReadyReason = "leaving"
)

// PeerSection is a section of a peer's heartbeat for another module.
type PeerSection struct {
	From    *model.EntryVM
	Section wire.Section
}

// Outdated tells that peers know a newer incarnation of this machine; this process must end.
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
