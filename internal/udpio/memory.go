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
	// DefaultMemoryQueue is the number of datagrams that wait in a Conn of a Memory.
	DefaultMemoryQueue = 4096

	firstMemoryPort = 49152

	// reorderDelays is how many times the link's delay and jitter a reordered datagram waits longer.
	reorderDelays = 2
)

// Link describes the way of datagrams from one address group to another.
type Link struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Jitter is the largest random addition to Delay, spread evenly.
	Jitter time.Duration
	// Loss, Duplicate and Reorder are shares of datagrams, 0 to 1. A reordered datagram arrives later than
	// ones that were sent after it.
	Loss, Duplicate, Reorder float64
}

// MemoryConfig holds the settings of a Memory.
type MemoryConfig struct {
	// Seed fixes all random draws: those of a pair of addresses depend only on the datagrams that were
	// sent between the two before.
	Seed uint64
	// Link is the way between groups that SetLink does not name. The zero value delivers at once.
	Link Link
	// QueueLen is the number of datagrams that wait in a Conn; more are dropped. 0 means
	// DefaultMemoryQueue.
	QueueLen int
}

// Group names a set of addresses that faults affect alike, such as a zone. Addresses that Assign does
// not name are in the group "".
type Group string

// MemoryStats counts the datagrams of a Memory.
type MemoryStats struct {
	// Sent counts writes; each is then delivered, lost, cut off, overflown or has no receiver.
	Sent uint64
	// Bytes is the sum of the sent datagrams' lengths.
	Bytes uint64
	// Duplicated counts second copies, which come on top of Sent.
	Duplicated uint64
	Delivered  uint64
	Lost       uint64
	Cut        uint64
	Overflown  uint64
	Unreached  uint64
}

// Memory is a Network inside the process, for tests. It runs on timers only, so that it may be made and
// used inside a bubble of testing/synctest.
type Memory struct {
	cfg MemoryConfig

	mu       sync.Mutex
	conns    map[netip.AddrPort][]*memoryConn
	groups   map[netip.AddrPort]Group
	links    map[groupPair]Link
	cuts     map[groupPair]bool
	frozen   map[netip.AddrPort]bool
	sources  map[addrPair]*rand.Rand
	transit  transitHeap
	sequence uint64
	timer    *time.Timer
	nextPort uint16
	stats    MemoryStats
}

type groupPair struct{ from, to Group }

type addrPair struct{ from, to netip.AddrPort }

// NewMemory returns an empty network.
func NewMemory(cfg MemoryConfig) *Memory {
	if cfg.QueueLen == 0 {
		cfg.QueueLen = DefaultMemoryQueue
	}
	return &Memory{
		cfg:      cfg,
		conns:    make(map[netip.AddrPort][]*memoryConn),
		groups:   make(map[netip.AddrPort]Group),
		links:    make(map[groupPair]Link),
		cuts:     make(map[groupPair]bool),
		frozen:   make(map[netip.AddrPort]bool),
		sources:  make(map[addrPair]*rand.Rand),
		nextPort: firstMemoryPort,
	}
}

// Listen opens a Conn. Several Conns may listen on one address: each sender reaches one of them.
func (m *Memory) Listen(addr netip.AddrPort) (Conn, error) {
	if !addr.IsValid() || addr.Addr().IsUnspecified() {
		return nil, fmt.Errorf("listen in memory on %v: not one address", addr)
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

func (m *Memory) freePort(ip netip.Addr) netip.AddrPort {
	for {
		addr := netip.AddrPortFrom(ip, m.nextPort)
		m.nextPort = max(m.nextPort+1, firstMemoryPort)
		if len(m.conns[addr]) == 0 {
			return addr
		}
	}
}

// Assign puts addresses into a group.
func (m *Memory) Assign(g Group, addrs ...netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addrs {
		m.groups[a] = g
	}
}

// SetLink sets the way from one group to another, in this direction only.
func (m *Memory) SetLink(from, to Group, l Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[groupPair{from, to}] = l
}

// Cut drops every datagram between two groups, in both directions, among them those on their way.
func (m *Memory) Cut(a, b Group) {
	m.CutOneWay(a, b)
	m.CutOneWay(b, a)
}

// CutOneWay drops every datagram from one group to another.
func (m *Memory) CutOneWay(from, to Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts[groupPair{from, to}] = true
}

// Heal ends the cuts between two groups in both directions.
func (m *Memory) Heal(a, b Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.cuts, groupPair{a, b})
	delete(m.cuts, groupPair{b, a})
}

// Freeze makes all reads and writes of an address wait, as those of a paused process do. Datagrams to
// it queue up.
func (m *Memory) Freeze(addr netip.AddrPort) {
	m.setFrozen(addr, true)
}

// Thaw ends Freeze.
func (m *Memory) Thaw(addr netip.AddrPort) {
	m.setFrozen(addr, false)
}

func (m *Memory) setFrozen(addr netip.AddrPort, frozen bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.frozen[addr] = frozen
	for _, c := range m.conns[addr] {
		c.wake.Broadcast()
	}
}

// Stats returns the counts since the start.
func (m *Memory) Stats() MemoryStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

// send puts one datagram on its way. The lock is held.
func (m *Memory) send(from, to netip.AddrPort, data []byte) {
	m.stats.Sent++
	m.stats.Bytes += uint64(len(data))
	pair := m.pairOf(from, to)
	if m.cuts[pair] {
		m.stats.Cut++
		return
	}
	link, ok := m.links[pair]
	if !ok {
		link = m.cfg.Link
	}
	src := m.source(from, to)
	if src.Float64() < link.Loss {
		m.stats.Lost++
		return
	}
	m.depart(from, to, data, link.draw(src))
	if src.Float64() < link.Duplicate {
		m.stats.Duplicated++
		m.depart(from, to, data, link.draw(src))
	}
}

// draw returns the delay of one datagram.
func (l Link) draw(src *rand.Rand) time.Duration {
	d := l.Delay
	if l.Jitter > 0 {
		d += time.Duration(src.Int64N(int64(l.Jitter) + 1))
	}
	if src.Float64() < l.Reorder {
		d += reorderDelays * (l.Delay + l.Jitter)
	}
	return d
}

// source returns the random source of a pair of addresses.
func (m *Memory) source(from, to netip.AddrPort) *rand.Rand {
	pair := addrPair{from, to}
	src := m.sources[pair]
	if src == nil {
		src = rand.New(rand.NewPCG(m.cfg.Seed, xxhash.Sum64String(from.String()+">"+to.String())))
		m.sources[pair] = src
	}
	return src
}

func (m *Memory) pairOf(from, to netip.AddrPort) groupPair {
	return groupPair{m.groups[from], m.groups[to]}
}

// depart schedules a copy of the datagram. One without a delay arrives at once.
func (m *Memory) depart(from, to netip.AddrPort, data []byte, delay time.Duration) {
	d := &datagram{
		due:      time.Now().Add(delay),
		sequence: m.sequence,
		from:     from,
		to:       to,
		data:     append([]byte(nil), data...),
	}
	m.sequence++
	if delay == 0 {
		m.arrive(d)
		return
	}
	heap.Push(&m.transit, d)
	if m.transit[0] == d {
		m.schedule(delay)
	}
}

// schedule sets the timer for the next arrival.
func (m *Memory) schedule(delay time.Duration) {
	if m.timer == nil {
		m.timer = time.AfterFunc(delay, m.arriveDue)
		return
	}
	m.timer.Reset(delay)
}

// arriveDue hands over every datagram that is due, in the order of their arrival.
func (m *Memory) arriveDue() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for len(m.transit) > 0 && !m.transit[0].due.After(now) {
		m.arrive(heap.Pop(&m.transit).(*datagram))
	}
	if len(m.transit) > 0 {
		m.schedule(m.transit[0].due.Sub(now))
	}
}

// arrive hands a datagram to one Conn of its address.
func (m *Memory) arrive(d *datagram) {
	conns := m.conns[d.to]
	switch {
	case m.cuts[m.pairOf(d.from, d.to)]:
		m.stats.Cut++
	case len(conns) == 0:
		m.stats.Unreached++
	case !conns[connIndex(d.from, len(conns))].push(d):
		m.stats.Overflown++
	default:
		m.stats.Delivered++
	}
}

// connIndex spreads senders over the Conns of one address.
func connIndex(from netip.AddrPort, n int) int {
	if n == 1 {
		return 0
	}
	return int(xxhash.Sum64String(from.String()) % uint64(n))
}

// remove takes a closed Conn out.
func (m *Memory) remove(c *memoryConn) {
	var rest []*memoryConn
	for _, other := range m.conns[c.local] {
		if other != c {
			rest = append(rest, other)
		}
	}
	m.conns[c.local] = rest
}

// datagram is on its way or waits in a Conn.
type datagram struct {
	due      time.Time
	sequence uint64
	from, to netip.AddrPort
	data     []byte
}

// transitHeap orders datagrams by their arrival.
type transitHeap []*datagram

func (h transitHeap) Len() int      { return len(h) }
func (h transitHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h transitHeap) Less(i, j int) bool {
	if !h[i].due.Equal(h[j].due) {
		return h[i].due.Before(h[j].due)
	}
	return h[i].sequence < h[j].sequence
}
func (h *transitHeap) Push(x any) { *h = append(*h, x.(*datagram)) }
func (h *transitHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// memoryConn is a Conn of a Memory; the Memory's lock guards it.
type memoryConn struct {
	network *Memory
	local   netip.AddrPort
	// wake is signalled when the queue grows, the address thaws or the Conn closes.
	wake   *sync.Cond
	queue  []*datagram
	closed bool
}

func newMemoryConn(m *Memory, local netip.AddrPort) *memoryConn {
	return &memoryConn{network: m, local: local, wake: sync.NewCond(&m.mu)}
}

// push queues a datagram and reports whether there was room.
func (c *memoryConn) push(d *datagram) bool {
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
	for !c.closed && (len(c.queue) == 0 || m.frozen[c.local]) {
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
	for !c.closed && m.frozen[c.local] {
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

// Close ends all calls that wait and drops what is queued. A second Close returns net.ErrClosed.
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
