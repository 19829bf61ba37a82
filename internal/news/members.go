package news

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Heartbeat is what a daemon tells of its copy.
type Heartbeat struct {
	Zone string
	// Interval is the time to the sender's next heartbeat.
	Interval time.Duration
	// Highest is the highest revision of an item that the sender holds.
	Highest uint64
	// Complete is the revision up to which the sender knows of every change.
	Complete uint64
	// Digest sums up the items that stand.
	Digest uint64
	// Age is the time since the platform confirmed what the sender holds.
	Age time.Duration
	// Reads is true while the sender reads the platform.
	Reads bool
	// Failing is true while the platform does not answer the sender.
	Failing bool
	// Leaving is true from the sender's planned stop on.
	Leaving bool
	// Link is the rate of the sender's network link in Mbit/s; 0 while unknown.
	Link uint32
}

// Member names a daemon.
type Member struct {
	Addr netip.AddrPort
	Zone string
	// Link is the rate of the daemon's network link in Mbit/s; 0 while unknown.
	Link uint32
}

// before reports whether a comes before b in the order in which daemons of a zone read the platform: those with
// the faster links first, since the others fetch from them.
func (a Member) before(b Member) bool {
	if a.Link != b.Link {
		return a.Link > b.Link
	}
	return rankOf(a.Addr) < rankOf(b.Addr)
}

// member is another daemon.
type member struct {
	Member
	// learned is when the daemon was last named, heard when it last spoke; heard is zero before.
	learned, heard time.Time
	beat           Heartbeat
	// differs is since when its digest differs from the own one; zero while they agree.
	differs time.Time
	// fetched is when its items were last asked for.
	fetched time.Time
	// up is what was told of it last.
	up bool
}

const (
	// silentBeats is how many heartbeats a daemon may miss before it counts as silent.
	silentBeats = 3
	// silentSlack is added for the delay of a heartbeat on its way.
	silentSlack = 150 * time.Millisecond
	// forgetAfter is the silence after which a daemon is no longer sent to.
	forgetAfter = 60 * time.Second
	// unheardFor is how long a daemon that was named and never heard is taken for present.
	unheardFor = 3 * time.Second
)

// live reports whether the daemon is there and stays.
func (m *member) live(now time.Time) bool {
	if m.heard.IsZero() || m.beat.Leaving {
		return false
	}
	return now.Sub(m.heard) <= silentBeats*m.beat.Interval+silentSlack
}

// present reports whether the daemon is worth sending to.
func (m *member) present(now time.Time) bool {
	return m.live(now) || m.heard.IsZero() && now.Sub(m.learned) <= unheardFor
}

// members are the other daemons that are known.
type members struct {
	self   Member
	byAddr map[netip.AddrPort]*member
	// ordered holds them in their order.
	ordered []*member
}

func newMembers(self Member) *members {
	return &members{self: self, byAddr: make(map[netip.AddrPort]*member)}
}

// rankOf gives daemons with equal links their places.
func rankOf(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary() // never fails
	return xxhash.Sum64(b)
}

// learn notes a daemon that was named; nil for the own name.
func (ms *members) learn(now time.Time, who Member) *member {
	if who.Addr == ms.self.Addr || !who.Addr.IsValid() {
		return nil
	}
	m := ms.byAddr[who.Addr]
	if m == nil {
		m = &member{Member: who}
		ms.byAddr[who.Addr] = m
		ms.ordered = append(ms.ordered, m)
		ms.sort()
	}
	if who.Zone != "" {
		m.Zone = who.Zone
	}
	if who.Link != 0 && who.Link != m.Link {
		m.Link = who.Link
		ms.sort()
	}
	m.learned = now
	return m
}

func (ms *members) sort() {
	slices.SortFunc(ms.ordered, func(a, b *member) int {
		switch {
		case a.before(b.Member):
			return -1
		case b.before(a.Member):
			return 1
		}
		return 0
	})
}

// forget drops daemons that have been silent for long.
func (ms *members) forget(now time.Time) {
	ms.ordered = slices.DeleteFunc(ms.ordered, func(m *member) bool {
		last := m.learned
		if !m.heard.IsZero() {
			last = m.heard
		}
		if now.Sub(last) <= forgetAfter {
			return false
		}
		delete(ms.byAddr, m.Addr)
		return true
	})
}

// place returns how many live daemons of the own zone come before this one in the order.
func (ms *members) place(now time.Time) int {
	n := 0
	for _, m := range ms.ordered {
		if !m.before(ms.self) {
			return n
		}
		if m.Zone == ms.self.Zone && m.live(now) {
			n++
		}
	}
	return n
}

// position returns how many live daemons of the own zone come before this one in the order and hear the
// platform.
func (ms *members) position(now time.Time) int {
	n := 0
	for _, m := range ms.ordered {
		if !m.before(ms.self) {
			return n
		}
		if m.Zone == ms.self.Zone && m.live(now) && !m.beat.Failing {
			n++
		}
	}
	return n
}

// first returns the first daemons of each other zone that are worth sending to, n a zone.
func (ms *members) first(now time.Time, n int) []netip.AddrPort {
	var out []netip.AddrPort
	count := make(map[string]int)
	for _, m := range ms.ordered {
		if m.Zone == ms.self.Zone || !m.present(now) || count[m.Zone] >= n {
			continue
		}
		count[m.Zone]++
		out = append(out, m.Addr)
	}
	return out
}

// inZone returns the daemons of the own zone, and with all those of every zone. Silent ones are among them
// only on request: they hear of this daemon again once they are back.
func (ms *members) inZone(now time.Time, all, silent bool) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range ms.ordered {
		if !all && m.Zone != "" && m.Zone != ms.self.Zone {
			continue
		}
		if m.present(now) || silent {
			out = append(out, m.Addr)
		}
	}
	return out
}

// live returns the members that spoke lately.
func (ms *members) live(now time.Time) []Member {
	var out []Member
	for _, m := range ms.ordered {
		if m.live(now) {
			out = append(out, m.Member)
		}
	}
	return out
}

// introduce returns the members that a daemon of a zone should know: the first ones of each zone, and of its
// own zone as many as the limit allows, from a random one on.
func (ms *members) introduce(now time.Time, zone string, relays, limit int, random *rand.Rand) []Member {
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

// anyLive reports whether a daemon of the own zone, or with all of any zone, is live.
func (ms *members) anyLive(now time.Time) bool {
	return slices.ContainsFunc(ms.ordered, func(m *member) bool { return m.live(now) })
}
