//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	zoneOfClients = "zone-a"
	zoneOfTargets = "zone-b"
	serviceName   = "bookings"
	targetCount   = 6
	clientCount   = 2
	stopGrace     = 6 * time.Second
	// lossShare is the share of packets that links between the zones lose while they are lossy.
	lossShare = 0.03
)

// Third bytes of the addresses.
const (
	netDaemons = 1
	netTargets = 2
	netClients = 3
	netStore   = 4
	netGone    = 5
)

// world is the play. mu guards all but the processes.
type world struct {
	options *options
	dir     string
	mu      sync.Mutex
	rand    *rand.Rand
	began   time.Time
	ports   struct{ data, control, ready, metrics, target, store uint16 }
	store   *store
	route   netip.AddrPort
	seeds   []netip.AddrPort
	targets []*target
	clients []*client
	routers *routers
	judge   *judge
	// pauses are the shortest and the longest pause between two requests on a flow.
	pauses [2]time.Duration
	// nearTargets is the number of targets in the zone of the clients, linkDelay the delay to the other ones one way. cut is
	// true while the other zone is cut off.
	nearTargets int
	linkDelay   time.Duration
	cut         bool
	// turnedAway is the daemon that the store turns away, nil for none.
	turnedAway *daemon
	// calmSince is the last time of an unplanned impairment of the daemons or of the store.
	calmSince time.Time
	// lossyFrom and lossyTo are the last time in which links lose packets or are cut; lossyTo is zero while they do.
	lossyFrom, lossyTo time.Time
}

func (w *world) at(network, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 31, byte(network), byte(n)}), port)
}

func (w *world) locked(do func(now time.Time)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do(time.Now())
}

// receive passes the datagrams of a socket to handle, with the lock held.
func (w *world) receive(conn *net.UDPConn, handle func(now time.Time, raw []byte)) {
	_ = conn.SetReadBuffer(4 << 20)
	buf := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			w.locked(func(now time.Time) { handle(now, buf[:n]) })
		}
	}
}

// setLossy begins or ends the time in which links lose packets.
func (w *world) setLossy(lossy bool) {
	w.locked(func(now time.Time) {
		w.judge.note(now, "links between the zones lose packets: %v", lossy)
		if lossy {
			w.lossyFrom, w.lossyTo = now, time.Time{}
		} else {
			w.lossyTo = now
		}
	})
}

// lost reports whether a link that is lossy loses a packet.
func (w *world) lost() bool {
	return w.options.play == "restarts" && !w.lossyFrom.IsZero() && w.lossyTo.IsZero() && w.rand.Float64() < lossShare
}

// lossyIn reports whether links lost packets at any time between from and to.
func (w *world) lossyIn(from, to time.Time) bool {
	return !w.lossyFrom.IsZero() && w.lossyFrom.Before(to) && (w.lossyTo.IsZero() || w.lossyTo.After(from))
}

// excused reports whether an impairment in the last stabilityWindow keeps a broken rule from counting.
func (w *world) excused(now time.Time) bool {
	from := now.Add(-stabilityWindow)
	return w.turnedAway != nil || w.calmSince.After(from) || w.lossyIn(from, now)
}

// choosePorts chooses ports that are free at all addresses of the play.
func (w *world) choosePorts() error {
	for range 100 {
		base := uint16(12_000 + w.rand.IntN(18_000))
		w.ports.data, w.ports.control, w.ports.ready = base, base+1, base+2
		w.ports.metrics, w.ports.target, w.ports.store = base+3, base+4, base+5
		if w.portsAreFree(base) {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (w *world) portsAreFree(base uint16) bool {
	for network := netDaemons; network < netGone; network++ {
		for n := 1; n <= targetCount; n++ {
			for p := base; p < base+6; p++ {
				a := w.at(network, n, p)
				u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
				if err != nil {
					return false
				}
				_ = u.Close()
				l, err := net.Listen("tcp4", a.String())
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

// play plays the case and returns how often the rule was broken.
func play(o *options) (int, error) {
	file, err := os.Create(o.record)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	w := &world{options: o, dir: o.dir, rand: rand.New(rand.NewPCG(uint64(o.seed), 1)), began: time.Now(), store: newStore()}
	w.judge = &judge{w: w, file: file, flows: make(map[ends]*judgedFlow)}
	w.routers = newRouters(w)
	w.judge.note(w.began, "seed %d, trouble %v, %d new flows a second", o.seed, o.trouble, o.flowsPerSecond)
	if err := w.prepare(); err != nil {
		return 0, err
	}
	a := &daemon{w: w, n: 1, name: "entry-a-1", zone: zoneOfClients}
	b := &daemon{w: w, n: 2, name: "entry-a-2", zone: zoneOfClients}
	c := &daemon{w: w, n: 3, name: "entry-b-1", zone: zoneOfTargets}
	w.routers.daemons = []*daemon{a, b}
	started := []*daemon{c, b, a}
	if o.play == "zonecut" {
		started = started[1:] // daemons cannot be cut from each other here
	}
	for _, d := range started {
		if err := w.serveStore(d); err != nil {
			return 0, err
		}
		if err := d.start(); err != nil {
			return 0, err
		}
		defer d.kill()
	}
	a.measureStart(time.Now())
	go w.routers.check(a)
	time.Sleep(checkInterval / 2)
	go w.routers.check(b)
	time.Sleep(3 * time.Second)
	if !a.inRotation || !b.inRotation {
		return 0, errors.New("the daemons do not get ready")
	}
	end := time.Now().Add(o.length)
	done := make(chan struct{})
	go w.traffic(end, done)
	time.Sleep(time.Second)
	if o.play == "restarts" {
		c.stop() // the only seed that ran leaves for good
	}
	time.Sleep(2 * time.Second)
	switch {
	case !o.trouble:
	case o.play == "restarts":
		err = w.restarts(end, a, b)
	case o.play == "zonecut":
		err = w.zoneCuts(end, a, b)
	default:
		err = w.outages(end, a, b, c)
	}
	if err != nil {
		return 0, err
	}
	<-done
	return w.result()
}

func (w *world) prepare() error {
	if err := w.choosePorts(); err != nil {
		return err
	}
	w.route = netip.MustParseAddrPort("198.18.0.1:8443")
	switch w.options.play {
	case "restarts":
		w.seeds = []netip.AddrPort{w.at(netDaemons, 3, w.ports.control), w.at(netGone, 1, w.ports.control), w.at(netGone, 2, w.ports.control)}
		w.pauses = [2]time.Duration{1200 * time.Millisecond, 3600 * time.Millisecond}
	case "outage":
		w.seeds = []netip.AddrPort{w.at(netDaemons, 1, w.ports.control), w.at(netDaemons, 2, w.ports.control), w.at(netDaemons, 3, w.ports.control)}
		w.pauses = [2]time.Duration{3 * time.Second, 9 * time.Second}
	case "zonecut":
		w.seeds = []netip.AddrPort{w.at(netDaemons, 1, w.ports.control), w.at(netDaemons, 2, w.ports.control)}
		w.pauses = [2]time.Duration{3 * time.Second, 9 * time.Second}
		w.nearTargets, w.linkDelay = 1, 5400*time.Microsecond
	default:
		return fmt.Errorf("unknown case %q", w.options.play)
	}
	for n := 1; n <= targetCount; n++ {
		t, err := w.newTarget(n)
		if err != nil {
			return err
		}
		w.targets = append(w.targets, t)
	}
	for n := 1; n <= clientCount; n++ {
		c, err := w.newClient(n)
		if err != nil {
			return err
		}
		w.clients = append(w.clients, c)
	}
	config, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": w.route.Addr().String(), "prefix": fmt.Sprintf("/%d/", w.route.Port()), "kind": "unsafe",
			"timeout_ms": 4000, "latency_goal_ms": 300, "priority": 1, "service": serviceName, "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": serviceName, "health_path": "/health", "max_connections": 4000}},
		"limits":   map[string]any{"idle_timeout_ms": idleTimeout.Milliseconds()},
	})
	w.store.put("op/config", config)
	return nil
}

// serveStore serves the store to one daemon, at an address of its own so that it can be turned away.
func (w *world) serveStore(d *daemon) error {
	l, err := net.Listen("tcp4", w.at(netStore, d.n, w.ports.store).String())
	if err != nil {
		return err
	}
	go http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { // until the program ends
		away := false
		w.locked(func(time.Time) { away = w.turnedAway == d })
		if away {
			http.Error(rw, "busy", http.StatusServiceUnavailable)
			return
		}
		w.store.ServeHTTP(rw, r)
	}))
	return nil
}

// traffic lets clients open flows until end, and the flows go on for some seconds more.
func (w *world) traffic(end time.Time, done chan<- struct{}) {
	defer close(done)
	begin, opened := time.Now(), 0
	for now := range time.Tick(5 * time.Millisecond) {
		if now.After(end.Add(timeBudget)) {
			return
		}
		w.locked(func(now time.Time) {
			due := int(now.Sub(begin).Seconds() * float64(w.options.flowsPerSecond))
			for ; opened < due; opened++ {
				if now.Before(end.Add(-timeBudget)) {
					w.clients[opened%len(w.clients)].openFlow(now)
				}
			}
			for _, t := range w.targets {
				t.tick(now)
			}
			for _, c := range w.clients {
				for port, f := range c.used {
					if !f.tick(now) {
						delete(c.used, port)
					}
				}
			}
		})
	}
}

// result writes the totals and returns how often the rule was broken.
func (w *world) result() (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.judge.counts
	runs := 0
	for _, t := range w.targets {
		runs += t.runs
	}
	w.judge.note(time.Now(), "flows %d, not opened %d; requests sent %d, answered %d, run %d, not answered in time %d", n.flows, n.unopened, n.requests, n.answered, runs, n.unanswered)
	w.judge.note(time.Now(), "flows offered to two targets %d; resets %d; not counted %d; FLOW broken %d times", n.offeredTwice, n.resets, n.excused, n.broken)
	fmt.Printf("FLOW broken %d times (not counted %d), %d flows offered to two targets, %d flows, %d of %d requests answered\n",
		n.broken, n.excused, n.offeredTwice, n.flows, n.answered, n.requests)
	if n.answered == 0 {
		return 0, errors.New("no request was answered")
	}
	return n.broken, nil
}
