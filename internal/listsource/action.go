package listsource

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// Source is the origin of a list document.
type Source uint8

// The sources.
const (
	SourcePlatform Source = iota
	SourcePeer
	SourceFile
)

// String returns the name of the source as used in logs.
func (s Source) String() string {
	switch s {
	case SourcePeer:
		return "peer"
	case SourceFile:
		return "file"
	}
	return "platform"
}

// Action is an operation that a Reader requests from its caller.
type Action interface{ action() }

// Fetch requests one list from the platform. The result is passed to HandleList or HandleFailure.
type Fetch struct{ Kind lists.Kind }

// Watch is a long poll at the platform: it waits until a list is newer than After or until Wait has passed.
// The result is passed to HandleWatch or HandleFailure.
type Watch struct {
	After model.Revisions
	Wait  time.Duration
}

// RequestDigest requests the digest of a peer's lists. The result is passed to HandleDigest or
// HandlePeerFailure.
type RequestDigest struct{ Peer netip.AddrPort }

// RequestBody requests the body of a list from a peer. The result is passed to HandleBody or HandlePeerFailure.
type RequestBody struct {
	Peer netip.AddrPort
	Kind lists.Kind
}

// Apply activates a snapshot.
type Apply struct{ Snapshot *model.Snapshot }

// Rejected reports that a list was rejected. It is emitted once per revision.
type Rejected struct {
	Kind     errkind.Kind
	List     lists.Kind
	Revision uint64
	Source   Source
	Err      error
}

// Waiting reports that valid lists cannot be activated because they are inconsistent with the other lists.
type Waiting struct{ Findings lists.Findings }

// Reachability reports that the platform became unreachable or reachable again.
type Reachability struct {
	Reachable bool
	// Err is the error of the failed call if the platform became unreachable.
	Err error
}

func (Fetch) action()         {}
func (Watch) action()         {}
func (RequestDigest) action() {}
func (RequestBody) action()   {}
func (Apply) action()         {}
func (Rejected) action()      {}
func (Waiting) action()       {}
func (Reachability) action()  {}
