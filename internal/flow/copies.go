package flow

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Copies holds the copies of all owners' logs. The copy of an owner that died or was replaced is
// kept for the retention time, since its flows live on under other owners.
type Copies struct {
	retention time.Duration

	mu      sync.Mutex
	current atomic.Pointer[copySet]
}

// copySet is immutable; a change replaces it.
type copySet struct {
	live    map[model.MachineID]*Copy
	retired []*Copy
}

// NewCopies returns an empty set. Retention must be at least the flows' idle timeout.
func NewCopies(retention time.Duration) *Copies {
	c := &Copies{retention: retention}
	c.current.Store(&copySet{live: make(map[model.MachineID]*Copy)})
	return c
}

// Of returns the copy of a live owner's log, or nil.
func (c *Copies) Of(owner model.MachineID) *Copy {
	return c.current.Load().live[owner]
}

// Latest returns the copy of an owner's log, live or the latest retired one, or nil.
func (c *Copies) Latest(owner model.MachineID) *Copy {
	for _, cp := range c.current.Load().latestFirst() {
		if cp.Owner == owner {
			return cp
		}
	}
	return nil
}

// OfIncarnation returns the copy of the log of one incarnation of an owner, live or retired, or nil.
func (c *Copies) OfIncarnation(owner Incarnated) *Copy {
	for _, cp := range c.current.Load().latestFirst() {
		if IncarnatedOf(cp.Owner, cp.Incarnation) == owner {
			return cp
		}
	}
	return nil
}

// Ensure returns the copy for an owner's incarnation, and starts an empty one where it is new; the
// copy of an older incarnation is retired. It returns nil for an incarnation that was replaced.
func (c *Copies) Ensure(now time.Time, owner model.MachineID, incarnation uint64) *Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.current.Load()
	old := set.live[owner]
	if old != nil && old.Incarnation == incarnation {
		return old
	}
	if old != nil && old.Incarnation > incarnation {
		return nil
	}
	next := set.clone()
	if old != nil {
		old.retire(now)
		next.retired = append(next.retired, old)
	}
	next.live[owner] = newCopy(owner, incarnation)
	c.current.Store(next)
	return next.live[owner]
}

// Retire keeps the copy of an owner that is dead or has left for the retention time.
func (c *Copies) Retire(now time.Time, owner model.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.current.Load()
	old := set.live[owner]
	if old == nil {
		return
	}
	old.retire(now)
	next := set.clone()
	delete(next.live, owner)
	next.retired = append(next.retired, old)
	c.current.Store(next)
}

// Revive takes the copy of an owner back into the live ones where the same incarnation is heard
// again, as after a partition.
func (c *Copies) Revive(owner model.MachineID, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.current.Load().clone()
	kept := next.retired[:0]
	for _, cp := range next.retired {
		if cp.Owner != owner || cp.Incarnation != incarnation || next.live[owner] != nil {
			kept = append(kept, cp)
			continue
		}
		cp.mu.Lock()
		cp.retiredAt = time.Time{}
		cp.ackDue = true
		cp.mu.Unlock()
		next.live[owner] = cp
	}
	next.retired = kept
	c.current.Store(next)
}

// Restore takes a snapshot: into the live copy of that incarnation, or as a retired copy where the
// owner is not live in this daemon's view.
func (c *Copies) Restore(now time.Time, s Snapshot, ownerLive bool) {
	if ownerLive {
		if cp := c.Ensure(now, s.Owner, s.Incarnation); cp != nil {
			cp.restore(s)
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.current.Load()
	for _, cp := range set.all() {
		if cp.Owner == s.Owner && cp.Incarnation == s.Incarnation {
			cp.restore(s)
			return
		}
	}
	cp := newCopy(s.Owner, s.Incarnation)
	cp.restore(s)
	cp.retire(now)
	next := set.clone()
	next.retired = append(next.retired, cp)
	c.current.Store(next)
}

// Rank orders owners by how likely each was a flow's owner before: the lowest comes first.
type Rank func(owner model.MachineID) uint64

// Find looks for a flow in every copy and returns the target that the copy of the lowest rank names;
// of one owner's copies the latest counts.
func (c *Copies) Find(h model.FlowHash, rank Rank) (model.TargetID, bool) {
	var target model.TargetID
	best, found := uint64(0), false
	for _, cp := range c.current.Load().latestFirst() {
		t, ok := cp.Lookup(h)
		if !ok {
			continue
		}
		if r := rank(cp.Owner); !found || r < best {
			target, best, found = t, r, true
		}
	}
	return target, found
}

// Each calls f for every exception of every copy, a copy at a time under its lock. f may not call the
// copies.
func (c *Copies) Each(f func(h model.FlowHash)) {
	for _, cp := range c.current.Load().all() {
		cp.each(f)
	}
}

// Ended drops a flow that has ended from the copies of owners that are gone: their logs will never say
// so themselves.
func (c *Copies) Ended(h model.FlowHash) {
	for _, cp := range c.current.Load().retired {
		cp.drop(h)
	}
}

// First returns the copy of the owner with the lowest rank, or nil where there is none; of one
// owner's copies the latest counts.
func (c *Copies) First(rank Rank) *Copy {
	var first *Copy
	best := uint64(0)
	for _, cp := range c.current.Load().latestFirst() {
		if r := rank(cp.Owner); first == nil || r < best {
			first, best = cp, r
		}
	}
	return first
}

// Retired returns the copies of owners that are gone. The caller must not change the slice.
func (c *Copies) Retired() []*Copy {
	return c.current.Load().retired
}

// Expire drops retired copies whose retention is over.
func (c *Copies) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	over := func(cp *Copy) bool { return cp.retiredBefore(now.Add(-c.retention)) }
	if !slices.ContainsFunc(c.current.Load().retired, over) {
		return
	}
	next := c.current.Load().clone()
	next.retired = slices.DeleteFunc(next.retired, over)
	c.current.Store(next)
}

// Snapshots returns the state of every copy, for a daemon that starts.
func (c *Copies) Snapshots() []Snapshot {
	all := c.current.Load().all()
	snapshots := make([]Snapshot, 0, len(all))
	for _, cp := range all {
		if cp.Position().Synced {
			snapshots = append(snapshots, cp.snapshot())
		}
	}
	return snapshots
}

// Len returns the number of exceptions in all copies.
func (c *Copies) Len() int {
	n := 0
	for _, cp := range c.current.Load().all() {
		n += cp.Len()
	}
	return n
}

func (s *copySet) all() []*Copy {
	all := make([]*Copy, 0, len(s.live)+len(s.retired))
	for _, cp := range s.live {
		all = append(all, cp)
	}
	return append(all, s.retired...)
}

// latestFirst returns the live copies, then the retired ones from the latest to the earliest.
func (s *copySet) latestFirst() []*Copy {
	all := s.all()
	slices.Reverse(all[len(s.live):])
	return all
}

func (s *copySet) clone() *copySet {
	n := &copySet{live: make(map[model.MachineID]*Copy, len(s.live)+1)}
	for id, cp := range s.live {
		n.live[id] = cp
	}
	n.retired = append(n.retired, s.retired...)
	return n
}
