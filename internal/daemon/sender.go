package daemon

import (
	"sync"

	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// peerSender seals and sends the daemon's control datagrams. It is safe for concurrent use.
type peerSender struct {
	conn    udpio.Conn
	metrics *daemonMetrics

	mu     sync.Mutex
	sealer *wire.Sealer
	buf    []byte
}

// send sends one datagram to a peer. A send error is only counted because the protocol repeats its messages.
func (s *peerSender) send(to *model.EntryVM, kind wire.Kind, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buf = s.sealer.AppendSealed(s.buf[:0], to.ID, kind, body)
	out := [1]udpio.Message{{Buf: s.buf, N: len(s.buf), Addr: to.Peer}}
	if _, err := s.conn.WriteBatch(out[:]); err != nil {
		s.metrics.sendErrors.Inc(1)
		return
	}
	s.metrics.controlSent.Inc(int64(len(s.buf)))
}
