package listsource

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// peers is the state of the reader's exchange with other daemons.
type peers struct {
	// starting is true until a new daemon has received the digests of its first peers or startEnds is reached.
	starting  bool
	startEnds time.Time
	// asked contains the peers whose digest was requested at the start. The value is true until the peer
	// responds.
	asked map[netip.AddrPort]bool
	// listAsked is true once peers from the list of machines were asked.
	listAsked bool

	offers [3]offer
	// busy is true while a request for a body is open.
	busy bool
}

// offer is the newest version of a list that a peer has reported and that is to be requested from it.
type offer struct {
	peer    netip.AddrPort
	version Version
	at      time.Time // when to request it; zero for no offer
}

func (p *peers) nextTick() time.Time {
	var next time.Time
	if p.starting && p.listAsked {
		next = p.startEnds
	}
	if p.busy {
		return next
	}
	for i := range p.offers {
		if !p.offers[i].at.IsZero() {
			next = earliest(next, p.offers[i].at)
		}
	}
	return next
}

// startPeers requests the digests of some seeds.
func (r *Reader) startPeers() []Action {
	r.peers.starting = true
	r.peers.asked = make(map[netip.AddrPort]bool)
	return r.askDigests(r.cfg.Seeds)
}

// askDigests requests the digests of up to StartPeers peers, selected at random from those not asked before.
func (r *Reader) askDigests(from []netip.AddrPort) []Action {
	var actions []Action
	for _, i := range r.cfg.Rand.Perm(len(from)) {
		if len(actions) == r.cfg.StartPeers {
			break
		}
		if _, asked := r.peers.asked[from[i]]; asked || !r.isBulk(from[i]) {
			continue
		}
		r.peers.asked[from[i]] = true
		actions = append(actions, AskDigest{Peer: from[i]})
	}
	return actions
}

// stepStart requests digests from peers of the first list of machines. It ends the start phase once all
// asked peers have responded or StartWait has passed.
func (r *Reader) stepStart(now time.Time) []Action {
	if !r.peers.starting {
		return nil
	}
	var actions []Action
	if d := r.store.newest[lists.KindMachines]; d != nil && !r.peers.listAsked {
		r.peers.listAsked = true
		r.peers.startEnds = now.Add(r.cfg.StartWait)
		actions = r.askDigests(bulkAddresses(d.machines.Entries()))
	}
	if r.peers.listAsked && (!r.awaitsDigest() || !now.Before(r.peers.startEnds)) {
		r.peers.starting = false
	}
	return actions
}

func (r *Reader) awaitsDigest() bool {
	for _, open := range r.peers.asked {
		if open {
			return true
		}
	}
	return false
}

func bulkAddresses(entries []*model.EntryVM) []netip.AddrPort {
	all := make([]netip.AddrPort, 0, len(entries))
	for _, e := range entries {
		if e.State == model.MachineLive {
			all = append(all, e.Bulk)
		}
	}
	return all
}

// HandleDigest processes the digest of a peer's lists from a response or a heartbeat. The peer is identified
// by its bulk address.
func (r *Reader) HandleDigest(now time.Time, peer netip.AddrPort, d Digest) []Action {
	r.answered(peer)
	for i, v := range d {
		kind := lists.Kind(i)
		r.store.show(kind, v.Revision)
		r.consider(now, kind, peer, v)
	}
	return r.step(now)
}

func (r *Reader) answered(peer netip.AddrPort) {
	if _, asked := r.peers.asked[peer]; asked {
		r.peers.asked[peer] = false
	}
}

// consider stores a peer's version as an offer if it is newer than the stored list. An existing offer keeps
// its time, so that repeated heartbeats do not postpone the request.
func (r *Reader) consider(now time.Time, kind lists.Kind, peer netip.AddrPort, v Version) {
	if !r.isBulk(peer) || !r.newer(kind, v) {
		return
	}
	o := &r.peers.offers[kind]
	if !o.at.IsZero() && o.version.Compare(v) >= 0 {
		return
	}
	if o.at.IsZero() {
		o.at = now.Add(r.peerDelay(kind, v))
	}
	o.peer, o.version = peer, v
}

// newer reports whether a version reported by a peer is newer than the stored version and was not rejected.
func (r *Reader) newer(kind lists.Kind, v Version) bool {
	if v.Revision == 0 {
		return false
	}
	if v.Size == 0 {
		return v.Revision > r.store.revision(kind)
	}
	if v == r.store.refused[kind] {
		return false
	}
	held := r.store.newest[kind]
	return held == nil || v.Compare(held.Version) > 0
}

// peerDelay returns the delay before a list is requested from a peer. It gives the platform time to deliver
// the same revision. A revision that was rejected here is requested rarely: it may have been truncated in
// transit, and the peer may have the complete document.
func (r *Reader) peerDelay(kind lists.Kind, v Version) time.Duration {
	if v.Size == 0 && v.Revision <= r.store.refused[kind].Revision {
		return r.cfg.RetryRefusedMax/10 + r.jitter(r.cfg.Spread)
	}
	if r.peers.starting || r.link.down || !r.cfg.UsePlatform {
		return r.jitter(r.cfg.Spread)
	}
	return r.cfg.PeerDelay + r.jitter(r.cfg.Spread)
}

// stepPeers requests the next offered list that is due.
func (r *Reader) stepPeers(now time.Time) []Action {
	if r.peers.busy {
		return nil
	}
	for i := range r.peers.offers {
		o := &r.peers.offers[i]
		kind := lists.Kind(i)
		if o.at.IsZero() || now.Before(o.at) {
			continue
		}
		peer, version := o.peer, o.version
		*o = offer{}
		if !r.newer(kind, version) {
			continue
		}
		if version.Size == 0 && version.Revision <= r.store.refused[kind].Revision {
			return []Action{AskDigest{Peer: peer}}
		}
		r.peers.busy = true
		return []Action{AskBody{Peer: peer, Kind: kind}}
	}
	return nil
}

// HandleBody processes a list received from a peer. A body that does not match the version given by the peer
// is discarded.
func (r *Reader) HandleBody(now time.Time, peer netip.AddrPort, kind lists.Kind, version Version, body []byte) []Action {
	r.peers.busy = false
	var actions []Action
	if VersionOf(version.Revision, body) == version {
		r.store.show(kind, version.Revision)
		_, actions = r.take(kind, version.Revision, document(kind, body, SourcePeer), SourcePeer)
	}
	return append(actions, r.step(now)...)
}

// HandlePeerFailure processes the failure of an AskDigest (body is false) or an AskBody (body is true).
func (r *Reader) HandlePeerFailure(now time.Time, peer netip.AddrPort, body bool) []Action {
	r.answered(peer)
	if body {
		r.peers.busy = false
	}
	return r.step(now)
}
