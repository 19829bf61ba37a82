package edge

import "time"

// waitPlace is where a packet waited before this daemon decided on it.
type waitPlace uint8

const (
	// notWaited: the packet was decided on as it was read.
	notWaited waitPlace = iota
	// waitedInBacklog: in the socket, while more packets arrived than were read.
	waitedInBacklog
	// waitedForStart: in the socket, until the daemon had its first targets.
	waitedForStart
	// waitedInStall: in the socket, while the process did not run.
	waitedInStall
	// waitedForLists: with the SYNs that are held until the configuration is known.
	waitedForLists
	// waitedForRoom: with the SYNs of a service whose targets have no room.
	waitedForRoom
)

// String returns the place's name as logged.
func (p waitPlace) String() string {
	return [...]string{"none", "backlog", "start", "stall", "lists", "room"}[p]
}

// wait says where a packet waited, and since when at the earliest; zero if that is not known.
type wait struct {
	place waitPlace
	since time.Time
}

// socketWait returns the wait of the packet that is read now.
func (f *forwarder) socketWait(now time.Time) wait {
	switch {
	case !f.backlogSince.IsZero():
		return wait{waitedForStart, f.backlogSince}
	case !f.fullSince.IsZero():
		return wait{waitedInBacklog, f.fullSince}
	}
	return wait{notWaited, now}
}
