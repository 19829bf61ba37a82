package udpio

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultMemoryQueueLen is the default capacity of the receive queue of an in-memory Conn, in datagrams.
	DefaultMemoryQueueLen = 4096

	firstEphemeralPort = 49152

	// reorderDelays is the additional delay of a reordered datagram, as a multiple of the link's delay plus
	// jitter.
	reorderDelays = 2
)

// Link describes the path of datagrams from one group of addresses to another.
type Link struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Jitter is the largest random addition to Delay, uniformly distributed.
	Jitter time.Duration
	// Loss, Duplicate and Reorder are the probabilities that a datagram is lost, duplicated or reordered,
	// 0 to 1. A reordered datagram arrives later than datagrams that were sent after it.
	Loss, Duplicate, Reorder float64
}

// MemoryConfig holds the settings of an in-memory network.
type MemoryConfig struct {
	// Seed determines all random decisions. Those for a pair of addresses depend only on the seed and the
	// datagrams that were sent earlier from the first address to the second.
	Seed uint64
	// Link is the link between groups that have none from SetLink. The zero value delivers immediately.
	Link Link
	// QueueLen is the capacity of a Conn's receive queue, in datagrams; further ones are dropped. 0 means
	// DefaultMemoryQueueLen.
	QueueLen int
}

// Group names a set of addresses that have the same links and faults, such as an availability zone.
// Addresses that were not passed to Assign are in the group "".
type Group string

// MemoryStats counts the datagrams of an in-memory network.
type MemoryStats struct {
	// Sent counts written datagrams. Each is then counted in one of Delivered, Lost, Cut, QueueFull and
	// NoReceiver, unless it is still in flight.
	Sent uint64
	// Bytes is the total length of the sent datagrams.
	Bytes uint64
	// Duplicated counts duplicates, which are not included in Sent.
	Duplicated uint64
	Delivered  uint64
	Lost       uint64
	// Cut counts datagrams dropped between groups that were cut off from each other.
	Cut uint64
	// QueueFull counts datagrams dropped because the receive queue was full.
	QueueFull uint64
	// NoReceiver counts datagrams to an address that no Conn listens on.
	NoReceiver uint64
}

// MemoryNetwork is an in-process Network for tests. It has timers and no goroutines of its own, so that it can be
// created and used inside a testing/synctest bubble.
type MemoryNetwork struct {
	cfg MemoryConfig

	mu            sync.Mutex
	conns         map[netip.AddrPort][]*memoryConn
	groups        map[netip.AddrPort]Group
	links         map[groupPair]Link
	cuts          map[groupPair]bool
	paused        map[netip.AddrPort]bool
	randomSources map[addrPair]*rand.Rand
	inFlight      inFlightHeap
	sequence      uint64
	timer         *time.Timer
	nextPort      uint16
	stats         MemoryStats
}

type groupPair struct{ from, to Group }

type addrPair struct{ from, to netip.AddrPort }

// NewMemoryNetwork returns an empty network.
func NewMemoryNetwork(cfg MemoryConfig) *MemoryNetwork {
	if cfg.QueueLen == 0 {
		cfg.QueueLen = DefaultMemoryQueueLen
	}
	return &MemoryNetwork{
		cfg:           cfg,
		conns:         make(map[netip.AddrPort][]*memoryConn),
		groups:        make(map[netip.AddrPort]Group),
		links:         make(map[groupPair]Link),
		cuts:          make(map[groupPair]bool),
		paused:        make(map[netip.AddrPort]bool),
		randomSources: make(map[addrPair]*rand.Rand),
		nextPort:      firstEphemeralPort,
	}
}

// Listen opens a Conn. Several Conns may listen on one address; all datagrams of one sender go to the same
// Conn while the number of Conns stays the same.
func (m *MemoryNetwork) Listen(addr netip.AddrPort) (Conn, error) {
	if !addr.IsValid() || addr.Addr().IsUnspecified() {
		return nil, fmt.Errorf("listen in memory on %v: address is invalid or unspecified", addr)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	addr = unmap(addr)
	if addr.Port() == 0 {
		addr = m.freePort(addr.Addr())
	}
	c := newMemoryConn(m, addr)
	m.conns[addr] = append(m.conns[addr], c)
	return c, nil
}

func (m *MemoryNetwork) freePort(ip netip.Addr) netip.AddrPort {
	for {
		addr := netip.AddrPortFrom(ip, m.nextPort)
		m.nextPort = max(m.nextPort+1, firstEphemeralPort)
		if len(m.conns[addr]) == 0 {
			return addr
		}
	}
}

// Assign puts addresses into a group.
func (m *MemoryNetwork) Assign(g Group, addrs ...netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addrs {
		m.groups[a] = g
	}
}

// SetLink sets the link from one group to another, in this direction only.
func (m *MemoryNetwork) SetLink(from, to Group, l Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[groupPair{from, to}] = l
}

// Cut drops every datagram between two groups, in both directions, including those in flight.
func (m *MemoryNetwork) Cut(a, b Group) {
	m.CutOneWay(a, b)
	m.CutOneWay(b, a)
}

// CutOneWay drops every datagram from one group to another, including those in flight.
func (m *MemoryNetwork) CutOneWay(from, to Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts[groupPair{from, to}] = true
}

// Heal ends the cuts between two groups in both directions.
func (m *MemoryNetwork) Heal(a, b Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.cuts, groupPair{a, b})
	delete(m.cuts, groupPair{b, a})
}

// Pause blocks all reads and writes on an address, as for a paused process. Datagrams to the address
// are queued.
func (m *MemoryNetwork) Pause(addr netip.AddrPort) {
	m.setPaused(addr, true)
}

// Resume ends Pause.
func (m *MemoryNetwork) Resume(addr netip.AddrPort) {
	m.setPaused(addr, false)
}

func (m *MemoryNetwork) setPaused(addr netip.AddrPort, paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused[addr] = paused
	for _, c := range m.conns[addr] {
		c.wake.Broadcast()
	}
}

// Stats returns the counts since the network was created.
func (m *MemoryNetwork) Stats() MemoryStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

// send applies the link's faults to one datagram and transmits it. The caller holds the lock.
func (m *MemoryNetwork) send(from, to netip.AddrPort, data []byte) {
	m.stats.Sent++
	m.stats.Bytes += uint64(len(data))
	pair := m.groupsOf(from, to)
	if m.cuts[pair] {
		m.stats.Cut++
		return
	}
	link, ok := m.links[pair]
	if !ok {
		link = m.cfg.Link
	}
	src := m.randomSource(from, to)
	if src.Float64() < link.Loss {
		m.stats.Lost++
		return
	}
	m.transmit(from, to, data, link.randomDelay(src))
	if src.Float64() < link.Duplicate {
		m.stats.Duplicated++
		m.transmit(from, to, data, link.randomDelay(src))
	}
}

// randomDelay returns a random delay for one datagram.
func (l Link) randomDelay(src *rand.Rand) time.Duration {
	d := l.Delay
	if l.Jitter > 0 {
		d += time.Duration(src.Int64N(int64(l.Jitter) + 1))
	}
	if src.Float64() < l.Reorder {
		d += reorderDelays * (l.Delay + l.Jitter)
	}
	return d
}

// randomSource returns the random source of a pair of addresses, which is seeded with the configured seed and the
// addresses.
func (m *MemoryNetwork) randomSource(from, to netip.AddrPort) *rand.Rand {
	pair := addrPair{from, to}
	src := m.randomSources[pair]
	if src == nil {
		src = rand.New(rand.NewPCG(m.cfg.Seed, xxhash.Sum64String(from.String()+">"+to.String())))
		m.randomSources[pair] = src
	}
	return src
}

func (m *MemoryNetwork) groupsOf(from, to netip.AddrPort) groupPair {
	return groupPair{m.groups[from], m.groups[to]}
}

// transmit copies the datagram and schedules its delivery. Without a delay it is delivered immediately.
func (m *MemoryNetwork) transmit(from, to netip.AddrPort, data []byte, delay time.Duration) {
	d := &datagram{
		due:      time.Now().Add(delay),
		sequence: m.sequence,
		from:     from,
		to:       to,
		data:     append([]byte(nil), data...),
	}
	m.sequence++
	if delay == 0 {
		m.deliver(d)
		return
	}
	heap.Push(&m.inFlight, d)
	if m.inFlight[0] == d {
		m.setTimer(delay)
	}
}

// setTimer sets the timer for the next delivery.
func (m *MemoryNetwork) setTimer(delay time.Duration) {
	if m.timer == nil {
		m.timer = time.AfterFunc(delay, m.deliverDue)
		return
	}
	m.timer.Reset(delay)
}

// deliverDue delivers every datagram that is due, in the order of delivery time.
func (m *MemoryNetwork) deliverDue() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for len(m.inFlight) > 0 && !m.inFlight[0].due.After(now) {
		m.deliver(heap.Pop(&m.inFlight).(*datagram))
	}
	if len(m.inFlight) > 0 {
		m.setTimer(m.inFlight[0].due.Sub(now))
	}
}

// deliver hands a datagram to one Conn of its destination address, or counts why it was dropped.
func (m *MemoryNetwork) deliver(d *datagram) {
	conns := m.conns[d.to]
	switch {
	case m.cuts[m.groupsOf(d.from, d.to)]:
		m.stats.Cut++
	case len(conns) == 0:
		m.stats.NoReceiver++
	case !conns[connIndex(d.from, len(conns))].enqueue(d):
		m.stats.QueueFull++
	default:
		m.stats.Delivered++
	}
}

// connIndex distributes senders over the n Conns of one address by a hash of the sender's address.
func connIndex(from netip.AddrPort, n int) int {
	if n == 1 {
		return 0
	}
	return int(xxhash.Sum64String(from.String()) % uint64(n))
}

// remove unregisters a closed Conn.
func (m *MemoryNetwork) remove(c *memoryConn) {
	var remaining []*memoryConn
	for _, other := range m.conns[c.local] {
		if other != c {
			remaining = append(remaining, other)
		}
	}
	m.conns[c.local] = remaining
}

// datagram is a datagram that is in flight or queued in a Conn.
type datagram struct {
	due      time.Time
	sequence uint64
	from, to netip.AddrPort
	data     []byte
}

// inFlightHeap is a heap of datagrams in flight, ordered by delivery time and then by the order of sending.
type inFlightHeap []*datagram

func (h inFlightHeap) Len() int      { return len(h) }
func (h inFlightHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h inFlightHeap) Less(i, j int) bool {
	if !h[i].due.Equal(h[j].due) {
		return h[i].due.Before(h[j].due)
	}
	return h[i].sequence < h[j].sequence
}
func (h *inFlightHeap) Push(x any) { *h = append(*h, x.(*datagram)) }
func (h *inFlightHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// memoryConn is a Conn of an in-memory network. It is guarded by the network's lock.
type memoryConn struct {
	network *MemoryNetwork
	local   netip.AddrPort
	// wake is signalled when the queue grows, the address is paused or resumed, or the Conn is closed.
	wake   *sync.Cond
	queue  []*datagram
	closed bool
}

func newMemoryConn(m *MemoryNetwork, local netip.AddrPort) *memoryConn {
	return &memoryConn{network: m, local: local, wake: sync.NewCond(&m.mu)}
}

// enqueue queues a datagram. It returns false if the queue is full.
func (c *memoryConn) enqueue(d *datagram) bool {
	if len(c.queue) >= c.network.cfg.QueueLen {
		return false
	}
	c.queue = append(c.queue, d)
	c.wake.Broadcast()
	return true
}

func (c *memoryConn) ReadBatch(ms []Message) (int, error) {
	if len(ms) == 0 {
		return 0, nil
	}
	m := c.network
	m.mu.Lock()
	defer m.mu.Unlock()
	for !c.closed && (len(c.queue) == 0 || m.paused[c.local]) {
		c.wake.Wait()
	}
	if c.closed {
		return 0, c.closedError("read from")
	}
	n := min(len(ms), len(c.queue))
	for i, d := range c.queue[:n] {
		ms[i].N = copy(ms[i].Buf, d.data)
		ms[i].Addr = d.from
	}
	clear(c.queue[:n])
	c.queue = c.queue[n:]
	return n, nil
}

func (c *memoryConn) WriteBatch(ms []Message) (int, error) {
	m := c.network
	m.mu.Lock()
	defer m.mu.Unlock()
	for !c.closed && m.paused[c.local] {
		c.wake.Wait()
	}
	if c.closed {
		return 0, c.closedError("write to")
	}
	for i := range ms {
		m.send(c.local, unmap(ms[i].Addr), ms[i].Buf[:ms[i].N])
	}
	return len(ms), nil
}

func (c *memoryConn) closedError(what string) error {
	return fmt.Errorf("%s memory conn %v: %w", what, c.local, net.ErrClosed)
}

func (c *memoryConn) LocalAddr() netip.AddrPort {
	return c.local
}

// Close unblocks all waiting calls and drops queued datagrams. A second Close returns net.ErrClosed.
func (c *memoryConn) Close() error {
	m := c.network
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.closed {
		return c.closedError("close")
	}
	c.closed = true
	c.queue = nil
	m.remove(c)
	c.wake.Broadcast()
	return nil
}
