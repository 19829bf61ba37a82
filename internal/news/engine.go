package news

import (
	"net/netip"
	"time"
)

// Engine takes every decision about the copy of the published items. Events are handed in with their time,
// which must not go back; it is not safe for concurrent use.
type Engine struct {
	cfg     Config
	board   *board
	members *members
	reader  reader

	started time.Time
	// confirmed is when the platform last confirmed the copy, here or at another daemon.
	confirmed time.Time
	nextBeat  time.Time
	nextAsk   time.Time
	// nextAll is when silent daemons are sent a heartbeat again.
	nextAll  time.Time
	fetching bool
	// wantedAt is when a large value is fetched from wantedFrom; zero while none is due.
	wantedAt   time.Time
	wantedFrom netip.AddrPort
	leaving    bool
}

// silentEvery is the time between two heartbeats to a daemon that is silent.
const silentEvery = time.Second

// New returns an engine with an empty copy.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{cfg: cfg, board: newBoard(), members: newMembers(cfg.Self)}
}

// Start begins to read and to look for other daemons. It is called once, before any other event.
func (e *Engine) Start(now time.Time) []Action {
	e.started = now
	e.confirmed = now.Add(-e.cfg.Trust)
	e.reader.next = now
	e.learnSeeds(now)
	return e.step(now)
}

// SetSeeds replaces the daemons that may know others.
func (e *Engine) SetSeeds(now time.Time, seeds []netip.AddrPort) []Action {
	e.cfg.Seeds = seeds
	e.learnSeeds(now)
	return e.step(now)
}

func (e *Engine) learnSeeds(now time.Time) {
	for _, a := range e.cfg.Seeds {
		e.members.learn(now, Member{Addr: a})
	}
}

// Leave tells the other daemons that this one stops.
func (e *Engine) Leave(now time.Time) []Action {
	e.leaving = true
	e.nextBeat = now
	return e.step(now)
}

// Tick does what has become due.
func (e *Engine) Tick(now time.Time) []Action {
	return e.step(now)
}

// Confirmed reports whether the platform has confirmed the copy since the start, here or at another daemon.
func (e *Engine) Confirmed() bool {
	return e.confirmed.After(e.started.Add(-e.cfg.Trust))
}

// Age returns the time since the platform confirmed what is held, here or at another daemon.
func (e *Engine) Age(now time.Time) time.Duration {
	return e.age(now)
}

func (e *Engine) age(now time.Time) time.Duration {
	return now.Sub(e.confirmed)
}

// Members returns the daemons that are live.
func (e *Engine) Members(now time.Time) []Member {
	return e.members.live(now)
}

// Complete returns the revision up to which every change is held.
func (e *Engine) Complete() uint64 {
	return e.board.complete
}

// Digest sums up the items that stand.
func (e *Engine) Digest() uint64 {
	return e.board.digest
}

// Answer returns what a daemon with the given versions lacks: the revision up to which the answer knows of
// every change, its age, the lacking items, and the names of all that stand.
func (e *Engine) Answer(now time.Time, have []Version) (complete uint64, age time.Duration, items []Item, standing []Version) {
	return e.board.complete, e.age(now), e.board.lacking(have), e.board.standing()
}

// HandleDatagram takes what another daemon tells.
func (e *Engine) HandleDatagram(now time.Time, from netip.AddrPort, d Datagram) []Action {
	m := e.members.learn(now, Member{Addr: from})
	if m == nil {
		return nil
	}
	var actions []Action
	if d.Heartbeat != nil {
		actions = e.heard(now, m, d.Heartbeat)
	}
	for _, named := range d.Members {
		if e.members.byAddr[named.Addr] == nil && e.members.learn(now, named) != nil {
			actions = append(actions, Send{To: []netip.AddrPort{named.Addr}, Datagram: Datagram{Heartbeat: e.beat(now)}})
		}
	}
	if d.Asks {
		known := e.members.introduce(now, m.Zone, e.cfg.Voices, e.cfg.MaxMembers, e.cfg.Rand)
		answer := Datagram{Heartbeat: e.beat(now), Members: known}
		actions = append(actions, Send{To: []netip.AddrPort{from}, Datagram: answer})
	}
	actions = append(actions, e.told(now, m, d.Items)...)
	return append(actions, e.step(now)...)
}

// heard notes a heartbeat.
func (e *Engine) heard(now time.Time, m *member, beat *Heartbeat) []Action {
	m.beat = *beat
	m.heard = now
	e.members.learn(now, Member{Addr: m.Addr, Zone: beat.Zone, Link: beat.Link})
	e.compare(now, m)
	return nil
}

// compare notes whether another daemon's copy equals the own one. An equal copy that is known to be complete
// up to a revision makes the own one so too.
func (e *Engine) compare(now time.Time, m *member) {
	if m.beat.Digest != e.board.digest || !e.board.filled {
		if m.differs.IsZero() {
			m.differs = now
		}
		return
	}
	m.differs = time.Time{}
	e.board.complete = max(e.board.complete, m.beat.Complete)
	if at := now.Add(-m.beat.Age); at.After(e.confirmed) {
		e.confirmed = at
	}
}

// told takes items from another daemon, and fetches those that came without their value.
func (e *Engine) told(now time.Time, m *member, items []Item) []Action {
	var whole []Item
	var lacking *Item
	for _, it := range items {
		was := e.board.items[it.Key]
		if was != nil && was.Revision >= it.Revision {
			continue
		}
		opened, err := e.board.open(it)
		if it.Withheld || err != nil {
			lacking = &it
			continue
		}
		whole = append(whole, opened)
	}
	actions := e.changed(now, e.board.applyAll(now, whole), m)
	if lacking != nil {
		e.fetchSoon(now, m, lacking.Size)
	}
	return actions
}

const (
	// unknownLink is the rate that a daemon's link is taken to have at least, in Mbit/s.
	unknownLink = 10
	// fetchRoom is the part of a link that fetches leave to packets, as a factor of their time.
	fetchRoom = 2
	// maxFetchDelay bounds the wait for one's turn, inside the time in which a change must be in force.
	maxFetchDelay = 1500 * time.Millisecond
)

// fetchSoon sets when a large value is fetched. The daemons of a zone take turns by their places, each for as long
// as the sender's link needs for one answer: it answers the load pattern of a large change that all fetch at once,
// which would fill the link of the daemon that tells of it.
func (e *Engine) fetchSoon(now time.Time, m *member, size int) {
	link := max(m.beat.Link, unknownLink)
	place, _ := e.members.place(now)
	turn := time.Duration(float64(size*8*fetchRoom) / float64(link) * float64(time.Microsecond))
	at := now.Add(min(time.Duration(place)*turn, maxFetchDelay))
	if e.wantedAt.IsZero() || at.Before(e.wantedAt) {
		e.wantedAt, e.wantedFrom = at, m.Addr
	}
}

// stepWanted fetches a large value once it is this daemon's turn.
func (e *Engine) stepWanted(now time.Time) []Action {
	if e.wantedAt.IsZero() || now.Before(e.wantedAt) || e.fetching {
		return nil
	}
	e.wantedAt = time.Time{}
	m := e.members.byAddr[e.wantedFrom]
	if m == nil {
		return nil
	}
	return []Action{e.fetch(now, m)}
}

// NextTick returns when Tick has something to do before its usual time, or false.
func (e *Engine) NextTick() (time.Time, bool) {
	return e.wantedAt, !e.wantedAt.IsZero() && !e.fetching
}

func (e *Engine) fetch(now time.Time, m *member) Action {
	e.fetching = true
	m.fetched = now
	return Fetch{From: m.Addr, Have: e.board.versions()}
}

// Fetched is the answer to a Fetch.
type Fetched struct {
	From     netip.AddrPort
	Complete uint64
	Age      time.Duration
	Items    []Item
	Standing []Version
	Err      error
}

// HandleFetched takes the answer of another daemon.
func (e *Engine) HandleFetched(now time.Time, f Fetched) []Action {
	e.fetching = false
	m := e.members.byAddr[f.From]
	if f.Err != nil || m == nil {
		return e.step(now)
	}
	items := f.Items[:0]
	whole := true
	for _, it := range f.Items {
		opened, err := e.board.open(it)
		if err != nil {
			whole = false
			continue
		}
		items = append(items, opened)
	}
	f.Items = items
	var actions []Action
	if f.Complete > 0 && whole {
		actions = e.changed(now, e.board.reset(now, f.Complete, f.Items, f.Standing), m)
		if at := now.Add(-f.Age); at.After(e.confirmed) {
			e.confirmed = at
		}
	} else {
		actions = e.changed(now, e.board.applyAll(now, f.Items), m)
	}
	return append(actions, e.step(now)...)
}

// self returns the mark of news that this daemon has from the platform.
func (e *Engine) self() *member {
	return nil
}

// changed hands out news and passes it on: news of the platform to everyone who hears this daemon, news of
// another zone to the own zone.
func (e *Engine) changed(now time.Time, news []Item, from *member) []Action {
	if len(news) == 0 {
		return nil
	}
	for _, m := range e.members.ordered {
		m.differs = time.Time{}
	}
	actions := []Action{Changed{Items: news}}
	var to []netip.AddrPort
	switch {
	case from == nil:
		to = e.audience(now, false)
	case from.Zone != e.cfg.Self.Zone && !e.small():
		to = e.members.inZone(now, false, false)
	}
	if len(to) == 0 {
		return actions
	}
	for _, d := range e.pack(news) {
		actions = append(actions, Send{To: to, Datagram: d})
	}
	return actions
}

// maxDatagramBytes bounds the items of a datagram: what an Ethernet frame takes, less headers, keys and codes.
const maxDatagramBytes = 1200

// itemOverhead is the most that an item takes besides its key and value.
const itemOverhead = 32

// pack spreads items over datagrams. Large values are withheld and fetched by those who want them.
func (e *Engine) pack(items []Item) []Datagram {
	var out []Datagram
	var d Datagram
	size := 0
	for _, it := range items {
		it = e.forDatagram(it)
		bytes := len(it.Key) + len(it.Value) + len(it.Packed) + itemOverhead
		if size+bytes > maxDatagramBytes && size > 0 {
			out = append(out, d)
			d, size = Datagram{}, 0
		}
		d.Items = append(d.Items, it)
		size += bytes
	}
	return append(out, d)
}

// forDatagram returns an item with its value, with a delta, or with neither where both are too large.
func (e *Engine) forDatagram(it Item) Item {
	if it.Removed {
		it.Value = nil
	}
	h := e.board.items[it.Key]
	if len(it.Value) <= e.cfg.MaxItemBytes || h == nil {
		return it
	}
	it.Value = nil
	delta := h.packedDelta()
	switch {
	case delta == nil:
		it.Withheld, it.Size = true, len(h.packedWhole())
	case len(delta) <= e.cfg.MaxItemBytes:
		it.Packed, it.Base = delta, h.beforeRevision
	default:
		it.Withheld, it.Size = true, len(delta)
	}
	return it
}

func (e *Engine) small() bool {
	return len(e.members.ordered) < e.cfg.SmallFleet
}

// audience returns the daemons that hear this one.
func (e *Engine) audience(now time.Time, silent bool) []netip.AddrPort {
	if e.small() {
		return e.members.inZone(now, true, silent)
	}
	to := e.members.inZone(now, false, silent)
	if e.members.position(now) < e.cfg.Voices || e.reader.reading {
		to = append(to, e.members.first(now, e.cfg.Voices)...)
	}
	return to
}

// beat returns the own heartbeat.
func (e *Engine) beat(now time.Time) *Heartbeat {
	return &Heartbeat{
		Zone:     e.cfg.Self.Zone,
		Interval: e.interval(now),
		Highest:  e.board.highest,
		Complete: e.board.complete,
		Digest:   e.board.digest,
		Age:      e.age(now),
		Reads:    e.reader.reading,
		Failing:  now.Before(e.reader.failingUntil),
		Leaving:  e.leaving,
		Link:     e.cfg.Self.Link,
	}
}

func (e *Engine) interval(now time.Time) time.Duration {
	if e.small() || e.members.position(now) < first {
		return e.cfg.Interval
	}
	return e.cfg.SlowInterval
}

// step does whatever the state asks for.
func (e *Engine) step(now time.Time) []Action {
	actions := e.stepReader(now)
	actions = append(actions, e.stepBeat(now)...)
	actions = append(actions, e.stepWanted(now)...)
	actions = append(actions, e.stepFetch(now)...)
	return append(actions, e.tellPeers(now)...)
}

// stepBeat sends the heartbeat, and asks for members.
func (e *Engine) stepBeat(now time.Time) []Action {
	if now.Before(e.nextBeat) {
		return nil
	}
	e.nextBeat = now.Add(e.interval(now))
	e.members.forget(now)
	e.board.forget(now)
	silent := !now.Before(e.nextAll)
	if silent {
		e.nextAll = now.Add(silentEvery)
	}
	actions := []Action{Send{To: e.audience(now, silent), Datagram: Datagram{Heartbeat: e.beat(now)}}}
	if now.Before(e.nextAsk) {
		return actions
	}
	e.nextAsk = now.Add(e.cfg.AskEvery)
	if !e.members.anyLive(now) {
		e.nextAsk = now.Add(e.interval(now))
	}
	if ask := e.whomToAsk(now); len(ask) > 0 {
		actions = append(actions, Send{To: ask, Datagram: Datagram{Heartbeat: e.beat(now), Asks: true}})
	}
	return actions
}

// whomToAsk returns a live daemon, and the seeds while there is none in the own zone.
func (e *Engine) whomToAsk(now time.Time) []netip.AddrPort {
	var near []netip.AddrPort
	for _, m := range e.members.live(now) {
		if m.Zone == e.cfg.Self.Zone {
			near = append(near, m.Addr)
		}
	}
	if len(near) > 1 {
		return []netip.AddrPort{near[e.cfg.Rand.IntN(len(near))]}
	}
	var out []netip.AddrPort
	for _, a := range e.cfg.Seeds {
		if a != e.cfg.Self.Addr {
			out = append(out, a)
		}
	}
	return out
}

// stepFetch repairs a copy that goes on to differ from a newer one.
func (e *Engine) stepFetch(now time.Time) []Action {
	if e.fetching || !e.wantedAt.IsZero() {
		return nil
	}
	var best *member
	for _, m := range e.members.ordered {
		if !e.wants(now, m) {
			continue
		}
		if best == nil || m.beat.Complete > best.beat.Complete {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	return []Action{e.fetch(now, best)}
}

// oldRepairs is how many times longer a copy that does not look newer may differ before it is fetched.
const oldRepairs = 10

// wants reports whether another daemon's copy is to be fetched.
func (e *Engine) wants(now time.Time, m *member) bool {
	if m.differs.IsZero() || !m.live(now) || now.Sub(m.fetched) < e.cfg.FetchEvery || m.beat.Highest == 0 {
		return false
	}
	if !e.board.filled {
		return true
	}
	patience := e.cfg.Repair
	if m.beat.Highest <= e.board.highest && m.beat.Complete <= e.board.complete {
		patience *= oldRepairs
	}
	return now.Sub(m.differs) >= patience
}

// tellPeers tells which daemons came or went.
func (e *Engine) tellPeers(now time.Time) []Action {
	var actions []Action
	for _, m := range e.members.ordered {
		if up := m.live(now); up != m.up {
			m.up = up
			actions = append(actions, PeerChanged{Member: m.Member, Up: up})
		}
	}
	return actions
}

// jitter returns a random time from 0 up to d.
func (e *Engine) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(e.cfg.Rand.Int64N(int64(d)))
}
