package news

import (
	"net/netip"
	"time"
)

// Datagram is what daemons tell each other without being asked.
type Datagram struct {
	// Heartbeat is nil where the datagram carries items alone.
	Heartbeat *Heartbeat
	Items     []Item
	Members   []Member
	// Asks is true where the sender wants to know members.
	Asks bool
	// Absent names targets that the sender probed and did not find.
	Absent []string
}

// Action is an effect that the caller of the engine carries out: one of the types of this file.
type Action interface {
	isAction()
}

// Send asks to send a datagram to daemons.
type Send struct {
	To       []netip.AddrPort
	Datagram Datagram
}

// Fetch asks to fetch the items that the copy lacks from a daemon, and to hand them to HandleFetched.
type Fetch struct {
	From netip.AddrPort
	Have []Version
}

// ReadAll asks to read every published item from the platform. With Stale, an answer that is some seconds
// old will do.
type ReadAll struct {
	Call  uint64
	Stale bool
}

// Watch asks to wait at the platform for changes after a revision.
type Watch struct {
	Call  uint64
	After uint64
	Wait  time.Duration
}

// Abandon asks to drop the connections to the platform and the call that is open on one.
type Abandon struct{}

// Changed hands out items that are news, in the order in which they came.
type Changed struct {
	Items []Item
}

// Suspected tells that another daemon probed targets and did not find them.
type Suspected struct {
	Targets []string
}

// Reachable tells that the platform began or ceased to answer.
type Reachable struct {
	Reachable bool
	Err       error
}

// Reading tells that this daemon began or ceased to read the platform for its zone.
type Reading struct {
	Reading bool
	// Position is the number of live daemons of the zone that come before this one.
	Position int
	// Age is the time since the platform confirmed the copy.
	Age time.Duration
}

// PeerChanged tells that another daemon was heard or fell silent.
type PeerChanged struct {
	Member Member
	Up     bool
}

func (Send) isAction()        {}
func (Fetch) isAction()       {}
func (ReadAll) isAction()     {}
func (Watch) isAction()       {}
func (Abandon) isAction()     {}
func (Changed) isAction()     {}
func (Suspected) isAction()   {}
func (Reachable) isAction()   {}
func (Reading) isAction()     {}
func (PeerChanged) isAction() {}
