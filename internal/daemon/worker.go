package daemon

import (
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/core/owners"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	// batchSize is the maximum number of datagrams per read.
	batchSize = 64
	// bufferBytes is the size of a packet buffer: enough for the largest inner packet and the overhead of
	// forwarding it to a peer.
	bufferBytes = 2048
)

// worker processes the packets of one socket. Each worker runs in one goroutine and has its own buffers.
type worker struct {
	d       *Daemon
	data    udpio.Conn
	peer    udpio.Conn
	decoder *packet.Decoder
	sealer  *wire.Sealer
	opener  *wire.Opener

	in      []udpio.Message
	meta    packet.Meta
	toData  []udpio.Message
	toPeers []udpio.Message
	scratch scratch
	counts  batchCounts
}

// batchCounts counts the packets of one batch. The counters shared by all workers are updated once per batch.
type batchCounts struct {
	forwarded, returned, peerForwardsSent, peerForwardsReceived int64
}

// scratch provides buffers that remain valid until the batch is written; flush makes them available again.
type scratch struct {
	buffers [][]byte
	used    int
}

func (s *scratch) take() []byte {
	if s.used == len(s.buffers) {
		s.buffers = append(s.buffers, make([]byte, 0, bufferBytes))
	}
	s.used++
	return s.buffers[s.used-1]
}

// newWorker returns a worker that writes to the data and peer sockets.
func (d *Daemon) newWorker(data, peer udpio.Conn) *worker {
	w := &worker{
		d:       d,
		data:    data,
		peer:    peer,
		decoder: packet.NewDecoder(packet.DecoderConfig{MTU: d.settings.MTU}),
		sealer:  d.newSealer(),
		opener:  wire.NewOpener(d.keys, d.self, d.replay),
		in:      make([]udpio.Message, batchSize),
	}
	for i := range w.in {
		w.in[i].Buf = make([]byte, bufferBytes)
	}
	return w
}

// serveData processes packets from the network fabric and from targets until the socket is closed.
func (w *worker) serveData() error {
	return w.serve("packets", w.data, w.handleData)
}

// servePeers processes datagrams from other daemons until the socket is closed.
func (w *worker) servePeers() error {
	return w.serve("peers", w.peer, w.handlePeer)
}

func (w *worker) serve(where string, conn udpio.Conn, handle func(now time.Time, m *udpio.Message)) error {
	for {
		n, open := w.d.guard.Read(where, conn, w.in)
		if !open {
			return nil
		}
		now := time.Now()
		w.d.metrics.recordPacketTime(now)
		for i := range w.in[:n] {
			m := &w.in[i]
			_ = w.d.guard.Contain(where, m.Buf[:m.N], func() { handle(now, m) }) // Contain counts and logs the panic
		}
		w.flush()
	}
}

// flush sends the packets that the batch produced and resets the buffers.
func (w *worker) flush() {
	w.write(w.data, w.toData)
	w.write(w.peer, w.toPeers)
	w.toData = w.toData[:0]
	w.toPeers = w.toPeers[:0]
	w.scratch.used = 0
	w.d.metrics.addBatch(w.counts)
	w.counts = batchCounts{}
}

func (w *worker) write(conn udpio.Conn, out []udpio.Message) {
	if len(out) == 0 {
		return
	}
	if n, err := conn.WriteBatch(out); err != nil {
		w.d.metrics.sendErrors.Inc(int64(len(out) - n))
	}
}

func (w *worker) handleData(now time.Time, m *udpio.Message) {
	raw := m.Buf[:m.N]
	if kind := w.decoder.Decode(raw, &w.meta); kind != errkind.None {
		w.d.metrics.errorKinds.Add(kind, 1)
		return
	}
	w.apply(w.d.engine.FromFabric(now, m.Addr, &w.meta), raw)
}

func (w *worker) handlePeer(now time.Time, m *udpio.Message) {
	env, kind := w.opener.Open(m.Buf[:m.N])
	if kind == errkind.PeerReplayed {
		w.d.perform(w.d.engine.HandleStalePeer(now, env))
	}
	if kind != errkind.None {
		w.d.metrics.errorKinds.Add(kind, 1)
		return
	}
	if env.Kind == wire.KindForward {
		w.handlePeerForward(now, env)
		return
	}
	w.d.metrics.controlReceived.Inc(int64(m.N))
	actions, kind := w.d.engine.HandlePeer(now, env)
	if kind != errkind.None {
		w.d.metrics.errorKinds.Add(kind, 1)
	}
	w.d.perform(actions)
}

func (w *worker) handlePeerForward(now time.Time, env wire.Envelope) {
	forward, raw, kind := wire.DecodeForward(env.Body)
	if kind == errkind.None {
		kind = w.decoder.Decode(raw, &w.meta)
	}
	if kind != errkind.None {
		w.d.metrics.errorKinds.Add(kind, 1)
		return
	}
	w.counts.peerForwardsReceived++
	if forward.FromTarget {
		w.apply(w.d.engine.FromPeerResponse(now, forward, &w.meta), raw)
		return
	}
	w.apply(w.d.engine.FromPeer(now, env.Sender, forward, &w.meta), raw)
}

// apply executes a verdict on the packet raw.
func (w *worker) apply(v owners.Verdict, raw []byte) {
	switch v.Op {
	case core.OpForward:
		w.counts.forwarded++
		packet.DecrementHopLimit(raw)
		w.toData = append(w.toData, udpio.Message{Buf: raw, N: len(raw), Addr: v.To})
	case core.OpReturn:
		w.counts.returned++
		packet.DecrementHopLimit(raw)
		w.toData = append(w.toData, udpio.Message{Buf: raw, N: len(raw), Addr: w.d.settings.Egress})
	case core.OpForwardToPeer:
		w.forwardToPeer(v, raw)
	case core.OpReset:
		w.reset(v)
	default:
		w.d.metrics.errorKinds.Add(v.Kind, 1)
	}
}

func (w *worker) forwardToPeer(v owners.Verdict, raw []byte) {
	w.counts.peerForwardsSent++
	body := v.Forward.AppendTo(w.scratch.take()[:0])
	body = append(body, raw...)
	datagram := w.sealer.AppendSealed(w.scratch.take()[:0], v.Peer, wire.KindForward, body)
	w.toPeers = append(w.toPeers, udpio.Message{Buf: datagram, N: len(datagram), Addr: v.To})
}

// reset rejects the packet in w.meta with a TCP RST to the caller. If the verdict names a target, the target
// gets a RST too, so that the flow ends there.
func (w *worker) reset(v owners.Verdict) {
	w.d.metrics.errorKinds.Add(v.Kind, 1)
	if v.To.IsValid() {
		targetReset := packet.AppendTCP(w.scratch.take()[:0], w.meta.Src, w.meta.Dst, packet.RST, w.meta.Seq, 0, nil)
		w.toData = append(w.toData, udpio.Message{Buf: targetReset, N: len(targetReset), Addr: v.To})
	}
	text := errkind.RefusalText(v.Kind, v.RetryAfter)
	callerReset := packet.AppendReset(w.scratch.take()[:0], &w.meta, text)
	if len(callerReset) == 0 {
		return
	}
	w.toData = append(w.toData, udpio.Message{Buf: callerReset, N: len(callerReset), Addr: w.d.settings.Egress})
}
