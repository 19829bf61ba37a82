package flow

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Copies holds this daemon's replicas of all owners' logs. The replica of an owner that failed,
// stopped or restarted is kept for the retention time, since its flows continue under other owners.
type Copies struct {
	retention time.Duration

	mu      sync.Mutex
	current atomic.Pointer[copySet]
}

// copySet is immutable; every change stores a new one.
type copySet struct {
	live    map[model.MachineID]*Copy
	retired []*Copy
}

// NewCopies returns an empty set of replicas. Retention must be at least the flows' idle timeout.
func NewCopies(retention time.Duration) *Copies {
	c := &Copies{retention: retention}
	c.current.Store(&copySet{live: make(map[model.MachineID]*Copy)})
	return c
}

// Of returns the replica of a live owner's log, or nil if there is none.
func (c *Copies) Of(owner model.MachineID) *Copy {
	return c.current.Load().live[owner]
}

// Latest returns the replica of an owner's log, live or else the most recently retired one, or nil.
func (c *Copies) Latest(owner model.MachineID) *Copy {
	for _, cp := range c.current.Load().latestFirst() {
		if cp.Owner == owner {
			return cp
		}
	}
	return nil
}

// OfIncarnation returns the replica for one incarnation of an owner, live or retired, or nil.
func (c *Copies) OfIncarnation(owner Incarnated) *Copy {
	for _, cp := range c.current.Load().latestFirst() {
		if IncarnatedOf(cp.Owner, cp.Incarnation) == owner {
			return cp
		}
	}
	return nil
}

// Ensure returns the replica for an owner's incarnation. For a new incarnation it starts an empty
// replica and retires that of the older one. It returns nil for an incarnation that was replaced.
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

// Retire keeps the replica of an owner that has failed or stopped for the retention time.
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

// Revive makes a retired replica live again when its owner returns with the same incarnation, as
// after a network partition.
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

// Restore loads a snapshot into the live replica of that incarnation, or into a retired replica if
// the owner is not live in this daemon's view.
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

// Rank orders owners by how likely each was a flow's previous owner; the lowest value is the likeliest.
type Rank func(owner model.MachineID) uint64

// Find looks up a flow in every replica and returns the target from the replica whose owner has the
// lowest rank. Among several replicas of one owner, the most recent one that holds the flow counts.
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

// Each calls f for every exception of every replica, one replica at a time under its lock. f may not
// call methods of the replicas.
func (c *Copies) Each(f func(h model.FlowHash)) {
	for _, cp := range c.current.Load().all() {
		cp.each(f)
	}
}

// Ended removes a flow that has ended from the retired replicas: the logs of their owners will never
// record the end.
func (c *Copies) Ended(h model.FlowHash) {
	for _, cp := range c.current.Load().retired {
		cp.drop(h)
	}
}

// First returns the replica whose owner has the lowest rank, or nil if there is none. Among several
// replicas of one owner, the most recent counts.
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

// Retired returns the replicas of owners that have failed, stopped or restarted. The caller must not
// change the slice.
func (c *Copies) Retired() []*Copy {
	return c.current.Load().retired
}

// Expire drops the retired replicas whose retention time is over.
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

// Snapshots returns the state of every synced replica, for a daemon that starts.
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

// Len returns the number of exceptions in all replicas.
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

// latestFirst returns the live replicas, then the retired ones, the most recently retired first.
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
