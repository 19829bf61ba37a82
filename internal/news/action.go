package news

import (
	"net/netip"
	"time"
)

// Datagram is a gossip message between daemons: a heartbeat, items, members or reports of absent targets.
type Datagram struct {
	// Heartbeat is nil when the datagram carries no heartbeat.
	Heartbeat *Heartbeat
	Items     []Item
	Members   []Member
	// Asks is true when the sender requests members from the receiver.
	Asks bool
	// Absent names the targets that did not respond to the sender's probes.
	Absent []string
}

// Action is an effect that the caller of the engine carries out. It is one of the types in this file.
type Action interface {
	isAction()
}

// Send requests that a datagram is sent to daemons.
type Send struct {
	To       []netip.AddrPort
	Datagram Datagram
}

// Fetch requests the items that are missing from the replica from another daemon. Have lists the versions in the
// replica. The result is passed to HandleFetched.
type Fetch struct {
	From netip.AddrPort
	Have []Version
}

// ReadAll requests a read of all published items from the platform. With Stale, a response that is some seconds old
// is acceptable. Call is passed back with the result to HandleTargets, HandleRead or HandleFailure.
type ReadAll struct {
	Call  uint64
	Stale bool
}

// Watch requests a long poll of the platform for changes after revision After of the current era, for at most Wait. Call
// is passed back with the result to HandleWatch or HandleFailure.
type Watch struct {
	Call  uint64
	After uint64
	Wait  time.Duration
}

// CancelCall requests that the open call to the platform is cancelled and the connections to the platform are closed.
type CancelCall struct{}

// ItemsChanged reports items that are put in force, in the order in which they were received. An item that is held in
// force is not reported until its hold ends.
type ItemsChanged struct {
	Items []Item
}

// EraBegan reports that the platform has returned from an older copy of its data.
type EraBegan struct {
	From, To uint64
	// Peer is the daemon that reported the era; it is invalid if the platform's own answer did.
	Peer netip.AddrPort
	// Complete is the position up to which the replica contains every change.
	Complete Position
}

// HoldEvent is what happened to a hold.
type HoldEvent uint8

// The events of a hold. A renewed hold was begun in an earlier era. A hold ends when the item is written again, or
// expires.
const (
	HoldBegan HoldEvent = iota
	HoldRenewed
	HoldWrittenAgain
	HoldExpired
)

// String returns the name of the event in logs and metrics.
func (e HoldEvent) String() string {
	return [...]string{"began", "renewed", "written_again", "expired"}[e]
}

// Held reports an event of the hold of an item: Kept is the position of the item in force, Published that of the
// platform's.
type Held struct {
	Key             string
	Kind            Kind
	Event           HoldEvent
	Kept, Published Position
	// For is how long the hold lasts from now, if it began.
	For  time.Duration
	kept Item
}

// TargetsSuspected reports that targets did not respond to the probes of another daemon.
type TargetsSuspected struct {
	Targets []string
}

// Reachable reports that the platform became reachable or unreachable.
type Reachable struct {
	Reachable bool
	Err       error
}

// Reading reports that this daemon became or is no longer a reader of the platform.
type Reading struct {
	Reading bool
	// ReaderRank is the number of live daemons of the zone that precede this one and whose calls to the platform
	// succeed.
	ReaderRank int
	// Age is the time since the platform last confirmed the replica.
	Age time.Duration
}

// PeerChanged reports that another daemon became responsive or unresponsive.
type PeerChanged struct {
	Member Member
	Up     bool
}

// ReportsReceived reports what other modules of a daemon added to its heartbeat.
type ReportsReceived struct {
	From    Member
	Reports []Report
}

func (ReportsReceived) isAction()  {}
func (EraBegan) isAction()         {}
func (*Held) isAction()            {}
func (Send) isAction()             {}
func (Fetch) isAction()            {}
func (ReadAll) isAction()          {}
func (Watch) isAction()            {}
func (CancelCall) isAction()       {}
func (ItemsChanged) isAction()     {}
func (TargetsSuspected) isAction() {}
func (Reachable) isAction()        {}
func (Reading) isAction()          {}
func (PeerChanged) isAction()      {}
