package standin

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/internal/udpio"
)

const (
	batchSize     = 32
	datagramBytes = 2048
	// idleWait is the timeout of a node's timer while its state machine has no timer set, and of a linkConn's timer while
	// no datagram is delayed.
	idleWait = time.Minute
	// minTickDelay is the minimum time until the next tick, so that timers close to each other run in one tick.
	minTickDelay = time.Millisecond
)

// Node runs a StateMachine: it reads the sockets, calls Tick when it is due and sends the datagrams.
type Node struct {
	network udpio.Network

	mu      sync.Mutex
	machine StateMachine
	conns   []udpio.Conn
	wake    chan struct{}
	done    chan struct{}
	wg      sync.WaitGroup
}

// NewNode returns a node that runs a state machine on a network. It sends datagrams once Listen has opened a socket.
func NewNode(network udpio.Network, m StateMachine) *Node {
	n := &Node{
		network: network,
		machine: m,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	n.wg.Add(1)
	go n.runTimer()
	return n
}

// Listen opens a socket and passes its datagrams to handle, a method of the state machine; nil means its
// Handle method. The state machine's datagrams are sent from the first socket.
func (n *Node) Listen(addr netip.AddrPort, handle func(time.Time, Datagram) []Datagram) (netip.AddrPort, error) {
	c, err := n.network.Listen(addr)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen on %v: %w", addr, err)
	}
	if handle == nil {
		handle = n.machine.Handle
	}
	n.mu.Lock()
	n.conns = append(n.conns, c)
	n.mu.Unlock()
	n.wg.Add(1)
	go n.runReader(c, handle)
	n.wakeTimer()
	return c.LocalAddr(), nil
}

// Do calls f under the node's lock and sends the datagrams that it returns.
func (n *Node) Do(f func(now time.Time) []Datagram) {
	n.mu.Lock()
	out := f(time.Now())
	c := n.firstConn()
	n.mu.Unlock()
	n.send(c, out)
	n.wakeTimer()
}

// Close closes the sockets and waits until the node's goroutines have ended.
func (n *Node) Close() {
	close(n.done)
	n.mu.Lock()
	conns := n.conns
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	n.wg.Wait()
}

func (n *Node) firstConn() udpio.Conn {
	if len(n.conns) == 0 {
		return nil
	}
	return n.conns[0]
}

func (n *Node) runReader(c udpio.Conn, handle func(time.Time, Datagram) []Datagram) {
	defer n.wg.Done()
	messages := make([]udpio.Message, batchSize)
	for i := range messages {
		messages[i].Buf = make([]byte, datagramBytes)
	}
	for {
		count, err := c.ReadBatch(messages)
		if errors.Is(err, net.ErrClosed) || n.closed() {
			return
		}
		if err != nil {
			continue
		}
		n.handleBatch(messages[:count], handle)
	}
}

func (n *Node) handleBatch(messages []udpio.Message, handle func(time.Time, Datagram) []Datagram) {
	var out []Datagram
	n.mu.Lock()
	now := time.Now()
	before := n.machine.Next()
	for _, m := range messages {
		out = append(out, handle(now, Datagram{Addr: m.Addr, Data: m.Buf[:m.N]})...)
	}
	c := n.firstConn()
	after := n.machine.Next()
	n.mu.Unlock()
	n.send(c, out)
	if !after.Equal(before) {
		n.wakeTimer()
	}
}

// send writes datagrams; those that the socket does not accept are lost, as on a network.
func (n *Node) send(c udpio.Conn, out []Datagram) {
	if c == nil || len(out) == 0 {
		return
	}
	messages := make([]udpio.Message, len(out))
	for i, d := range out {
		messages[i] = udpio.Message{Buf: d.Data, N: len(d.Data), Addr: d.Addr}
	}
	_, _ = c.WriteBatch(messages)
}

// wakeTimer wakes the timer goroutine, so that it reads the state machine's next deadline.
func (n *Node) wakeTimer() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) closed() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

func (n *Node) runTimer() {
	defer n.wg.Done()
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		select {
		case <-n.done:
			return
		case <-n.wake:
		case <-timer.C:
			n.tick()
		}
		timer.Reset(n.untilNext())
	}
}

func (n *Node) tick() {
	n.mu.Lock()
	out := n.machine.Tick(time.Now())
	c := n.firstConn()
	n.mu.Unlock()
	n.send(c, out)
}

func (n *Node) untilNext() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	next := n.machine.Next()
	if next.IsZero() {
		return idleWait
	}
	return max(time.Until(next), minTickDelay)
}
