package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/internal/udpio"
)

// Place is the location of a socket: the name of an availability zone, or the fabric.
type Place string

// LinkQuality describes the link between two places.
type LinkQuality struct {
	// Delay is the minimum one-way delay, Jitter the maximum random delay added to it.
	Delay, Jitter time.Duration
	// Loss is the share of datagrams dropped, 0 to 1.
	Loss float64
}

// LinksConfig configures Links.
type LinksConfig struct {
	// Between returns the quality of the link between two places; nil means no delay and no loss.
	Between func(a, b Place) LinkQuality
	// Rand is the random source; required.
	Rand *rand.Rand
}

// placePair is an unordered pair of places.
type placePair struct{ a, b Place }

func pairOf(a, b Place) placePair {
	if a > b {
		a, b = b, a
	}
	return placePair{a, b}
}

// machineState is the state of a simulated machine.
type machineState uint8

const (
	machineRunning machineState = iota
	machinePaused
	machineKilled
)

// Links simulates the network between the sockets of one process: delay, loss and cuts of the links
// between places, and machines that are paused or killed. A socket has the machine and the place of the
// Network that opened it. Links is safe for concurrent use.
type Links struct {
	network udpio.Network
	cfg     LinksConfig

	mu       sync.RWMutex
	places   map[netip.AddrPort]Place
	cuts     map[placePair]bool
	machines map[string]machineState
	changed  *sync.Cond

	randMu sync.Mutex
}

// NewLinks returns simulated links over a network.
func NewLinks(network udpio.Network, cfg LinksConfig) *Links {
	l := &Links{
		network:  network,
		cfg:      cfg,
		places:   make(map[netip.AddrPort]Place),
		cuts:     make(map[placePair]bool),
		machines: make(map[string]machineState),
	}
	l.changed = sync.NewCond(l.mu.RLocker())
	return l
}

// Network returns the network for the sockets of a machine at a place.
func (l *Links) Network(machine string, place Place) udpio.Network {
	return &linkNetwork{links: l, machine: machine, place: place}
}

// Cut cuts the link between two places, or restores it if on is false.
func (l *Links) Cut(a, b Place, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[pairOf(a, b)] = on
}

// Pause blocks a machine's reads and writes until Resume.
func (l *Links) Pause(machine string) { l.setMachine(machine, machinePaused) }

// Resume ends a machine's pause.
func (l *Links) Resume(machine string) { l.setMachine(machine, machineRunning) }

// Kill drops everything that a machine reads or writes from now on.
func (l *Links) Kill(machine string) { l.setMachine(machine, machineKilled) }

func (l *Links) setMachine(machine string, s machineState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machines[machine] = s
	l.changed.Broadcast()
}

// waitWhilePaused waits until the machine is not paused or closed returns true, and returns the machine's state.
func (l *Links) waitWhilePaused(machine string, closed func() bool) machineState {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for l.machines[machine] == machinePaused && !closed() {
		l.changed.Wait()
	}
	return l.machines[machine]
}

// link returns the quality of the link to an address; false if the link is cut.
func (l *Links) link(from Place, to netip.AddrPort) (LinkQuality, bool) {
	l.mu.RLock()
	place, known := l.places[to]
	cut := known && l.cuts[pairOf(from, place)]
	l.mu.RUnlock()
	if cut || !known || l.cfg.Between == nil {
		return LinkQuality{}, !cut
	}
	return l.cfg.Between(from, place), true
}

// sample returns at random whether a datagram is lost, and its delay.
func (l *Links) sample(q LinkQuality) (lost bool, delay time.Duration) {
	if q.Loss == 0 && q.Jitter == 0 {
		return false, q.Delay
	}
	l.randMu.Lock()
	defer l.randMu.Unlock()
	lost = l.cfg.Rand.Float64() < q.Loss
	return lost, q.Delay + time.Duration(l.cfg.Rand.Float64()*float64(q.Jitter))
}

// linkNetwork is the udpio.Network of one machine.
type linkNetwork struct {
	links   *Links
	machine string
	place   Place
}

// Listen opens a socket and records its place.
func (n *linkNetwork) Listen(addr netip.AddrPort) (udpio.Conn, error) {
	c, err := n.links.network.Listen(addr)
	if err != nil {
		return nil, err
	}
	n.links.mu.Lock()
	n.links.places[c.LocalAddr()] = n.place
	n.links.mu.Unlock()
	lc := &linkConn{Conn: c, net: n, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go lc.runDelayed()
	return lc, nil
}

// linkConn is a socket whose datagrams pass through Links.
type linkConn struct {
	udpio.Conn
	net  *linkNetwork
	once sync.Once
	done chan struct{}
	wake chan struct{}

	mu      sync.Mutex
	delayed timerQueue[Datagram]
}

// ReadBatch reads datagrams. It blocks while the machine is paused, and discards them if the machine is killed.
func (c *linkConn) ReadBatch(ms []udpio.Message) (int, error) {
	for {
		n, err := c.Conn.ReadBatch(ms)
		state := c.net.links.waitWhilePaused(c.net.machine, c.closed)
		if err != nil || state == machineRunning {
			return n, err
		}
		if c.closed() {
			return 0, net.ErrClosed
		}
	}
}

// WriteBatch sends each datagram at once or after its delay; lost datagrams count as written.
func (c *linkConn) WriteBatch(ms []udpio.Message) (int, error) {
	if c.net.links.waitWhilePaused(c.net.machine, c.closed) != machineRunning {
		return len(ms), nil
	}
	now := time.Now()
	direct := make([]udpio.Message, 0, len(ms))
	for _, m := range ms {
		q, open := c.net.links.link(c.net.place, m.Addr)
		if !open {
			continue
		}
		lost, delay := c.net.links.sample(q)
		switch {
		case lost:
		case delay > 0:
			c.delay(now.Add(delay), m)
		default:
			direct = append(direct, m)
		}
	}
	if len(direct) > 0 {
		if _, err := c.Conn.WriteBatch(direct); err != nil {
			return 0, err
		}
	}
	return len(ms), nil
}

// Close closes the socket and drops the datagrams that are still delayed.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.done) })
	c.net.links.mu.Lock()
	c.net.links.changed.Broadcast()
	c.net.links.mu.Unlock()
	return c.Conn.Close()
}

func (c *linkConn) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (c *linkConn) delay(at time.Time, m udpio.Message) {
	d := Datagram{Addr: m.Addr, Data: slices.Clone(m.Buf[:m.N])}
	c.mu.Lock()
	first := len(c.delayed.entries) == 0 || at.Before(c.delayed.entries[0].at)
	c.delayed.add(at, d)
	c.mu.Unlock()
	if first {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// runDelayed writes delayed datagrams when they are due.
func (c *linkConn) runDelayed() {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-c.wake:
		case <-timer.C:
		}
		due, next := c.takeDue(time.Now())
		if len(due) > 0 {
			_, _ = c.Conn.WriteBatch(due)
		}
		timer.Reset(next)
	}
}

// takeDue returns the datagrams that are due and the time until the next one.
func (c *linkConn) takeDue(now time.Time) ([]udpio.Message, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []udpio.Message
	for {
		d, ok := c.delayed.pop(now)
		if !ok {
			break
		}
		due = append(due, udpio.Message{Buf: d.Data, N: len(d.Data), Addr: d.Addr})
	}
	if next := c.delayed.next(); !next.IsZero() {
		return due, max(next.Sub(now), 0)
	}
	return due, idleWait
}
