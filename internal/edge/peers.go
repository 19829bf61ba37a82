package edge

import (
	"context"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/consent"
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

// send encodes a datagram of the news engine and sends it to all addresses. Only the control loop calls it.
func (p *peerLink) send(to []netip.AddrPort, d news.Datagram) error {
	body, err := d.Encode()
	if err != nil {
		return err
	}
	p.sendBody(to, wire.AnyReceiver, wire.KindItemGossip, body)
	return nil
}

// sendQuestion sends a question to all addresses. Only the control loop calls it.
func (p *peerLink) sendQuestion(to []netip.AddrPort, q *consent.Question) {
	p.sendBody(to, wire.AnyReceiver, wire.KindFlowQuestion, q.AppendTo(nil))
}

// sendAnswer sends an answer to the daemon that asked. Only the control loop calls it.
func (p *peerLink) sendAnswer(to netip.AddrPort, a *consent.Answer) {
	p.sendBody([]netip.AddrPort{to}, senderID(to), wire.KindFlowAnswer, a.AppendTo(nil))
}

// sendBody seals a body once and sends it to all addresses.
func (p *peerLink) sendBody(to []netip.AddrPort, receiver model.MachineID, kind wire.Kind, body []byte) {
	sealed := p.sealer.AppendSealed(nil, receiver, kind, body)
	p.out = p.out[:0]
	for _, a := range to {
		p.out = append(p.out, udpio.Message{Buf: sealed, N: len(sealed), Addr: a})
	}
	p.metrics.controlSent.Inc(int64(len(sealed) * len(to)))
	n, err := p.conn.WriteBatch(p.out)
	if err != nil {
		p.metrics.sendErrors.Inc(int64(len(to) - n))
	}
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
			e, kind := p.openContained(m.Buf[:m.N])
			if kind != errkind.None {
				p.metrics.errorKinds.Add(kind, 1)
				continue
			}
			p.metrics.controlReceived.Inc(int64(m.N))
			e.from = m.Addr
			select {
			case events <- e:
			case <-ctx.Done():
				return nil
			}
		}
	}
}

// openContained opens a datagram. A datagram whose decoding panics counts as malformed.
func (p *peerLink) openContained(raw []byte) (e controlEvent, kind errkind.Kind) {
	kind = errkind.PeerMalformed
	_ = p.guard.Contain("peers", raw, func() { e, kind = p.open(raw) }) // logged by Contain
	return e, kind
}

func (p *peerLink) open(raw []byte) (controlEvent, errkind.Kind) {
	env, kind := p.opener.Open(raw)
	if kind != errkind.None {
		return controlEvent{}, kind
	}
	switch env.Kind {
	case wire.KindItemGossip:
		d, err := news.Decode(env.Body)
		if err != nil {
			return controlEvent{}, errkind.PeerMalformed
		}
		return controlEvent{datagram: &d}, errkind.None
	case wire.KindFlowQuestion:
		q, kind := consent.DecodeQuestion(env.Body)
		return controlEvent{question: &q}, kind
	case wire.KindFlowAnswer:
		a, kind := consent.DecodeAnswer(env.Body)
		return controlEvent{answer: &a}, kind
	}
	return controlEvent{}, errkind.PeerMalformed
}

// controlEvent is one input of the control loop: a message of another daemon, or a function to call in the loop's goroutine.
// One field besides from is set.
type controlEvent struct {
	from     netip.AddrPort
	datagram *news.Datagram
	question *consent.Question
	answer   *consent.Answer
	handle   func(now time.Time) []news.Action
}

// eventQueueCapacity is the capacity of the control loop's queue.
const eventQueueCapacity = 256
