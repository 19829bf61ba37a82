package listsource

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// Source is where a text came from.
type Source uint8

// The sources.
const (
	SourcePlatform Source = iota
	SourcePeer
	SourceFile
)

// String returns the source's name in logs.
func (s Source) String() string {
	switch s {
	case SourcePeer:
		return "peer"
	case SourceFile:
		return "file"
	}
	return "platform"
}

// Action is something that a Reader asks its shell to do.
type Action interface{ action() }

// Fetch reads one list from the platform. It is answered by HandleList or HandleFailure.
type Fetch struct{ Kind lists.Kind }

// Watch waits at the platform until a list is newer than After or Wait is over. It is answered by
// HandleWatch or HandleFailure.
type Watch struct {
	After model.Revisions
	Wait  time.Duration
}

// AskDigest asks a peer which lists it holds. It is answered by HandleDigest or HandlePeerFailure.
type AskDigest struct{ Peer netip.AddrPort }

// AskBody asks a peer for the text of a list. It is answered by HandleBody or HandlePeerFailure.
type AskBody struct {
	Peer netip.AddrPort
	Kind lists.Kind
}

// Apply puts a snapshot in force.
type Apply struct{ Snapshot *model.Snapshot }

// Refused tells once per revision that a list was not taken.
type Refused struct {
	Kind     errkind.Kind
	List     lists.Kind
	Revision uint64
	Source   Source
	Err      error
}

// Waiting tells that sound lists are not in force since they do not fit the others.
type Waiting struct{ Findings lists.Findings }

// Reachability tells that the platform stopped or started to answer.
type Reachability struct {
	Reachable bool
	// Err is the failure of a platform that stopped to answer.
	Err error
}

func (Fetch) action()        {}
func (Watch) action()        {}
func (AskDigest) action()    {}
func (AskBody) action()      {}
func (Apply) action()        {}
func (Refused) action()      {}
func (Waiting) action()      {}
func (Reachability) action() {}
