package flow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// Replica is this daemon's replica of another owner's log. It holds that owner's exceptions: the flows whose
// target is not their default one.
type Replica struct {
	Owner       model.MachineID
	Incarnation uint64

	mu           sync.RWMutex
	nextSeq      uint64 // position of the next record to apply; 0 until a snapshot was loaded
	generation   model.Generation
	coveredMark  Mark // highest mark that a complete log has returned
	returnedMark Mark // highest mark that the log has returned, complete or not
	exceptions   map[model.FlowHash]model.TargetID
	// ackDue is true while a received batch has not been acknowledged.
	ackDue bool
	// wantedMark is the highest mark at which this daemon first saw a flow that the replica does not cover
	// yet.
	wantedMark atomic.Uint64
	// gapSince is when the first batch arrived that starts after the position; zero without a gap.
	gapSince time.Time
	// retiredAt is when the owner was found failed, stopped or replaced; zero while it is live.
	retiredAt time.Time
}

// newReplica returns a replica that still needs a snapshot.
func newReplica(owner model.MachineID, incarnation uint64) *Replica {
	return &Replica{Owner: owner, Incarnation: incarnation, exceptions: make(map[model.FlowHash]model.TargetID)}
}

// Lookup returns the target that the owner's log holds for an exception.
func (r *Replica) Lookup(h model.FlowHash) (model.TargetID, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t, ok := r.exceptions[h]
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
func (r *Replica) Route(h model.FlowHash) Route {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t, ok := r.exceptions[h]
	return Route{Position: r.position(), Target: t, Exception: ok}
}

// Position describes how current a replica is.
type Position struct {
	// Synced is false until a snapshot was loaded.
	Synced     bool
	NextSeq    uint64
	Generation model.Generation
	// CoveredMark is the highest mark of this daemon that the replica covers: the replica holds every
	// exception among the flows that the owner had when it received the mark.
	CoveredMark Mark
	// ReturnedMark is the highest mark of this daemon that the owner had received when it sent the latest
	// batch that the replica has applied. Unlike CoveredMark, it also counts batches of an incomplete log.
	ReturnedMark Mark
	// Owner identifies the log's owner and its incarnation.
	Owner IncarnationID
}

// Position returns how current the replica is.
func (r *Replica) Position() Position {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.position()
}

func (r *Replica) position() Position {
	return Position{
		Synced:       r.nextSeq != 0,
		NextSeq:      r.nextSeq,
		Generation:   r.generation,
		CoveredMark:  r.coveredMark,
		ReturnedMark: r.returnedMark,
		Owner:        IncarnationIDOf(r.Owner, r.Incarnation),
	}
}

func (r *Replica) remove(h model.FlowHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.exceptions, h)
}

func (r *Replica) each(f func(h model.FlowHash)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for h := range r.exceptions {
		f(h)
	}
}

// Len returns the number of exceptions in the replica.
func (r *Replica) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.exceptions)
}

// Apply applies a batch that continues at the replica's position. It ignores a batch that would leave
// a gap; the owner resends the missing records. It reports whether the batch was applied, or held
// nothing new.
func (r *Replica) Apply(now time.Time, b wire.LogBatch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := b.FirstSeq + uint64(len(b.Records))
	if !r.isMarkReply(b) {
		r.ackDue = true
	}
	if r.nextSeq == 0 || b.FirstSeq > r.nextSeq {
		r.recordGap(now)
		return false
	}
	r.gapSince = time.Time{}
	if end < r.nextSeq {
		return true
	}
	for _, rec := range b.Records[r.nextSeq-b.FirstSeq:] {
		r.applyRecord(rec)
	}
	r.nextSeq = end
	r.generation = b.Generation
	r.returnedMark = max(r.returnedMark, Mark(b.EchoedMark))
	if b.Complete {
		r.coveredMark = max(r.coveredMark, Mark(b.EchoedMark))
	}
	return true
}

// isMarkReply reports whether a batch has no records and only answers an acknowledgement of the
// current position. Such a batch needs no acknowledgement: otherwise the two daemons would answer
// each other forever.
func (r *Replica) isMarkReply(b wire.LogBatch) bool {
	return len(b.Records) == 0 && b.FirstSeq == r.nextSeq && Mark(b.EchoedMark) > r.returnedMark
}

// WaitForMark records that this daemon first saw a flow of the owner at mark m, so that acknowledgements carry
// the current mark to the owner until a batch returns a later one than m.
func (r *Replica) WaitForMark(m Mark) {
	for {
		old := r.wantedMark.Load()
		if old >= uint64(m) || r.wantedMark.CompareAndSwap(old, uint64(m)) {
			return
		}
	}
}

// TakeAck returns the acknowledgement that is due to the owner, if any: after a batch, while a
// snapshot is missing, or while a flow waits for its mark to be returned. current is this daemon's
// present mark.
func (r *Replica) TakeAck(current Mark) (wire.LogAck, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := r.wantedMark.Load() != 0 && r.wantedMark.Load() >= uint64(r.coveredMark)
	if !r.ackDue && r.nextSeq != 0 && !waiting {
		return wire.LogAck{}, false
	}
	r.ackDue = false
	return wire.LogAck{OwnerIncarnation: r.Incarnation, Seq: r.nextSeq, Mark: uint64(current), NeedSnapshot: r.nextSeq == 0}, true
}

func (r *Replica) recordGap(now time.Time) {
	if r.gapSince.IsZero() {
		r.gapSince = now
	}
}

// NeedsSnapshot reports whether the replica cannot continue from the owner's batches: it has no
// snapshot yet, or a gap has stayed open for the timeout.
func (r *Replica) NeedsSnapshot(now time.Time, timeout time.Duration) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.nextSeq == 0 {
		return true
	}
	return !r.gapSince.IsZero() && now.Sub(r.gapSince) >= timeout
}

func (r *Replica) applyRecord(rec wire.Record) {
	if rec.Remove {
		delete(r.exceptions, rec.Hash)
		return
	}
	r.exceptions[rec.Hash] = rec.Target
}

// restore loads a snapshot unless the replica is already at a later position.
func (r *Replica) restore(s Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.NextSeq <= r.nextSeq {
		return
	}
	r.exceptions = make(map[model.FlowHash]model.TargetID, len(s.Exceptions))
	for _, rec := range s.Exceptions {
		r.exceptions[rec.Hash] = rec.Target
	}
	r.nextSeq = s.NextSeq
	r.generation = s.Generation
	r.gapSince = time.Time{}
	r.ackDue = true
}

func (r *Replica) snapshot() Snapshot {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return Snapshot{
		Owner: r.Owner, Incarnation: r.Incarnation, NextSeq: r.nextSeq,
		Generation: r.generation, Exceptions: recordsOf(r.exceptions),
	}
}

func (r *Replica) retire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retiredAt.IsZero() {
		r.retiredAt = now
	}
}

func (r *Replica) retiredBefore(t time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return !r.retiredAt.IsZero() && r.retiredAt.Before(t)
}
