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

// List keeps the members of the fleet. It is not safe for concurrent use, but for View and Lease.
type List struct {
	cfg   Config
	lease *Lease
	view  atomic.Pointer[View]

	members map[model.MachineID]*member
	zones   []*zone
	home    *zone
	guests  int
	self    *member
	news    rumours

	revisions model.Revisions
	left      bool
	dirty     bool

	started     bool
	lastRun     time.Time
	nextRegular time.Time
	waking      waking
}

// queuedHeartbeats bounds the queue of news, in heartbeats that it fills.
const queuedHeartbeats = 4

// zone is what a List knows of one zone.
type zone struct {
	zone model.Zone
	// members are the published machines of the zone in the order of their ids, without self.
	members   []*member
	heard     time.Time
	probed    time.Time
	pulled    time.Time
	synced    bool
	reachable bool
	// mismatches counts the heartbeats in a row whose digest of the zone differs from the own.
	mismatches int
}

// waking is the state from a start or the end of a pause until enough of the zone was heard.
type waking struct {
	active bool
	since  time.Time
	// anyone is true once a published machine of any zone was heard since then.
	anyone bool
	// heard holds the machines of the zone that were heard since then; needed is how many it takes.
	heard  map[model.MachineID]struct{}
	needed int
}

// New returns a List that knows no machine. It panics when the config is not valid; see
// Config.Validate.
func New(cfg Config) *List {
	cfg = cfg.WithDefaults()
	if err := cfg.Validate(); err != nil {
		panic(err)
	}
	l := &List{
		cfg:     cfg,
		lease:   new(Lease),
		members: make(map[model.MachineID]*member),
		news:    rumours{copies: cfg.RumourCopies, limit: queuedHeartbeats * cfg.MaxRumours},
		home:    &zone{zone: cfg.Zone, reachable: true},
	}
	l.zones = []*zone{l.home}
	l.self = &member{id: cfg.Self, state: Alive, incarnation: cfg.Incarnation, epoch: 1}
	l.members[cfg.Self] = l.self
	l.view.Store(new(View))
	return l
}

// View returns who is here. It is safe for concurrent use.
func (l *List) View() *View {
	return l.view.Load()
}

// Lease returns the lease that the List renews whenever it is called in time.
func (l *List) Lease() *Lease {
	return l.lease
}

// SetPublished replaces the machines that may exist. A machine that is no longer named is forgotten.
func (l *List) SetPublished(now time.Time, entries []*model.EntryVM) []Action {
	out := l.run(now)
	named := make(map[model.MachineID]struct{}, len(entries))
	for _, e := range entries {
		named[e.ID] = struct{}{}
		l.publish(now, e)
	}
	for id, m := range l.members {
		if _, ok := named[id]; !ok && m.entry != nil {
			l.unpublish(m)
		}
	}
	l.arrangeZones(now)
	l.dirty = true
	return l.finish(out)
}

func (l *List) publish(now time.Time, e *model.EntryVM) {
	m := l.members[e.ID]
	if m == nil {
		m = &member{id: e.ID}
		l.members[e.ID] = m
	}
	if m.entry == nil && m != l.self {
		l.welcome(now, m)
	}
	m.entry = e
}

// welcome turns a guest into a member.
func (l *List) welcome(now time.Time, m *member) {
	if m.state == Unknown {
		return
	}
	l.guests--
	if m.state.here() && now.Sub(m.direct) > l.cfg.DeadAfter {
		l.forget(m)
	}
}

func (l *List) unpublish(m *member) {
	l.news.drop(m.id)
	if m == l.self {
		m.entry = nil
		return
	}
	delete(l.members, m.id)
}

// arrangeZones sorts the published machines into zones and keeps what is known of each zone.
func (l *List) arrangeZones(now time.Time) {
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
			z = &zone{zone: m.entry.Zone, heard: now, reachable: true}
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
	l.arrangeHome(known)
	if l.waking.active {
		l.waking.needed = l.expectedPeers()
	}
}

// arrangeHome follows the published list when it puts self into another zone than the settings did,
// since all the others do.
func (l *List) arrangeHome(known map[model.Zone]*zone) {
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

// SetRevisions sets the revisions that heartbeats tell of.
func (l *List) SetRevisions(r model.Revisions) {
	l.revisions = r
}

// SetReady says whether this process may own flows. It is ignored while the process is waking: wait
// for SelfAwake.
func (l *List) SetReady(now time.Time, ready bool) []Action {
	out := l.run(now)
	if (ready && l.waking.active) || ready == l.self.ready {
		return l.finish(out)
	}
	l.self.ready = ready
	return l.announce(now, out)
}

// SetLeaving starts the planned stop of this process: it owns no new flows from now on.
func (l *List) SetLeaving(now time.Time) []Action {
	out := l.run(now)
	if l.self.leaving {
		return l.finish(out)
	}
	l.self.leaving = true
	return l.announce(now, out)
}

// SetLeft ends the planned stop: the others need not wait for the silence.
func (l *List) SetLeft(now time.Time) []Action {
	out := l.run(now)
	l.left = true
	l.self.leaving = true
	return l.announce(now, out)
}

// announce raises the own epoch and sends a heartbeat out of turn.
func (l *List) announce(now time.Time, out []Action) []Action {
	l.self.epoch++
	l.dirty = true
	out = append(out, l.regular()...)
	return l.finish(out)
}

// finish publishes a new View when something changed.
func (l *List) finish(out []Action) []Action {
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
			owner := z.reachable && m.owns()
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
		Entry:       m.entry,
		State:       m.state,
		Incarnation: m.incarnation,
		Here:        z.reachable && m.state.here(),
		Hidden:      !z.reachable && (m.state.here() || m.state == Unknown),
		Owner:       owner,
		Direct:      m == l.self || z != l.home || m.direct.Equal(m.heard),
	}
}

// zoneMembers returns the published members of a zone, self among them, in the order of their ids.
func (l *List) zoneMembers(z *zone) []*member {
	if z != l.home || l.self.entry == nil {
		return z.members
	}
	all := append(slices.Clone(z.members), l.self)
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(a.id, b.id) })
	return all
}

// zoneOf returns the zone of a member, nil for a guest.
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

// digest sums up the machines of a zone that are here, as heartbeats carry it.
func (l *List) digest(z *zone) uint64 {
	var sum uint64
	for _, m := range z.members {
		if m.state.here() {
			sum += m.digest()
		}
	}
	if z == l.home && l.self.entry != nil && !l.left {
		sum += l.self.digest()
	}
	return sum
}

func (l *List) heartbeat(news []wire.Rumour) wire.Heartbeat {
	return wire.Heartbeat{
		Ready:     l.self.ready,
		Leaving:   l.self.leaving,
		Left:      l.left,
		Epoch:     l.self.epoch,
		Revisions: l.revisions,
		View:      l.digest(l.home),
		Rumours:   news,
	}
}
