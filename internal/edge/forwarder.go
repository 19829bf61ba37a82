package edge

import (
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/core/tags"
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

// forwarder forwards packets from the data socket. Each forwarder is used by one goroutine and has its own buffers.
type forwarder struct {
	d        *Daemon
	conn     udpio.Conn
	headroom int

	// frames are the buffers of the packets in in, each preceded by its headroom.
	frames [][]byte
	in     []udpio.Message
	out    []udpio.Message
	resets [][]byte
	meta   packet.Meta

	// seenStalls is this goroutine's counter for pauseDetector.newStall; stale is true while packets are read that may
	// have waited in the socket during a stall.
	seenStalls int64
	stale      bool
	// seenWaits and waited are the same for shorter gaps, and fullSince is the time since which every read has filled its
	// buffers; zero if the last one did not.
	seenWaits int64
	waited    bool
	fullSince time.Time
	// backlogSince is the time since which the packets that are read may have waited for the first lists; zero once
	// these packets have been read.
	backlogSince time.Time
	// wait says where the packet that is decided on has waited.
	wait wait
}

func (d *Daemon) newForwarder(conn udpio.Conn) *forwarder {
	f := &forwarder{d: d, conn: conn, headroom: d.transport.Headroom()}
	for range batchSize {
		frame := make([]byte, bufferBytes)
		f.frames = append(f.frames, frame)
		f.in = append(f.in, udpio.Message{Buf: frame[f.headroom:]})
		f.resets = append(f.resets, make([]byte, 0, bufferBytes))
	}
	return f
}

// run forwards packets until the socket is closed.
func (f *forwarder) run() error {
	for {
		n, open := f.d.guard.Read("packets", f.conn, f.in)
		if !open {
			return nil
		}
		now := time.Now()
		f.d.metrics.lastPacket.Store(now.UnixNano())
		f.stale = f.d.pauses.newStall(&f.seenStalls) || f.stale
		f.waited = f.d.pauses.newWait(&f.seenWaits) || f.waited
		for i := 0; i < n; {
			i = f.handleBatch(now, i, n)
		}
		f.flush()
		f.releaseWaiting(now)
		switch {
		case n < len(f.in):
			// the socket's backlog has been read
			f.stale, f.waited, f.backlogSince, f.fullSince = false, false, time.Time{}, time.Time{}
		case f.fullSince.IsZero():
			f.fullSince = now
		}
	}
}

// handleBatch decides on the packets in[first:n] and returns the index to continue with: n, or the one after a packet
// whose handling panicked.
func (f *forwarder) handleBatch(now time.Time, first, n int) int {
	i := first
	err := contain.Run(func() {
		for ; i < n; i++ {
			f.handle(now, i)
		}
	})
	if err == nil {
		return n
	}
	f.d.guard.RecordPanic("packets", f.in[i].Buf[:f.in[i].N], err)
	return i + 1
}

func (f *forwarder) flush() {
	if len(f.out) == 0 {
		return
	}
	if n, err := f.conn.WriteBatch(f.out); err != nil {
		f.d.metrics.sendErrors.Inc(int64(len(f.out) - n))
	}
	f.out = f.out[:0]
}

// mayBeStale reports whether packets may have waited in the socket during a stall. It is called for SYNs only, so
// that other packets cost no clock read. undetectedStall comes first: if a check detects the stall between the two
// calls, newStall still reports it.
func (f *forwarder) mayBeStale() bool {
	f.stale = f.stale || f.d.pauses.undetectedStall() || f.d.pauses.newStall(&f.seenStalls)
	return f.stale
}

// mayHaveWaited reports whether the current packet may have waited in the socket for waitLimit or longer. Its flow may have
// gone on through another daemon since. It is called for few packets, as it reads the clock.
func (f *forwarder) mayHaveWaited(now time.Time) bool {
	f.waited = f.waited || f.d.pauses.undetectedWait() || f.d.pauses.newWait(&f.seenWaits)
	return f.waited || f.stale || !f.backlogSince.IsZero() || !f.fullSince.IsZero() && now.Sub(f.fullSince) >= waitLimit
}

// handle decides on one packet. SYNs that waited during a stall are dropped: on transports that do not mark duplicates their
// callers may have opened the flows through other daemons since, and a second target that refuses such a SYN would end the flow
// at the first one.
func (f *forwarder) handle(now time.Time, i int) {
	raw := f.in[i].Buf[:f.in[i].N]
	tag, kind := f.d.transport.Decode(raw, &f.meta)
	if kind != errkind.None {
		f.d.metrics.errorKinds.Add(kind, 1)
		return
	}
	f.wait = f.socketWait(now)
	if f.meta.Flags.Has(packet.SYN) && f.mayBeStale() {
		f.wait = wait{place: waitedInStall}
		f.d.recordDropped(now, &f.meta, tag, f.wait, &tags.Verdict{Op: core.OpDrop, Kind: errkind.PacketOutdated, Cause: tags.CauseWaited})
		return
	}
	if f.meta.Flags.Has(packet.SYN) && !f.d.engine.HasAllLists() && f.d.heldSYNs.hold(raw, f.wait.since) {
		return
	}
	f.process(now, i, raw, tag)
}

// process executes the engine's verdict on the last decoded packet.
func (f *forwarder) process(now time.Time, i int, raw []byte, tag flowtag.Tag) {
	v := f.d.engine.FromCaller(now, &f.meta, tag)
	if v.MaxWait > 0 {
		if f.hold(now, raw, &v) {
			return
		}
		v = f.d.engine.GiveUp(now, &f.meta)
	}
	f.execute(now, i, raw, tag, &v)
}

// execute executes a verdict on the last decoded packet.
func (f *forwarder) execute(now time.Time, i int, raw []byte, tag flowtag.Tag, v *tags.Verdict) {
	if v.Conflict != nil {
		f.d.recordConflict(now, &f.meta, v)
	}
	if v.Op == core.OpReset && v.Target != nil && f.mayHaveWaited(now) {
		// The reset of an open flow needs the number of a packet that was just sent.
		v.Op, v.Reason = core.OpForward, tags.Steered
		f.d.metrics.resetsLate.Inc(1)
	}
	switch v.Op {
	case core.OpForward:
		frame := f.frames[i][:f.headroom+len(raw)]
		f.d.transport.PrepareForTarget(frame, v.Target, v.Tag)
		f.out = append(f.out, udpio.Message{Buf: frame, N: len(frame), Addr: v.Target.Data})
		f.d.metrics.forwarded.Inc(1)
		if v.Reason != tags.Steered {
			f.d.recordAssignment(now, &f.meta, f.wait, v)
		}
	case core.OpReset:
		reset := f.d.transport.AppendReset(f.resets[i][:0], &f.meta)
		f.out = append(f.out, udpio.Message{Buf: reset, N: len(reset), Addr: f.d.transport.CallerAddr(&f.meta)})
		f.d.recordRefused(now, &f.meta, v)
	default:
		f.d.recordDropped(now, &f.meta, tag, f.wait, v)
	}
}
