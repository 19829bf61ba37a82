package edge_test

import (
	"context"
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// movingFlows are the flows of a client whose packets the test sends through daemons of its choice.
type movingFlows struct {
	*fleet
	client  *client
	targets []*target
	flows   map[uint16]*movingFlow
}

type movingFlow struct {
	target   *target
	tag      uint32
	seq, ack uint32
}

func (m *movingFlows) close() {
	for _, t := range m.targets {
		_ = t.conn.Close()
	}
	_ = m.client.conn.Close()
}

// open opens a flow through a daemon.
func (m *movingFlows) open(n *node, port uint16) *movingFlow {
	m.client.send(n, m.client.packetOf(port, 1, wireSYN, 100, 0, 0, 0))
	time.Sleep(10 * time.Millisecond)
	for _, t := range m.targets {
		for _, frame := range t.take() {
			if portOf(frame) == port {
				m.flows[port] = &movingFlow{target: t, tag: binary.BigEndian.Uint32(frame[8+tagOffset:]), seq: 101, ack: 5000}
			}
		}
	}
	f := m.flows[port]
	m.send(n, port, 0)
	return f
}

// send sends a packet of a flow through a daemon.
func (m *movingFlows) send(n *node, port uint16, data int) {
	f := m.flows[port]
	m.client.send(n, m.client.packetOf(port, 1, wireACK, f.seq, f.ack, f.tag, data))
	time.Sleep(time.Millisecond)
}

// request sends a request through a daemon and acknowledges its response.
func (m *movingFlows) request(n *node, port uint16, response uint32) {
	m.send(n, port, 10)
	f := m.flows[port]
	f.seq += 10
	f.ack += response
	m.send(n, port, 0)
}

// resets returns the numbers of the resets that the client has got, by port.
func (m *movingFlows) resets() map[uint16][]uint32 {
	out := make(map[uint16][]uint32)
	for _, raw := range m.client.take() {
		port := binary.BigEndian.Uint16(raw[10:])
		out[port] = append(out[port], binary.BigEndian.Uint32(raw[12:]))
	}
	return out
}

// failTarget lets a target fail. The caller of one of its flows repeats a request through the first daemon, while the flows of
// other targets go on through all daemons.
func (m *movingFlows) failTarget(failed *target, waiting uint16, nodes ...*node) {
	m.kill(failed)
	for range 4 {
		m.repeat(failed, waiting, nodes...)
	}
}

// repeat sends the request of a flow of a failed target once more, lets the other flows go on and waits for the time after which
// callers repeat.
func (m *movingFlows) repeat(failed *target, waiting uint16, nodes ...*node) {
	m.send(nodes[0], waiting, 10)
	for port, f := range m.flows {
		if f.target != failed {
			m.request(nodes[int(port)%len(nodes)], port, 100)
		}
	}
	time.Sleep(200 * time.Millisecond)
}

// startTwo starts two daemons and opens flows through the first one. It returns the ports of the flows of one target.
func (m *movingFlows) startTwo(ctx context.Context) (a, b *node, ports []uint16) {
	for i := range 3 {
		m.targets = append(m.targets, m.target(1+i))
	}
	a, b = m.start(ctx, 1), m.start(ctx, 2)
	time.Sleep(4 * time.Second)
	failed := m.open(a, 3000).target
	for port := uint16(3000); port < 3060; port++ {
		if port == 3000 || m.open(a, port).target == failed {
			ports = append(ports, port)
		}
	}
	return a, b, ports
}

// cutOff cuts a daemon off from the other one; the client reaches both.
func (m *movingFlows) cutOff(n *node) {
	m.network.Assign("b", n.peer)
	m.network.Cut("", "b")
}

// TestMovedFlowIsNotResetByItsRecord guards against a daemon that resets an open flow by its own record, while the flow went on
// through another daemon: the number was far from the caller's last acknowledgement.
func TestMovedFlowIsNotResetByItsRecord(t *testing.T) {
	for _, c := range []struct {
		name string
		// change happens between the last packet of the moved flow and the failure, and returns the other daemon.
		change func(ctx context.Context, f *fleet, b *node) *node
		seeds  []netip.AddrPort
		// reset is true if a daemon resets the idle flows.
		reset bool
	}{
		{"the other daemon runs", func(_ context.Context, _ *fleet, b *node) *node { return b }, nil, true},
		{"a seed does not run", func(_ context.Context, _ *fleet, b *node) *node { return b }, []netip.AddrPort{netip.MustParseAddrPort("10.1.0.9:8166")}, true},
		{"the other daemon is cut off from this one", func(_ context.Context, f *fleet, b *node) *node {
			(&movingFlows{fleet: f}).cutOff(b)
			return b
		}, nil, false},
		{"the other daemon has been restarted", func(ctx context.Context, f *fleet, b *node) *node {
			b.stop()
			<-b.done
			b = f.start(ctx, 2)
			time.Sleep(2 * time.Second)
			return b
		}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(ctx context.Context, f *fleet) {
				m := &movingFlows{fleet: f, client: f.client(), flows: make(map[uint16]*movingFlow)}
				defer m.close()
				f.seeds = c.seeds
				a, b, ofFailed := m.startTwo(ctx)
				moved, idle, waiting := ofFailed[0], ofFailed[1], ofFailed[2]
				failed := m.flows[moved].target
				for range 5 {
					m.request(b, moved, 24_000)
				}
				time.Sleep(500 * time.Millisecond)
				b = c.change(ctx, f, b)
				m.resets()
				m.failTarget(failed, waiting, a, b)
				resets := m.resets()
				So(resets[waiting], ShouldNotBeEmpty)
				for port, numbers := range resets {
					So(m.flows[port].target, ShouldEqual, failed)
					for _, n := range numbers {
						So(n, ShouldEqual, m.flows[port].ack)
					}
				}
				So(len(resets[idle]) > 0, ShouldEqual, c.reset)
				So(len(resets[moved]) > 0, ShouldEqual, c.reset)
			})
		})
	}
}

// TestRepeatThatWaitedIsNotReset guards against a reset in answer to a packet that waited in the socket while the daemon did not
// run: its flow may have gone on through another daemon, far beyond the packet's number.
func TestRepeatThatWaitedIsNotReset(t *testing.T) {
	for _, c := range []struct {
		name string
		wait time.Duration
	}{
		{"0.1 s", 100 * time.Millisecond},
		{"3 s", 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(ctx context.Context, f *fleet) {
				m := &movingFlows{fleet: f, client: f.client(), flows: make(map[uint16]*movingFlow)}
				defer m.close()
				a, b, ofFailed := m.startTwo(ctx)
				m.cutOff(b) // so that nothing is reset without a packet
				time.Sleep(500 * time.Millisecond)
				waiting := ofFailed[0]
				failed := m.flows[waiting].target
				m.kill(failed)
				m.repeat(failed, waiting, a, b)
				m.repeat(failed, waiting, a, b)
				So(m.resets(), ShouldBeEmpty)
				f.mu.Lock()
				a.suspended += c.wait
				f.mu.Unlock()
				m.send(a, waiting, 10)
				time.Sleep(5 * time.Millisecond)
				So(m.resets(), ShouldBeEmpty)

				// A later packet is answered.
				for range 4 {
					m.repeat(failed, waiting, a, b)
				}
				So(m.resets()[waiting], ShouldContain, m.flows[waiting].ack)
			})
		})
	}
}
