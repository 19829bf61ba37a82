package warmup

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// settleTime is how long a daemon must have known more than half of its zone as live, after a start without
	// getting to know another daemon, before it may use targets that warm up. It is longer than two requests for
	// members, and than the detection of a failure (3.15 s) and logWindow together.
	settleTime = 5 * time.Second
	// forgetTime is how long a daemon that has stopped without notice keeps its place in the order. It is longer than
	// the detection of a failure and settleTime together, so that the daemons of a minority have stopped to use the
	// target before others take their places.
	forgetTime = 30 * time.Second
	// maxForgetTime is the same while less than half of the zone is live: nobody of a minority takes the place of
	// daemons that may be live beyond a cut.
	maxForgetTime = time.Hour
	// maxUpdateGap is the time between two updates of the zone after which this daemon counts as paused.
	maxUpdateGap = time.Second
)

// Peer is another daemon as the membership knows it.
type Peer struct {
	Addr netip.AddrPort
	// Zone is the name of its availability zone; empty while it has never been heard.
	Zone string
	// Heard is when it was last heard, or when it was named if it never has been.
	Heard time.Time
	// Live is true while its heartbeats arrive.
	Live bool
	// Leaving is true once it has announced its stop.
	Leaving bool
	// Known is the number of daemons of its zone that it knows, itself included; 0 if it has not told.
	Known int
}

// peerRecord is what the zone keeps of a daemon.
type peerRecord struct {
	hash uint64
	live bool
	// heard is when the daemon was last heard, or when it was named.
	heard time.Time
	// known is the number of daemons of the zone that the daemon knows.
	known int
	// left is when it was first known to leave; zero if it has not announced its stop.
	left time.Time
}

// zone holds the daemons of this daemon's availability zone. Daemons that were named and never heard count as daemons
// of the zone: they may be.
type zone struct {
	name  string
	self  uint64
	peers map[netip.AddrPort]*peerRecord
	// version changes with the set of peers.
	version uint64
	// known is the number of daemons that are known and have not left, this one included.
	known   int
	updated time.Time
	// settlingSince is when the zone began to look complete; settled is true once settleTime has passed since.
	settlingSince time.Time
	settled       bool
}

func newZone(name string, self netip.AddrPort) *zone {
	return &zone{name: name, self: addrHash(self), known: 1, peers: make(map[netip.AddrPort]*peerRecord)}
}

func addrHash(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary() // never fails
	return xxhash.Sum64(b)
}

// unsettle makes the daemon wait for settleTime again.
func (z *zone) unsettle(now time.Time) {
	z.settled, z.settlingSince = false, now
}

// usable reports whether the daemon may act on its view of the zone.
func (z *zone) usable(now time.Time) bool {
	return z.settled && now.Sub(z.updated) <= maxUpdateGap
}

// update replaces what is known about the other daemons.
//
// Load pattern: a daemon that starts, wakes or is cut off may miss daemons of its zone, and would then take itself for a
// user of many targets.
func (z *zone) update(now time.Time, peers []Peer) {
	if now.Sub(z.updated) > maxUpdateGap {
		z.unsettle(now)
	}
	z.updated = now
	grown := false
	for _, r := range z.peers {
		r.live = false
	}
	for _, p := range peers {
		grown = z.record(now, p) || grown
	}
	majority := z.majorityLive()
	z.forget(now, majority)
	if !majority || grown && !z.settled {
		z.unsettle(now)
	}
	z.settled = z.settled || now.Sub(z.settlingSince) >= settleTime
}

// record records a daemon and reports whether it is new.
func (z *zone) record(now time.Time, p Peer) bool {
	r := z.peers[p.Addr]
	if p.Zone != "" && p.Zone != z.name {
		if r != nil {
			delete(z.peers, p.Addr)
			z.version++
		}
		return false
	}
	isNew := r == nil && !p.Leaving && now.Sub(p.Heard) < forgetTime
	if isNew {
		r = &peerRecord{hash: addrHash(p.Addr), heard: p.Heard}
		z.peers[p.Addr] = r
		z.version++
	}
	switch {
	case r == nil:
	case p.Live:
		r.live, r.heard, r.known, r.left = true, p.Heard, p.Known, time.Time{}
	case p.Leaving && r.left.IsZero():
		r.left = now
	}
	return isNew
}

// majorityLive counts the daemons that are known and reports whether more than half of the zone's daemons are live, this
// one included. The zone has as many as this daemon or a live one of the others knows.
//
// Load pattern: daemons restart in the smaller part of a cut zone, and then know only the daemons of that part.
func (z *zone) majorityLive() bool {
	live, told := 1, 0
	z.known = 1
	for _, r := range z.peers {
		if r.left.IsZero() {
			z.known++
		}
		if r.live {
			live++
			told = max(told, r.known)
		}
	}
	return 2*live > max(z.known, told)
}

// forget removes the daemons that left or have been silent for long.
func (z *zone) forget(now time.Time, majority bool) {
	limit := maxForgetTime
	if majority {
		limit = forgetTime
	}
	for addr, r := range z.peers {
		if !r.left.IsZero() && now.Sub(r.left) >= settleTime || now.Sub(r.heard) >= limit {
			delete(z.peers, addr)
			z.version++
		}
	}
}

// uses reports whether this daemon is a user of the target: fewer than userCount daemons precede it in the
// target's rendezvous order.
func (z *zone) uses(target uint64) bool {
	own, preceding := mix(z.self^target), 0
	for _, r := range z.peers {
		if mix(r.hash^target) > own {
			if preceding++; preceding >= userCount {
				return false
			}
		}
	}
	return true
}

// mix is a bijection whose output bits each depend on all input bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
