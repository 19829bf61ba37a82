package edge

import (
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/core/tags"
	"github.com/fireflypin/fireflypin/errkind"
)

// maxHeldSYNs bounds the held SYNs: several seconds of SYNs at one daemon at the users' peak load.
const maxHeldSYNs = 4096

// synQueue holds SYNs that arrive after the targets are known, when open flows are already forwarded, and before the
// configuration is. Load pattern: a fleet restarts behind slow links. Dropping a SYN costs its caller the rest of
// the attempt, since a daemon that has not seen the SYN must not place its duplicates. It is safe for concurrent use.
type synQueue struct {
	mu     sync.Mutex
	queue  []heldSYN
	closed bool
}

type heldSYN struct {
	raw []byte
	// arrived is the earliest time at which it may have arrived.
	arrived time.Time
}

// hold stores a copy of a packet that arrived at a time. It returns false if the packet has to be decided on now,
// because the queue is full or closed.
func (q *synQueue) hold(raw []byte, arrived time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.queue) >= maxHeldSYNs {
		return false
	}
	q.queue = append(q.queue, heldSYN{raw: append([]byte(nil), raw...), arrived: arrived})
	return true
}

// closeQueue returns the held packets in the order of arrival and closes the queue.
func (q *synQueue) closeQueue() []heldSYN {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.queue
	q.queue, q.closed = nil, true
	return queue
}

// placeHeldSYNs decides on the held SYNs once complete lists are in use. SYNs that were held for stallLimit or longer
// are dropped: on transports that do not mark duplicates, their callers may have opened the flows through another daemon since.
func (d *Daemon) placeHeldSYNs(now time.Time) {
	heldSYNs := d.heldSYNs.closeQueue()
	if len(heldSYNs) == 0 {
		return
	}
	count, outdated := len(heldSYNs), 0
	fw := d.newForwarder(d.data)
	for len(heldSYNs) > 0 {
		n := min(len(heldSYNs), len(fw.in))
		for i, p := range heldSYNs[:n] {
			fw.in[i].N = copy(fw.in[i].Buf, p.raw)
			_ = d.guard.Contain("packets", p.raw, func() { outdated += fw.processHeld(now, i, p) }) // logged by Contain
		}
		fw.flush()
		heldSYNs = heldSYNs[n:]
	}
	d.log.Info("held SYNs were processed", "op", "lists", "event", "held", "packets", count, "late", outdated)
}

// processHeld decides on a held SYN and returns 1 if it drops it as outdated, otherwise 0.
func (f *forwarder) processHeld(now time.Time, i int, p heldSYN) (outdated int) {
	raw := f.in[i].Buf[:f.in[i].N]
	tag, kind := f.d.transport.Decode(raw, &f.meta)
	f.wait = wait{waitedForLists, p.arrived}
	switch {
	case kind != errkind.None:
		f.d.metrics.errorKinds.Add(kind, 1)
	case now.Sub(p.arrived) >= stallLimit:
		f.d.recordDropped(now, &f.meta, tag, f.wait, &tags.Verdict{Op: core.OpDrop, Kind: errkind.PacketOutdated, Cause: tags.CauseWaited})
		return 1
	default:
		f.process(now, i, raw, tag)
	}
	return 0
}
