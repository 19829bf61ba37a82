package edge

import (
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/contain"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	// batchSize is the maximum number of datagrams per read.
	batchSize = 64
	// bufferBytes is the size of a buffer for the largest packet and its headroom.
	bufferBytes = 2048
)

// mover forwards packets from the data socket. Each mover is used by one goroutine and has its own buffers.
type mover struct {
	d        *Daemon
	conn     udpio.Conn
	headroom int

	// frames are the buffers of the packets in in, each preceded by its headroom.
	frames [][]byte
	in     []udpio.Message
	out    []udpio.Message
	resets [][]byte
	meta   packet.Meta

	// stalls is this goroutine's counter for pauseClock.stalledSince; stale is true while packets are read that may
	// have waited in the socket during a stall.
	stalls int64
	stale  bool
	// backlogSince is the time since which the packets that are read may have waited for the first lists; zero once
	// these packets have been read.
	backlogSince time.Time
}

func (d *Daemon) newMover(conn udpio.Conn) *mover {
	m := &mover{d: d, conn: conn, headroom: d.transport.Headroom()}
	for range batchSize {
		frame := make([]byte, bufferBytes)
		m.frames = append(m.frames, frame)
		m.in = append(m.in, udpio.Message{Buf: frame[m.headroom:]})
		m.resets = append(m.resets, make([]byte, 0, bufferBytes))
	}
	return m
}

// run forwards packets until the socket is closed.
func (m *mover) run() error {
	for {
		n, open := m.d.faults.Read("packets", m.conn, m.in)
		if !open {
			return nil
		}
		now := time.Now()
		m.d.metrics.lastPacket.Store(now.UnixNano())
		m.stale = m.d.pauses.stalledSince(&m.stalls) || m.stale
		for i := 0; i < n; {
			i = m.handleFrom(now, i, n)
		}
		m.flush()
		if n < len(m.in) {
			m.stale, m.backlogSince = false, time.Time{} // the socket's backlog has been read
		}
	}
}

// handleFrom decides on the packets in[first:n] and returns the index to continue with: n, or the one after a packet
// whose handling panicked.
func (m *mover) handleFrom(now time.Time, first, n int) int {
	i := first
	err := contain.Run(func() {
		for ; i < n; i++ {
			m.handle(now, i)
		}
	})
	if err == nil {
		return n
	}
	m.d.faults.Note("packets", m.in[i].Buf[:m.in[i].N], err)
	return i + 1
}

func (m *mover) flush() {
	if len(m.out) == 0 {
		return
	}
	if n, err := m.conn.WriteBatch(m.out); err != nil {
		m.d.metrics.sendErrors.Inc(int64(len(m.out) - n))
	}
	m.out = m.out[:0]
}

// mayBeStale reports whether packets may have waited in the socket during a stall. It is called for SYNs only, so
// that other packets cost no clock read. stalledNow comes first: if a check detects the stall between the two calls,
// stalledSince still reports it.
func (m *mover) mayBeStale() bool {
	m.stale = m.stale || m.d.pauses.stalledNow() || m.d.pauses.stalledSince(&m.stalls)
	return m.stale
}

// handle decides on one packet. SYNs that waited during a stall are dropped: their callers have opened the flows
// through other daemons since, and a second target that refuses such a SYN would end the flow at the first one.
func (m *mover) handle(now time.Time, i int) {
	raw := m.in[i].Buf[:m.in[i].N]
	tag, kind := m.d.transport.Decode(raw, &m.meta)
	if kind != errkind.None {
		m.d.metrics.kinds.Add(kind, 1)
		return
	}
	if m.meta.Flags.Has(packet.SYN) && m.mayBeStale() {
		m.d.noteDropped(now, &m.meta, tag, &core.TagVerdict{Op: core.OpDrop, Kind: errkind.PacketOutdated})
		return
	}
	if m.meta.Flags.Has(packet.SYN) && !m.d.engine.Whole() && m.d.held.keep(raw, m.arrived(now)) {
		return
	}
	m.decide(now, i, raw, tag)
}

// arrived returns the earliest time at which the current packet may have arrived.
func (m *mover) arrived(now time.Time) time.Time {
	if m.backlogSince.IsZero() {
		return now
	}
	return m.backlogSince
}

// decide executes the engine's verdict on the last decoded packet.
func (m *mover) decide(now time.Time, i int, raw []byte, tag flowtag.Tag) {
	v := m.d.engine.FromCaller(now, &m.meta, tag)
	if v.Conflict != nil {
		m.d.noteConflict(now, &m.meta, &v)
	}
	switch v.Op {
	case core.OpForward:
		frame := m.frames[i][:m.headroom+len(raw)]
		m.d.transport.Address(frame, v.Target, v.Tag)
		m.out = append(m.out, udpio.Message{Buf: frame, N: len(frame), Addr: v.Target.Data})
		m.d.metrics.forwarded.Inc(1)
		if v.Reason != core.TagSteered {
			m.d.noteSteered(now, &m.meta, &v)
		}
	case core.OpReset:
		reset := m.d.transport.AppendReset(m.resets[i][:0], &m.meta)
		m.out = append(m.out, udpio.Message{Buf: reset, N: len(reset), Addr: m.d.transport.CallerAddr(&m.meta)})
		m.d.noteRefused(now, &m.meta, &v)
	default:
		m.d.noteDropped(now, &m.meta, tag, &v)
	}
}
