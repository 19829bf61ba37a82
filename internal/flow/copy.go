package flow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Copy is this daemon's replica of another owner's log.
type Copy struct {
	Owner       model.MachineID
	Incarnation uint64

	mu         sync.RWMutex
	next       uint64 // position of the next record to apply; 0 until a snapshot was loaded
	generation model.Generation
	echoed     Mark // highest mark that a complete log has returned
	heard      Mark // highest mark that the log has returned, complete or not
	exceptions map[model.FlowHash]model.TargetID
	// ackDue is true while a received batch has not been acknowledged.
	ackDue bool
	// wanted is the highest mark at which a flow was first seen that the replica does not cover yet.
	wanted atomic.Uint64
	// gapSince is when the first batch arrived that starts after the position; zero without a gap.
	gapSince time.Time
	// retiredAt is when the owner was found failed, stopped or replaced; zero while it is live.
	retiredAt time.Time
}

// newCopy returns a replica that still needs a snapshot.
func newCopy(owner model.MachineID, incarnation uint64) *Copy {
	return &Copy{Owner: owner, Incarnation: incarnation, exceptions: make(map[model.FlowHash]model.TargetID)}
}

// Lookup returns the target that the owner's log holds for an exception.
func (c *Copy) Lookup(h model.FlowHash) (model.TargetID, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	t, ok := c.exceptions[h]
	return t, ok
}

// Route is what a replica holds on one flow, read at one position of the log.
type Route struct {
	Position
	// Target is the flow's target if Exception is true; otherwise the flow has the default target
	// of the position's generation.
	Target    model.TargetID
	Exception bool
}

// Route looks up a flow and the replica's position under one lock, so that a batch applied in between
// cannot mix two generations.
func (c *Copy) Route(h model.FlowHash) Route {
	c.mu.RLock()
	defer c.mu.RUnlock()
	t, ok := c.exceptions[h]
	return Route{Position: c.position(), Target: t, Exception: ok}
}

// Position describes how current a replica is.
type Position struct {
	// Synced is false until a snapshot was loaded.
	Synced     bool
	NextSeq    uint64
	Generation model.Generation
	// Echoed is the highest mark of this daemon that the replica covers: the replica holds every
	// exception among the flows that the owner had when it received the mark.
	Echoed Mark
	// Heard is the highest mark of this daemon that the owner had received when it sent the latest
	// batch that the replica has applied. Unlike Echoed, it also counts batches of an incomplete log.
	Heard Mark
	// Owner identifies the log's owner and its incarnation.
	Owner Incarnated
}

// Position returns how current the replica is.
func (c *Copy) Position() Position {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.position()
}

func (c *Copy) position() Position {
	return Position{
		Synced:     c.next != 0,
		NextSeq:    c.next,
		Generation: c.generation,
		Echoed:     c.echoed,
		Heard:      c.heard,
		Owner:      IncarnatedOf(c.Owner, c.Incarnation),
	}
}

func (c *Copy) drop(h model.FlowHash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.exceptions, h)
}

func (c *Copy) each(f func(h model.FlowHash)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for h := range c.exceptions {
		f(h)
	}
}

// Len returns the number of exceptions in the replica.
func (c *Copy) Len() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.exceptions)
}

// Apply applies a batch that continues at the replica's position. It ignores a batch that would leave
// a gap; the owner resends the missing records. It reports whether the batch was applied, or held
// nothing new.
func (c *Copy) Apply(now time.Time, b wire.LogBatch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := b.FirstSeq + uint64(len(b.Records))
	if !c.onlyAnswers(b) {
		c.ackDue = true
	}
	if c.next == 0 || b.FirstSeq > c.next {
		c.noteGap(now)
		return false
	}
	c.gapSince = time.Time{}
	if end < c.next {
		return true
	}
	for _, r := range b.Records[c.next-b.FirstSeq:] {
		c.applyRecord(r)
	}
	c.next = end
	c.generation = b.Generation
	c.heard = max(c.heard, Mark(b.Echo))
	if b.Complete {
		c.echoed = max(c.echoed, Mark(b.Echo))
	}
	return true
}

// onlyAnswers reports whether a batch has no records and only answers an acknowledgement of the
// current position. Such a batch needs no acknowledgement: otherwise the two daemons would answer
// each other forever.
func (c *Copy) onlyAnswers(b wire.LogBatch) bool {
	return len(b.Records) == 0 && b.FirstSeq == c.next && Mark(b.Echo) > c.heard
}

// Want records that a flow of the owner was first seen here at a mark, so that acknowledgements carry
// the current mark to the owner until a batch returns a later one.
func (c *Copy) Want(m Mark) {
	for {
		old := c.wanted.Load()
		if old >= uint64(m) || c.wanted.CompareAndSwap(old, uint64(m)) {
			return
		}
	}
}

// TakeAck returns the acknowledgement that is due to the owner, if any: after a batch, while a
// snapshot is missing, or while a flow waits for its mark to be returned. current is this daemon's
// present mark.
func (c *Copy) TakeAck(current Mark) (wire.LogAck, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.wanted.Load() != 0 && c.wanted.Load() >= uint64(c.echoed)
	if !c.ackDue && c.next != 0 && !waiting {
		return wire.LogAck{}, false
	}
	c.ackDue = false
	return wire.LogAck{OwnerIncarnation: c.Incarnation, Seq: c.next, Mark: uint64(current), NeedSnapshot: c.next == 0}, true
}

func (c *Copy) noteGap(now time.Time) {
	if c.gapSince.IsZero() {
		c.gapSince = now
	}
}

// NeedsSnapshot reports whether the replica cannot continue from the owner's batches: it has no
// snapshot yet, or a gap has stayed open for the duration of patience.
func (c *Copy) NeedsSnapshot(now time.Time, patience time.Duration) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.next == 0 {
		return true
	}
	return !c.gapSince.IsZero() && now.Sub(c.gapSince) >= patience
}

func (c *Copy) applyRecord(r wire.Record) {
	if r.Remove {
		delete(c.exceptions, r.Hash)
		return
	}
	c.exceptions[r.Hash] = r.Target
}

// restore loads a snapshot unless the replica is already at a later position.
func (c *Copy) restore(s Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.NextSeq <= c.next {
		return
	}
	c.exceptions = make(map[model.FlowHash]model.TargetID, len(s.Exceptions))
	for _, r := range s.Exceptions {
		c.exceptions[r.Hash] = r.Target
	}
	c.next = s.NextSeq
	c.generation = s.Generation
	c.gapSince = time.Time{}
	c.ackDue = true
}

func (c *Copy) snapshot() Snapshot {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return Snapshot{
		Owner: c.Owner, Incarnation: c.Incarnation, NextSeq: c.next,
		Generation: c.generation, Exceptions: recordsOf(c.exceptions),
	}
}

func (c *Copy) retire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retiredAt.IsZero() {
		c.retiredAt = now
	}
}

func (c *Copy) retiredBefore(t time.Time) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return !c.retiredAt.IsZero() && c.retiredAt.Before(t)
}
