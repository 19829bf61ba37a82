package membership

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// List tracks the members of the fleet. Only View and Lease are safe for concurrent use.
type List struct {
	cfg   Config
	lease *Lease
	view  atomic.Pointer[View]

	members map[model.MachineID]*member
	zones   []*zone
	// home is the zone of this machine.
	home *zone
	// unlistedCount is the number of members without an entry, except self.
	unlistedCount int
	self          *member
	gossip        gossipQueue

	revisions model.Revisions
	// left is true after SetLeft.
	left bool
	// dirty is true while a change of the state is not yet in the View.
	dirty bool

	started      bool
	lastCall     time.Time
	nextPeriodic time.Time
	joining      joining
}

// queuedHeartbeats is the capacity of the queue of gossip updates, as a number of full heartbeats.
const queuedHeartbeats = 4

// zone is the state that a List keeps about one zone.
type zone struct {
	zone model.Zone
	// members holds the published machines of the zone without self, sorted by id.
	members []*member
	// seen is when a heartbeat from any machine of the zone was last received.
	seen      time.Time
	probedAt  time.Time
	pulledAt  time.Time
	synced    bool
	reachable bool
	// mismatches counts the consecutive heartbeats whose digest of the zone differs from this machine's.
	mismatches int
}

// joining is the state from a start or the end of a pause until heartbeats from enough machines of the zone have been
// received.
type joining struct {
	active bool
	since  time.Time
	// anyContact is true once a heartbeat from a published machine of any zone has been received in that time.
	anyContact bool
	// seen holds the machines of the home zone from which a heartbeat has been received in that time. quorum is
	// the required number of them.
	seen   map[model.MachineID]struct{}
	quorum int
}

// New returns a List that knows no other machines. It panics if the config is not valid, see Config.Validate.
func New(cfg Config) *List {
	cfg = cfg.WithDefaults()
	if err := cfg.Validate(); err != nil {
		panic(err)
	}
	l := &List{
		cfg:     cfg,
		lease:   new(Lease),
		members: make(map[model.MachineID]*member),
		gossip:  gossipQueue{transmissions: cfg.GossipTransmissions, limit: queuedHeartbeats * cfg.MaxGossipUpdates},
		home:    &zone{zone: cfg.Zone, reachable: true},
	}
	l.zones = []*zone{l.home}
	l.self = &member{id: cfg.Self, state: Alive, incarnation: cfg.Incarnation, epoch: 1}
	l.members[cfg.Self] = l.self
	l.view.Store(new(View))
	return l
}

// View returns the current View. It is safe for concurrent use.
func (l *List) View() *View {
	return l.view.Load()
}

// Lease returns the lease, which the List renews with each call that is made in time. It is safe for concurrent use.
func (l *List) Lease() *Lease {
	return l.lease
}

// SetPublished replaces the published list. Machines that are no longer in it are removed.
func (l *List) SetPublished(now time.Time, entries []*model.EntryVM) []Action {
	out := l.beginCall(now)
	named := make(map[model.MachineID]struct{}, len(entries))
	for _, e := range entries {
		named[e.ID] = struct{}{}
		l.addPublished(now, e)
	}
	for id, m := range l.members {
		if _, ok := named[id]; !ok && m.entry != nil {
			l.removePublished(m)
		}
	}
	l.groupByZone(now)
	l.dirty = true
	return l.finishCall(out)
}

// addPublished adds a machine of the published list, or updates it.
func (l *List) addPublished(now time.Time, e *model.EntryVM) {
	m := l.members[e.ID]
	if m == nil {
		m = &member{id: e.ID}
		l.members[e.ID] = m
	}
	if m.entry == nil && m != l.self {
		l.promoteUnlisted(now, m)
	}
	m.entry = e
}

// promoteUnlisted turns an unlisted machine into a member. It keeps the machine's state unless that is alive or suspect
// and the last heartbeat was received more than FailedAfter ago.
func (l *List) promoteUnlisted(now time.Time, m *member) {
	if m.state == Unknown {
		return
	}
	l.unlistedCount--
	if m.state.presumedAlive() && now.Sub(m.lastHeartbeat) > l.cfg.FailedAfter {
		l.resetState(m)
	}
}

// removePublished removes a machine that is no longer in the published list.
func (l *List) removePublished(m *member) {
	l.gossip.drop(m.id)
	if m == l.self {
		m.entry = nil
		return
	}
	delete(l.members, m.id)
}

// groupByZone groups the published machines by zone and keeps the state of each known zone.
func (l *List) groupByZone(now time.Time) {
	known := lo.KeyBy(l.zones, func(z *zone) model.Zone { return z.zone })
	for _, z := range l.zones {
		z.members = nil
	}
	for _, m := range l.members {
		if m.entry == nil || m == l.self {
			continue
		}
		z := known[m.entry.Zone]
		if z == nil {
			z = &zone{zone: m.entry.Zone, seen: now, reachable: true}
			known[m.entry.Zone] = z
		}
		z.members = append(z.members, m)
	}
	l.zones = l.zones[:0]
	for _, z := range known {
		slices.SortFunc(z.members, func(a, b *member) int { return cmp.Compare(a.id, b.id) })
		if len(z.members) > 0 || z == l.home {
			l.zones = append(l.zones, z)
		}
	}
	slices.SortFunc(l.zones, func(a, b *zone) int { return cmp.Compare(a.zone.String(), b.zone.String()) })
	l.updateHomeZone(known)
	if l.joining.active {
		l.joining.quorum = l.joinQuorum()
	}
}

// updateHomeZone sets the home zone to this machine's zone in the published list if that differs from the settings,
// because all other machines use the published zone.
func (l *List) updateHomeZone(known map[model.Zone]*zone) {
	if l.self.entry == nil || l.self.entry.Zone == l.home.zone {
		return
	}
	home := known[l.self.entry.Zone]
	if home == nil {
		home = &zone{zone: l.self.entry.Zone}
		l.zones = append(l.zones, home)
	}
	home.reachable = true
	l.home = home
}

// SetRevisions sets the revisions that heartbeats carry.
func (l *List) SetRevisions(r model.Revisions) {
	l.revisions = r
}

// SetReady sets whether this process may own flows. After a start or a pause, it cannot be set to true before
// SelfJoined.
func (l *List) SetReady(now time.Time, ready bool) []Action {
	out := l.beginCall(now)
	if (ready && l.joining.active) || ready == l.self.ready {
		return l.finishCall(out)
	}
	l.self.ready = ready
	return l.announce(now, out)
}

// SetDraining starts the planned stop of this process. It owns no new flows from now on.
func (l *List) SetDraining(now time.Time) []Action {
	out := l.beginCall(now)
	if l.self.draining {
		return l.finishCall(out)
	}
	l.self.draining = true
	return l.announce(now, out)
}

// SetLeft ends the planned stop, so that the other machines do not have to detect it by timeout.
func (l *List) SetLeft(now time.Time) []Action {
	out := l.beginCall(now)
	l.left = true
	l.self.draining = true
	return l.announce(now, out)
}

// announce increases this machine's epoch and sends a heartbeat immediately, outside the interval.
func (l *List) announce(now time.Time, out []Action) []Action {
	l.self.epoch++
	l.dirty = true
	out = append(out, l.periodicHeartbeat()...)
	return l.finishCall(out)
}

// finishCall ends each call of the List. It publishes a new View if the state has changed.
func (l *List) finishCall(out []Action) []Action {
	if l.dirty {
		l.dirty = false
		l.publishView()
	}
	return out
}

func (l *List) publishView() {
	v := &View{Version: l.View().Version + 1, byID: make(map[model.MachineID]int, len(l.members))}
	for _, z := range l.zones {
		zv := zoneView{zone: z.zone}
		for _, m := range l.zoneMembers(z) {
			owner := z.reachable && m.mayOwn()
			if owner {
				zv.owners = append(zv.owners, m.entry)
				zv.salts = append(zv.salts, saltOf(m.id))
				v.Digest += uint32(mix(uint64(m.id) ^ mix(m.incarnation)))
			}
			v.members = append(v.members, l.memberView(z, m, owner))
		}
		v.zones = append(v.zones, zv)
	}
	slices.SortFunc(v.members, func(a, b MemberView) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	for i, m := range v.members {
		v.byID[m.Entry.ID] = i
	}
	l.view.Store(v)
}

func (l *List) memberView(z *zone, m *member, owner bool) MemberView {
	return MemberView{
		Entry:            m.entry,
		State:            m.state,
		Incarnation:      m.incarnation,
		Reachable:        z.reachable && m.state.presumedAlive(),
		MaybePartitioned: !z.reachable && (m.state.presumedAlive() || m.state == Unknown),
		Owner:            owner,
		Direct:           m == l.self || z != l.home || m.lastHeartbeat.Equal(m.seen),
	}
}

// zoneMembers returns the published members of a zone, including self, sorted by id.
func (l *List) zoneMembers(z *zone) []*member {
	if z != l.home || l.self.entry == nil {
		return z.members
	}
	all := append(slices.Clone(z.members), l.self)
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(a.id, b.id) })
	return all
}

// zoneOf returns the zone of a member, or nil for an unlisted machine.
func (l *List) zoneOf(m *member) *zone {
	if m.entry == nil {
		return nil
	}
	for _, z := range l.zones {
		if z.zone == m.entry.Zone {
			return z
		}
	}
	return nil
}

// digest returns the digest of a zone that heartbeats carry: the sum of the digests of its machines that are alive or
// suspect.
func (l *List) digest(z *zone) uint64 {
	var sum uint64
	for _, m := range z.members {
		if m.state.presumedAlive() {
			sum += m.digest()
		}
	}
	if z == l.home && l.self.entry != nil && !l.left {
		sum += l.self.digest()
	}
	return sum
}

// heartbeat returns a heartbeat with the state of this process and the given gossip updates.
func (l *List) heartbeat(updates []wire.GossipUpdate) wire.Heartbeat {
	return wire.Heartbeat{
		Ready:         l.self.ready,
		Draining:      l.self.draining,
		Left:          l.left,
		Epoch:         l.self.epoch,
		Revisions:     l.revisions,
		ViewDigest:    l.digest(l.home),
		GossipUpdates: updates,
	}
}
