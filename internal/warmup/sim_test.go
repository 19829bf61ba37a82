package warmup

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

const (
	simTick       = 50 * time.Millisecond
	simSeeds      = 3
	simSample     = 60
	simRequest    = 2 * time.Second
	simRetention  = 60 * time.Second
	simLargeZone  = 32
	simMaxJitter  = 250 * time.Millisecond
	simLoss       = 0.02
	simOfferTries = 2
)

// zoneSim simulates the daemons of one zone, their membership as package news keeps it, and the flows that all of them
// try to send to targets that warm up, in virtual time.
type zoneSim struct {
	now      time.Time
	rand     *rand.Rand
	daemons  []*simDaemon
	targets  []*model.Target
	overage  float64
	slack    float64
	arrivals map[model.TargetID][]time.Time
	// part is the part of the zone that each daemon is in; daemons of different parts do not hear each other.
	part func(i int) int
	// deaf reports whether b never hears a, besides part.
	deaf func(a, b int) bool
}

// simDaemon is one daemon of the zone.
type simDaemon struct {
	index   int
	addr    netip.AddrPort
	gate    *Gate
	up      bool
	leaving bool
	// frozenUntil is when a frozen daemon wakes; heldBack are the first packets that it had decided on before.
	frozenUntil time.Time
	heldBack    []model.TargetID
	// known holds the daemons that this one knows by index, so that their order is the same every time.
	known       []*simPeer
	nextBeat    time.Time
	nextRequest time.Time
	nextUpdate  time.Time
	restartAt   time.Time
	// waiting are the daemons whose heartbeats came while this one was frozen.
	waiting []*simPeer
}

type simPeer struct {
	named, heard time.Time
	interval     time.Duration
	leaving      bool
	told         int
}

func newZoneSim(seed uint64, daemons, targets int, rate, overage, slack float64) *zoneSim {
	s := &zoneSim{
		now: time.Unix(1_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)), overage: overage, slack: slack,
		arrivals: make(map[model.TargetID][]time.Time), part: func(int) int { return 0 },
	}
	for i := range targets {
		name := fmt.Sprint("t", i)
		s.targets = append(s.targets, &model.Target{
			ID: model.TargetIDOf(name), Name: name, Zone: simZone, WarmupRate: rate,
			WarmUntil: s.now.Add(24 * time.Hour),
		})
	}
	for range daemons {
		s.join()
	}
	return s
}

var simZone = model.Zone{Region: "r", Name: "z"}

// join adds a daemon that starts now.
func (s *zoneSim) join() *simDaemon {
	i := len(s.daemons)
	d := &simDaemon{index: i, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8629)}
	s.daemons = append(s.daemons, d)
	s.start(d)
	return d
}

func (s *zoneSim) start(d *simDaemon) {
	d.gate = NewGate(Config{Self: d.addr, Zone: simZone, Overage: s.overage, Slack: s.slack})
	d.up, d.leaving, d.frozenUntil, d.restartAt = true, false, time.Time{}, time.Time{}
	d.heldBack, d.waiting, d.known = nil, nil, nil
	d.nextBeat, d.nextUpdate = s.now, s.now
	d.nextRequest = s.now
	for i := range min(simSeeds, len(s.daemons)) {
		if i != d.index {
			d.know(i, simPeer{named: s.now})
		}
	}
}

// know replaces what is known about a daemon.
func (d *simDaemon) know(i int, p simPeer) {
	d.known = withPeer(d.known, i, &p)
}

func (d *simDaemon) knows(i int) bool {
	return i < len(d.known) && d.known[i] != nil
}

func withPeer(peers []*simPeer, i int, p *simPeer) []*simPeer {
	for len(peers) <= i {
		peers = append(peers, nil)
	}
	peers[i] = p
	return peers
}

// acquaint lets all daemons know each other, as after a long time without faults.
func (s *zoneSim) acquaint() {
	for _, a := range s.daemons {
		for _, b := range s.daemons {
			if a != b {
				a.know(b.index, simPeer{named: s.now, heard: s.now, interval: s.interval()})
			}
		}
	}
}

func (s *zoneSim) kill(d *simDaemon, back time.Duration) {
	d.up = false
	if back > 0 {
		d.restartAt = s.now.Add(back)
	}
}

// leave begins a planned stop; the daemon goes on forwarding for a second and starts again after back.
func (s *zoneSim) leave(d *simDaemon, back time.Duration) {
	d.leaving = true
	d.gate.Stop()
	d.nextBeat = s.now
	d.restartAt = s.now.Add(time.Second + back)
}

// freeze stops a daemon with first packets decided on and not sent.
func (s *zoneSim) freeze(d *simDaemon, length time.Duration) {
	for _, t := range s.targets {
		if d.gate.Take(s.now, t) {
			d.heldBack = append(d.heldBack, t.ID)
		}
	}
	d.frozenUntil = s.now.Add(length)
}

func (s *zoneSim) reaches(a, b int) bool {
	return s.part(a) == s.part(b) && (s.deaf == nil || !s.deaf(a, b))
}

func (s *zoneSim) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(simTick) {
		for _, d := range s.daemons {
			s.step(d)
		}
	}
}

func (s *zoneSim) step(d *simDaemon) {
	if !d.restartAt.IsZero() && !s.now.Before(d.restartAt) {
		s.start(d)
	}
	if !d.up || s.now.Before(d.frozenUntil) {
		return
	}
	if !d.frozenUntil.IsZero() {
		s.wake(d)
	}
	s.offerFlows(d)
	s.beat(d)
	if !s.now.Before(d.nextUpdate) {
		d.nextUpdate = s.now.Add(s.updateInterval())
		d.gate.SetPeers(s.now, s.peersOf(d))
	}
}

// updateInterval is that of a daemon, or a longer one in a large zone, to save time.
func (s *zoneSim) updateInterval() time.Duration {
	if len(s.daemons) > 100 {
		return 10 * simTick
	}
	return 2 * simTick
}

func (s *zoneSim) wake(d *simDaemon) {
	d.frozenUntil = time.Time{}
	for _, t := range d.heldBack {
		s.arrive(t)
	}
	d.heldBack = nil
	for i, p := range d.waiting {
		if p != nil {
			s.hear(d, i, *p)
		}
	}
	d.waiting = nil
}

func (s *zoneSim) arrive(t model.TargetID) {
	s.arrivals[t] = append(s.arrivals[t], s.now.Add(time.Duration(s.rand.Int64N(int64(simMaxJitter)))))
}

func (s *zoneSim) offerFlows(d *simDaemon) {
	for _, t := range s.targets {
		for range simOfferTries {
			if d.gate.MayOffer(s.now, t) && d.gate.Take(s.now, t) {
				s.arrive(t.ID)
			}
		}
	}
}

func (s *zoneSim) interval() time.Duration {
	if len(s.daemons) < simLargeZone {
		return 300 * time.Millisecond
	}
	return time.Second
}

func (s *zoneSim) live(d *simDaemon, p *simPeer) bool {
	return !p.heard.IsZero() && !p.leaving && s.now.Sub(p.heard) <= 3*p.interval+150*time.Millisecond
}

// beat sends the heartbeat and the request for members when they are due.
func (s *zoneSim) beat(d *simDaemon) {
	if s.now.Before(d.nextBeat) {
		return
	}
	d.nextBeat = s.now.Add(s.interval())
	told := d.gate.Known()
	for i, p := range d.known {
		if p == nil {
			continue
		}
		last := p.heard
		if last.IsZero() {
			last = p.named
		}
		if s.now.Sub(last) > simRetention {
			d.known[i] = nil
			continue
		}
		s.sendTold(d, i, told)
	}
	if s.now.Before(d.nextRequest) {
		return
	}
	d.nextRequest = s.now.Add(simRequest)
	s.requestMembers(d)
}

// send delivers the heartbeat of d to another daemon.
func (s *zoneSim) send(d *simDaemon, to int) {
	s.sendTold(d, to, d.gate.Known())
}

func (s *zoneSim) sendTold(d *simDaemon, to, told int) {
	r := s.daemons[to]
	if !r.up || !s.reaches(d.index, to) || s.rand.Float64() < simLoss {
		return
	}
	p := simPeer{interval: s.interval(), leaving: d.leaving, told: told}
	if s.now.Before(r.frozenUntil) {
		r.waiting = withPeer(r.waiting, d.index, &p)
		return
	}
	s.hear(r, d.index, p)
}

func (s *zoneSim) hear(d *simDaemon, from int, p simPeer) {
	p.heard, p.named = s.now, s.now
	d.know(from, p)
}

// requestMembers asks a live daemon, or the seeds, for the daemons that it knows.
func (s *zoneSim) requestMembers(d *simDaemon) {
	live := s.liveOf(d)
	asked := live
	if len(live) > 1 {
		asked = []int{live[s.rand.IntN(len(live))]}
	} else {
		asked = nil
		for i := range min(simSeeds, len(s.daemons)) {
			if i != d.index {
				asked = append(asked, i)
			}
		}
	}
	for _, i := range asked {
		r := s.daemons[i]
		if !r.up || s.now.Before(r.frozenUntil) || !s.reaches(d.index, i) || !s.reaches(i, d.index) {
			continue
		}
		s.send(d, i)
		names := s.liveOf(r)
		s.rand.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
		for _, j := range names[:min(len(names), simSample)] {
			if j != d.index && !d.knows(j) {
				d.know(j, simPeer{named: s.now})
				s.send(d, j)
			}
		}
		s.send(r, d.index)
	}
}

func (s *zoneSim) liveOf(d *simDaemon) []int {
	var out []int
	for i, p := range d.known {
		if p != nil && s.live(d, p) {
			out = append(out, i)
		}
	}
	return out
}

func (s *zoneSim) peersOf(d *simDaemon) []Peer {
	out := make([]Peer, 0, len(d.known))
	for i, p := range d.known {
		if p == nil {
			continue
		}
		peer := Peer{Addr: s.daemons[i].addr, Heard: p.named}
		if !p.heard.IsZero() {
			peer = Peer{Addr: peer.Addr, Zone: simZone.Name, Heard: p.heard, Live: s.live(d, p), Leaving: p.leaving, Known: p.told}
		}
		out = append(out, peer)
	}
	return out
}

// bound is the number of first packets that a target may get in any second.
func (s *zoneSim) bound() int {
	return int(s.targets[0].WarmupRate*s.overage + s.slack)
}

// worst returns the most first packets that reached a target within a second.
func (s *zoneSim) worst() int {
	most := 0
	for _, at := range s.arrivals {
		slices.SortFunc(at, time.Time.Compare)
		first := 0
		for i := range at {
			for at[i].Sub(at[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// users returns the daemons that may use a target now.
func (s *zoneSim) users(t *model.Target) []int {
	var out []int
	for _, d := range s.daemons {
		if d.up && !s.now.Before(d.frozenUntil) && d.gate.Uses(s.now, t) {
			out = append(out, d.index)
		}
	}
	return out
}
