package listsource

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// peerState is the state of the reader's exchange with other daemons.
type peerState struct {
	// starting is true until a new daemon has received the digests of its first peers or startDeadline is reached.
	starting      bool
	startDeadline time.Time
	// requested contains the peers whose digest was requested at the start. The value is true until the peer
	// responds or the request fails.
	requested map[netip.AddrPort]bool
	// listedPeersRequested is true once peers from the list of machines received a request.
	listedPeersRequested bool

	offers [3]offer
	// bodyRequested is true while a request for a body is open.
	bodyRequested bool
}

// offer is the newest version of a list that a peer has reported and that is to be requested from it.
type offer struct {
	peer    netip.AddrPort
	version Version
	due     time.Time // when to request it; zero for no offer
}

func (p *peerState) nextTick() time.Time {
	var next time.Time
	if p.starting && p.listedPeersRequested {
		next = p.startDeadline
	}
	if p.bodyRequested {
		return next
	}
	for i := range p.offers {
		if !p.offers[i].due.IsZero() {
			next = earliest(next, p.offers[i].due)
		}
	}
	return next
}

// requestSeedDigests requests the digests of some seeds.
func (r *Reader) requestSeedDigests() []Action {
	r.peerState.starting = true
	r.peerState.requested = make(map[netip.AddrPort]bool)
	return r.requestDigests(r.cfg.Seeds)
}

// requestDigests requests the digests of up to StartPeers peers, selected at random from those without an
// earlier request.
func (r *Reader) requestDigests(from []netip.AddrPort) []Action {
	var actions []Action
	for _, i := range r.cfg.Rand.Perm(len(from)) {
		if len(actions) == r.cfg.StartPeers {
			break
		}
		if _, requested := r.peerState.requested[from[i]]; requested || !r.isPeer(from[i]) {
			continue
		}
		r.peerState.requested[from[i]] = true
		actions = append(actions, RequestDigest{Peer: from[i]})
	}
	return actions
}

// stepStart requests digests from peers in the first list of machines. It ends the start phase once every
// requested digest has arrived or failed, or StartWait has passed.
func (r *Reader) stepStart(now time.Time) []Action {
	if !r.peerState.starting {
		return nil
	}
	var actions []Action
	if d := r.store.newest[lists.KindMachines]; d != nil && !r.peerState.listedPeersRequested {
		r.peerState.listedPeersRequested = true
		r.peerState.startDeadline = now.Add(r.cfg.StartWait)
		actions = r.requestDigests(bulkAddresses(d.machines.Entries()))
	}
	if r.peerState.listedPeersRequested && (!r.awaitsDigests() || !now.Before(r.peerState.startDeadline)) {
		r.peerState.starting = false
	}
	return actions
}

func (r *Reader) awaitsDigests() bool {
	for _, pending := range r.peerState.requested {
		if pending {
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
	r.digestRequestDone(peer)
	for i, v := range d {
		kind := lists.Kind(i)
		r.store.recordRevision(kind, v.Revision)
		r.recordOffer(now, kind, peer, v)
	}
	return r.step(now)
}

func (r *Reader) digestRequestDone(peer netip.AddrPort) {
	if _, requested := r.peerState.requested[peer]; requested {
		r.peerState.requested[peer] = false
	}
}

// recordOffer stores a peer's version as an offer if it is newer than the stored list. An existing offer keeps
// its time, so that repeated heartbeats do not postpone the request.
func (r *Reader) recordOffer(now time.Time, kind lists.Kind, peer netip.AddrPort, v Version) {
	if !r.isPeer(peer) || !r.isNewer(kind, v) {
		return
	}
	o := &r.peerState.offers[kind]
	if !o.due.IsZero() && o.version.Compare(v) >= 0 {
		return
	}
	if o.due.IsZero() {
		o.due = now.Add(r.peerDelay(kind, v))
	}
	o.peer, o.version = peer, v
}

// isNewer reports whether a version reported by a peer is newer than the stored version and was not rejected.
func (r *Reader) isNewer(kind lists.Kind, v Version) bool {
	if v.Revision == 0 {
		return false
	}
	if v.Size == 0 {
		return v.Revision > r.store.revision(kind)
	}
	if v == r.store.rejected[kind] {
		return false
	}
	stored := r.store.newest[kind]
	return stored == nil || v.Compare(stored.Version) > 0
}

// peerDelay returns the delay before a list is requested from a peer. It gives the platform time to deliver
// the same revision. A revision that this daemon has rejected is requested rarely: the rejected document may
// have been truncated in transit, and the peer may have the complete one.
func (r *Reader) peerDelay(kind lists.Kind, v Version) time.Duration {
	if v.Size == 0 && v.Revision <= r.store.rejected[kind].Revision {
		return r.cfg.RetryRejectedMax/10 + r.jitter(r.cfg.Spread)
	}
	if r.peerState.starting || r.platformState.down || !r.cfg.UsePlatform {
		return r.jitter(r.cfg.Spread)
	}
	return r.cfg.PeerDelay + r.jitter(r.cfg.Spread)
}

// stepPeers requests the next offered list that is due.
func (r *Reader) stepPeers(now time.Time) []Action {
	if r.peerState.bodyRequested {
		return nil
	}
	for i := range r.peerState.offers {
		o := &r.peerState.offers[i]
		kind := lists.Kind(i)
		if o.due.IsZero() || now.Before(o.due) {
			continue
		}
		peer, version := o.peer, o.version
		*o = offer{}
		if !r.isNewer(kind, version) {
			continue
		}
		if version.Size == 0 && version.Revision <= r.store.rejected[kind].Revision {
			return []Action{RequestDigest{Peer: peer}}
		}
		r.peerState.bodyRequested = true
		return []Action{RequestBody{Peer: peer, Kind: kind}}
	}
	return nil
}

// HandleBody processes a list received from a peer. A body that does not match the version given by the peer
// is discarded.
func (r *Reader) HandleBody(now time.Time, peer netip.AddrPort, kind lists.Kind, version Version, body []byte) []Action {
	r.peerState.bodyRequested = false
	var actions []Action
	if VersionOf(version.Revision, body) == version {
		r.store.recordRevision(kind, version.Revision)
		_, actions = r.addDocument(kind, version.Revision, namedDocument(kind, body, SourcePeer), SourcePeer)
	}
	return append(actions, r.step(now)...)
}

// HandlePeerFailure processes the failure of a RequestDigest (body is false) or a RequestBody (body is true).
func (r *Reader) HandlePeerFailure(now time.Time, peer netip.AddrPort, body bool) []Action {
	r.digestRequestDone(peer)
	if body {
		r.peerState.bodyRequested = false
	}
	return r.step(now)
}
