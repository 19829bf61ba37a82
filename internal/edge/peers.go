package edge

import (
	"context"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/contain"
	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// peerLink sends and receives datagrams between daemons.
type peerLink struct {
	conn    udpio.Conn
	sealer  *wire.Sealer
	opener  *wire.Opener
	metrics *daemonMetrics
	guard   *contain.Guard
	out     []udpio.Message
}

func newPeerLink(s *settings.Settings, keys wire.KeyringProvider, incarnation uint64, m *daemonMetrics, g *contain.Guard) *peerLink {
	self := senderID(s.Peer)
	return &peerLink{
		sealer:  wire.NewSealer(keys, self, incarnation, new(wire.Counter)),
		opener:  wire.NewOpener(keys, self, wire.NewReplayFilter(wire.ReplayFilterConfig{})),
		metrics: m,
		guard:   g,
	}
}

// portFactor spreads the ports of daemons that share an address over the ids. It is odd, so that no two ports meet.
const portFactor = 0x9e3779b1

// senderID returns the id under which a daemon with a peer address seals datagrams, and under which the others keep its
// replay window. Daemons with the same port, or with the same IPv4 address, have different ids, whatever they are called:
// of two with one id, the receivers would drop the datagrams of the one that started first.
func senderID(peer netip.AddrPort) model.MachineID {
	if !peer.Addr().Unmap().Is4() {
		return model.MachineIDOf(peer.String())
	}
	ip := peer.Addr().Unmap().As4()
	return model.MachineID(max(binary.BigEndian.Uint32(ip[:])+uint32(peer.Port())*portFactor, 1))
}

// send seals a datagram once and sends it to all addresses. Only the control loop calls it.
func (p *peerLink) send(to []netip.AddrPort, d news.Datagram) error {
	body, err := d.Encode()
	if err != nil {
		return err
	}
	sealed := p.sealer.AppendSealed(nil, wire.AnyReceiver, wire.KindItemGossip, body)
	p.out = p.out[:0]
	for _, a := range to {
		p.out = append(p.out, udpio.Message{Buf: sealed, N: len(sealed), Addr: a})
	}
	p.metrics.controlSent.Inc(int64(len(sealed) * len(to)))
	n, err := p.conn.WriteBatch(p.out)
	if err != nil {
		p.metrics.sendErrors.Inc(int64(len(to) - n))
	}
	return nil
}

// run passes received datagrams to the control loop until the socket is closed.
func (p *peerLink) run(events chan<- controlEvent, ctx context.Context) error {
	in := make([]udpio.Message, batchSize)
	for i := range in {
		in[i].Buf = make([]byte, bufferBytes)
	}
	for {
		n, open := p.guard.Read("peers", p.conn, in)
		if !open {
			return nil
		}
		for _, m := range in[:n] {
			d, kind := p.openContained(m.Buf[:m.N])
			if kind != errkind.None {
				p.metrics.errorKinds.Add(kind, 1)
				continue
			}
			p.metrics.controlReceived.Inc(int64(m.N))
			select {
			case events <- controlEvent{from: m.Addr, datagram: d}:
			case <-ctx.Done():
				return nil
			}
		}
	}
}

// openContained opens a datagram. A datagram whose decoding panics counts as malformed.
func (p *peerLink) openContained(raw []byte) (d *news.Datagram, kind errkind.Kind) {
	kind = errkind.PeerMalformed
	_ = p.guard.Contain("peers", raw, func() { d, kind = p.open(raw) }) // logged by Contain
	return d, kind
}

func (p *peerLink) open(raw []byte) (*news.Datagram, errkind.Kind) {
	env, kind := p.opener.Open(raw)
	if kind != errkind.None {
		return nil, kind
	}
	if env.Kind != wire.KindItemGossip {
		return nil, errkind.PeerMalformed
	}
	d, err := news.Decode(env.Body)
	if err != nil {
		return nil, errkind.PeerMalformed
	}
	return &d, errkind.None
}

// controlEvent is one input of the control loop: a datagram, or a function to call in the loop's goroutine.
type controlEvent struct {
	from     netip.AddrPort
	datagram *news.Datagram
	handle   func(now time.Time) []news.Action
}

// eventQueueCapacity is the capacity of the control loop's queue.
const eventQueueCapacity = 256
