package flow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Copy is this daemon's copy of another owner's log.
type Copy struct {
	Owner       model.MachineID
	Incarnation uint64

	mu         sync.RWMutex
	next       uint64 // 0 until a snapshot was taken
	generation model.Generation
	echoed     Mark // highest mark that a complete log has echoed
	heard      Mark // highest mark that the log has echoed
	exceptions map[model.FlowHash]model.TargetID
	// ackDue is true while a batch has not been acknowledged.
	ackDue bool
	// wanted is the highest mark at which a flow was noted that the copy does not cover yet.
	wanted atomic.Uint64
	// gapSince is when the first batch arrived that did not join the position; zero without a gap.
	gapSince time.Time
	// retiredAt is when the owner was found dead or replaced; zero while it lives.
	retiredAt time.Time
}

// newCopy returns a copy that still needs a snapshot.
func newCopy(owner model.MachineID, incarnation uint64) *Copy {
	return &Copy{Owner: owner, Incarnation: incarnation, exceptions: make(map[model.FlowHash]model.TargetID)}
}

// Lookup returns the target of a flow that the owner's log names.
func (c *Copy) Lookup(h model.FlowHash) (model.TargetID, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	t, ok := c.exceptions[h]
	return t, ok
}

// Route is what a copy tells of one flow, read at one position of the log.
type Route struct {
	Position
	// Target is the flow's target where Exception is true; else the flow has the default target of
	// the position's generation.
	Target    model.TargetID
	Exception bool
}

// Route looks up a flow and the copy's position together, so that a batch applied in between
// cannot mix two generations.
func (c *Copy) Route(h model.FlowHash) Route {
	c.mu.RLock()
	defer c.mu.RUnlock()
	t, ok := c.exceptions[h]
	return Route{Position: c.position(), Target: t, Exception: ok}
}

// Position is what a copy knows besides its exceptions.
type Position struct {
	// Synced is false until a snapshot was taken.
	Synced     bool
	NextSeq    uint64
	Generation model.Generation
	// Echoed is the highest mark of this daemon that the copy covers: it names every exception among the
	// flows that the owner had when it received the mark.
	Echoed Mark
	// Heard is the highest mark of this daemon that the owner had received when it wrote what the copy
	// holds.
	Heard Mark
	// Owner identifies the log's owner and its incarnation.
	Owner Incarnated
}

// Position returns how far the copy goes.
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

// Len returns the number of exceptions in the copy.
func (c *Copy) Len() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.exceptions)
}

// Apply takes a batch if it joins the copy's position; a batch that leaves a gap is left for the
// owner to send again. It reports whether the batch was taken.
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

// onlyAnswers reports whether a batch without records answers an acknowledgement of this position and
// tells nothing else. It needs no acknowledgement of its own: the two would answer each other for ever.
func (c *Copy) onlyAnswers(b wire.LogBatch) bool {
	return len(b.Records) == 0 && b.FirstSeq == c.next && Mark(b.Echo) > c.heard
}

// Want notes that a flow of the owner was first seen here at a mark, so that the mark must be sent to
// the owner and come back.
func (c *Copy) Want(m Mark) {
	for {
		old := c.wanted.Load()
		if old >= uint64(m) || c.wanted.CompareAndSwap(old, uint64(m)) {
			return
		}
	}
}

// TakeAck returns the acknowledgement that is due to the owner: a batch came, a snapshot is missing,
// or a flow waits for its mark. current is this daemon's mark.
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

// NeedsSnapshot reports whether the copy cannot go on from the owner's batches: it has no snapshot
// yet, or a gap was not closed for the patience.
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

// restore takes a snapshot unless the copy is already further.
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
