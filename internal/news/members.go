package news

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Heartbeat describes a daemon and the state of its replica.
type Heartbeat struct {
	Zone string
	// Interval is the time to the sender's next heartbeat.
	Interval time.Duration
	// Era is the era of Highest and Complete.
	Era uint64
	// Highest is the highest revision in Era of an item that the sender holds.
	Highest uint64
	// Complete is the revision up to which the sender's replica contains every change.
	Complete uint64
	// Digest is a hash over the keys and positions of the published items in the sender's replica.
	Digest uint64
	// Kept is a hash over the items of earlier eras that the sender has kept in force in this era; 0 for none.
	Kept uint64
	// Age is the time since the platform last confirmed the sender's replica.
	Age time.Duration
	// Reads is true while the sender is a reader of the platform.
	Reads bool
	// Failing is true for some time after a failed call of the sender to the platform.
	Failing bool
	// Leaving is true once the sender is draining: its planned stop has begun.
	Leaving bool
	// Link is the rate of the sender's network link in Mbit/s, or 0 if unknown.
	Link uint32
	// Reports are what other modules of the sender tell the daemons that get its heartbeats.
	Reports []Report
}

// ReportKind is the number of a module that adds to heartbeats.
type ReportKind uint32

// The kinds of reports. Daemons ignore kinds that they do not know. Earlier releases send kinds 1 and 2.
const (
	// ReportZone is the number of daemons of its zone that a daemon knows, of package internal/warmup.
	ReportZone ReportKind = 3
)

// Report is what one module adds to a heartbeat, in the module's own encoding.
type Report struct {
	Kind ReportKind
	Data []byte
}

// Member identifies a daemon.
type Member struct {
	Addr netip.AddrPort
	Zone string
	// Link is the rate of the daemon's network link in Mbit/s, or 0 if unknown.
	Link uint32
}

// precedes reports whether a precedes b in the order of daemons, which determines the readers of a zone. Daemons with
// faster links come first, because the others fetch from them.
func (a Member) precedes(b Member) bool {
	if a.Link != b.Link {
		return a.Link > b.Link
	}
	return addrHash(a.Addr) < addrHash(b.Addr)
}

// member is the state kept about another daemon.
type member struct {
	Member
	// lastNamed is when any message last named the daemon. heartbeatReceived is when it last sent a heartbeat, zero if
	// never.
	lastNamed, heartbeatReceived time.Time
	heartbeat                    Heartbeat
	// differsSince is since when its digest has differed from this daemon's, zero while they are equal.
	differsSince time.Time
	// keptDiffersSince is since when it has reported kept items that this daemon may not know, zero if it does not.
	keptDiffersSince time.Time
	// lastFetch is when items were last fetched from it.
	lastFetch time.Time
	// up is the value in the last PeerChanged for it.
	up bool
}

const (
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after which a daemon counts as
	// unresponsive. The interval is the one that the daemon reported.
	maxMissedHeartbeats = 3
	// heartbeatSlack is added to that time for the network delay of a heartbeat.
	heartbeatSlack = 150 * time.Millisecond
	// memberRetention is the time since the last contact after which a daemon is removed from the members.
	memberRetention = 60 * time.Second
	// newMemberTimeout is how long datagrams are sent to a daemon that was named but has never sent a heartbeat.
	newMemberTimeout = 3 * time.Second
)

// live reports whether the daemon is responsive and not draining.
func (m *member) live(now time.Time) bool {
	if m.heartbeatReceived.IsZero() || m.heartbeat.Leaving {
		return false
	}
	return now.Sub(m.heartbeatReceived) <= maxMissedHeartbeats*m.heartbeat.Interval+heartbeatSlack
}

// lastContact returns when the last heartbeat was received, or when the daemon was last named if it never sent one.
func (m *member) lastContact() time.Time {
	if m.heartbeatReceived.IsZero() {
		return m.lastNamed
	}
	return m.heartbeatReceived
}

// contactable reports whether datagrams are to be sent to the daemon: it is live, or it was named recently and has not
// sent a heartbeat yet.
func (m *member) contactable(now time.Time) bool {
	return m.live(now) || m.heartbeatReceived.IsZero() && now.Sub(m.lastNamed) <= newMemberTimeout
}

// members holds the known other daemons.
type members struct {
	self   Member
	byAddr map[netip.AddrPort]*member
	// ordered holds the members in the order of Member.precedes.
	ordered []*member
}

func newMembers(self Member) *members {
	return &members{self: self, byAddr: make(map[netip.AddrPort]*member)}
}

// addrHash returns a hash of the address. It breaks ties between daemons with equal link rates.
func addrHash(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary() // never fails
	return xxhash.Sum64(b)
}

// upsert adds or updates a daemon that a message named. It returns nil for this daemon itself and for an invalid
// address.
func (ms *members) upsert(now time.Time, named Member) *member {
	if named.Addr == ms.self.Addr || !named.Addr.IsValid() {
		return nil
	}
	m := ms.byAddr[named.Addr]
	if m == nil {
		m = &member{Member: named}
		ms.byAddr[named.Addr] = m
		ms.ordered = append(ms.ordered, m)
		ms.sort()
	}
	if named.Zone != "" {
		m.Zone = named.Zone
	}
	if named.Link != 0 && named.Link != m.Link {
		m.Link = named.Link
		ms.sort()
	}
	m.lastNamed = now
	return m
}

// sort restores the order after a member was added or its link rate changed.
func (ms *members) sort() {
	slices.SortFunc(ms.ordered, func(a, b *member) int {
		switch {
		case a.precedes(b.Member):
			return -1
		case b.precedes(a.Member):
			return 1
		}
		return 0
	})
}

// removeExpired removes daemons whose last contact is more than memberRetention ago.
func (ms *members) removeExpired(now time.Time) {
	ms.ordered = slices.DeleteFunc(ms.ordered, func(m *member) bool {
		if now.Sub(m.lastContact()) <= memberRetention {
			return false
		}
		delete(ms.byAddr, m.Addr)
		return true
	})
}

// rank returns the number of live daemons of this daemon's zone that precede it in the order.
func (ms *members) rank(now time.Time) int {
	n := 0
	for _, m := range ms.ordered {
		if !m.precedes(ms.self) {
			return n
		}
		if m.Zone == ms.self.Zone && m.live(now) {
			n++
		}
	}
	return n
}

// zoneSize returns the number of live daemons of this daemon's zone, itself included.
func (ms *members) zoneSize(now time.Time) int {
	n := 1
	for _, m := range ms.ordered {
		if m.Zone == ms.self.Zone && m.live(now) {
			n++
		}
	}
	return n
}

// readerRank returns the number of live daemons of this daemon's zone that precede it in the order and whose calls to
// the platform succeed.
func (ms *members) readerRank(now time.Time) int {
	n := 0
	for _, m := range ms.ordered {
		if !m.precedes(ms.self) {
			return n
		}
		if m.Zone == ms.self.Zone && m.live(now) && !m.heartbeat.Failing {
			n++
		}
	}
	return n
}

// relaysOfOtherZones returns the addresses of the first n contactable daemons of each other zone.
func (ms *members) relaysOfOtherZones(now time.Time, n int) []netip.AddrPort {
	var out []netip.AddrPort
	count := make(map[string]int)
	for _, m := range ms.ordered {
		if m.Zone == ms.self.Zone || !m.contactable(now) || count[m.Zone] >= n {
			continue
		}
		count[m.Zone]++
		out = append(out, m.Addr)
	}
	return out
}

// recipients returns the addresses of the contactable daemons of this daemon's zone, or of every zone if allZones is
// true. Daemons whose zone is not known yet are included. includeUnresponsive adds unresponsive daemons, so that they
// receive this daemon's heartbeat once they are reachable again.
func (ms *members) recipients(now time.Time, allZones, includeUnresponsive bool) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range ms.ordered {
		if !allZones && m.Zone != "" && m.Zone != ms.self.Zone {
			continue
		}
		if m.contactable(now) || includeUnresponsive {
			out = append(out, m.Addr)
		}
	}
	return out
}

// live returns the members that are live.
func (ms *members) live(now time.Time) []Member {
	var out []Member
	for _, m := range ms.ordered {
		if m.live(now) {
			out = append(out, m.Member)
		}
	}
	return out
}

// sampleFor returns the members to send to a daemon of the given zone: the first relays live members of each zone, and
// further members of its own zone up to the limit, starting at a random one.
func (ms *members) sampleFor(now time.Time, zone string, relays, limit int, random *rand.Rand) []Member {
	var out, own []Member
	count := make(map[string]int)
	for _, m := range ms.ordered {
		if !m.live(now) {
			continue
		}
		count[m.Zone]++
		switch {
		case count[m.Zone] <= relays:
			out = append(out, m.Member)
		case m.Zone == zone:
			own = append(own, m.Member)
		}
	}
	if len(own) == 0 {
		return out
	}
	from := random.IntN(len(own))
	for i := range own {
		if len(out) >= limit {
			break
		}
		out = append(out, own[(from+i)%len(own)])
	}
	return out
}

// anyLive reports whether any member, of any zone, is live.
func (ms *members) anyLive(now time.Time) bool {
	return slices.ContainsFunc(ms.ordered, func(m *member) bool { return m.live(now) })
}

// complete returns the position up to which the daemon's replica contains every change.
func (h *Heartbeat) complete() Position {
	return Position{Era: h.Era, Revision: h.Complete}
}

// highest returns the highest position of an item that the daemon holds.
func (h *Heartbeat) highest() Position {
	return Position{Era: h.Era, Revision: h.Highest}
}
