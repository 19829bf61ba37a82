package flow

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Replicas holds this daemon's replicas of all owners' logs, which list the owners' exceptions: flows whose
// target is not their default one. The replica of an owner that failed, stopped or restarted is kept for
// the retention time, since its flows continue under other owners.
type Replicas struct {
	retention time.Duration

	mu      sync.Mutex
	current atomic.Pointer[replicaSet]
}

// replicaSet is immutable; every change stores a new one.
type replicaSet struct {
	live    map[model.MachineID]*Replica
	retired []*Replica
}

// NewReplicas returns an empty set of replicas. Retention must be at least the flows' idle timeout.
func NewReplicas(retention time.Duration) *Replicas {
	r := &Replicas{retention: retention}
	r.current.Store(&replicaSet{live: make(map[model.MachineID]*Replica)})
	return r
}

// Live returns the replica of a live owner's log, or nil if there is none.
func (r *Replicas) Live(owner model.MachineID) *Replica {
	return r.current.Load().live[owner]
}

// Latest returns the replica of an owner's log, live or else the most recently retired one, or nil.
func (r *Replicas) Latest(owner model.MachineID) *Replica {
	for _, replica := range r.current.Load().latestFirst() {
		if replica.Owner == owner {
			return replica
		}
	}
	return nil
}

// OfIncarnation returns the replica for one incarnation of an owner, live or retired, or nil.
func (r *Replicas) OfIncarnation(owner IncarnationID) *Replica {
	for _, replica := range r.current.Load().latestFirst() {
		if IncarnationIDOf(replica.Owner, replica.Incarnation) == owner {
			return replica
		}
	}
	return nil
}

// Ensure returns the replica for an owner's incarnation. For a new incarnation it starts an empty
// replica and retires that of the older one. It returns nil for an incarnation that was replaced.
func (r *Replicas) Ensure(now time.Time, owner model.MachineID, incarnation uint64) *Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := r.current.Load()
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
	next.live[owner] = newReplica(owner, incarnation)
	r.current.Store(next)
	return next.live[owner]
}

// Retire marks the replica of an owner that has failed or stopped as retired. It is kept for the retention
// time.
func (r *Replicas) Retire(now time.Time, owner model.MachineID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := r.current.Load()
	old := set.live[owner]
	if old == nil {
		return
	}
	old.retire(now)
	next := set.clone()
	delete(next.live, owner)
	next.retired = append(next.retired, old)
	r.current.Store(next)
}

// Revive makes a retired replica live again when its owner returns with the same incarnation, as
// after a network partition.
func (r *Replicas) Revive(owner model.MachineID, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.current.Load().clone()
	kept := next.retired[:0]
	for _, replica := range next.retired {
		if replica.Owner != owner || replica.Incarnation != incarnation || next.live[owner] != nil {
			kept = append(kept, replica)
			continue
		}
		replica.mu.Lock()
		replica.retiredAt = time.Time{}
		replica.ackDue = true
		replica.mu.Unlock()
		next.live[owner] = replica
	}
	next.retired = kept
	r.current.Store(next)
}

// Restore loads a snapshot into the live replica of that incarnation, or into a retired replica if
// the owner is not live in this daemon's view.
func (r *Replicas) Restore(now time.Time, s Snapshot, ownerLive bool) {
	if ownerLive {
		if replica := r.Ensure(now, s.Owner, s.Incarnation); replica != nil {
			replica.restore(s)
		}
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	set := r.current.Load()
	for _, replica := range set.all() {
		if replica.Owner == s.Owner && replica.Incarnation == s.Incarnation {
			replica.restore(s)
			return
		}
	}
	replica := newReplica(s.Owner, s.Incarnation)
	replica.restore(s)
	replica.retire(now)
	next := set.clone()
	next.retired = append(next.retired, replica)
	r.current.Store(next)
}

// Rank orders owners by how likely each was a flow's previous owner; the lowest value is the likeliest.
type Rank func(owner model.MachineID) uint64

// Find looks up a flow in every replica and returns the target from the replica whose owner has the
// lowest rank. Among several replicas of one owner, the most recent one that holds the flow is used.
func (r *Replicas) Find(h model.FlowHash, rank Rank) (model.TargetID, bool) {
	var target model.TargetID
	best, found := uint64(0), false
	for _, replica := range r.current.Load().latestFirst() {
		t, ok := replica.Lookup(h)
		if !ok {
			continue
		}
		if score := rank(replica.Owner); !found || score < best {
			target, best, found = t, score, true
		}
	}
	return target, found
}

// Each calls f for every exception of every replica, one replica at a time under its lock. f may not
// call methods of the replicas.
func (r *Replicas) Each(f func(h model.FlowHash)) {
	for _, replica := range r.current.Load().all() {
		replica.each(f)
	}
}

// RemoveFlow removes a flow that has ended from the retired replicas: the logs of their owners will never
// record the end.
func (r *Replicas) RemoveFlow(h model.FlowHash) {
	for _, replica := range r.current.Load().retired {
		replica.remove(h)
	}
}

// LowestRanked returns the replica whose owner has the lowest rank, or nil if there is none. Among several
// replicas of one owner, the most recent one is used.
func (r *Replicas) LowestRanked(rank Rank) *Replica {
	var first *Replica
	best := uint64(0)
	for _, replica := range r.current.Load().latestFirst() {
		if score := rank(replica.Owner); first == nil || score < best {
			first, best = replica, score
		}
	}
	return first
}

// Retired returns the replicas of owners that have failed, stopped or restarted. The caller must not
// change the slice.
func (r *Replicas) Retired() []*Replica {
	return r.current.Load().retired
}

// Expire drops the retired replicas whose retention time is over.
func (r *Replicas) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	expired := func(replica *Replica) bool { return replica.retiredBefore(now.Add(-r.retention)) }
	if !slices.ContainsFunc(r.current.Load().retired, expired) {
		return
	}
	next := r.current.Load().clone()
	next.retired = slices.DeleteFunc(next.retired, expired)
	r.current.Store(next)
}

// Snapshots returns the state of every synced replica, for a daemon that starts.
func (r *Replicas) Snapshots() []Snapshot {
	all := r.current.Load().all()
	snapshots := make([]Snapshot, 0, len(all))
	for _, replica := range all {
		if replica.Position().Synced {
			snapshots = append(snapshots, replica.snapshot())
		}
	}
	return snapshots
}

// Len returns the number of exceptions in all replicas.
func (r *Replicas) Len() int {
	n := 0
	for _, replica := range r.current.Load().all() {
		n += replica.Len()
	}
	return n
}

func (s *replicaSet) all() []*Replica {
	all := make([]*Replica, 0, len(s.live)+len(s.retired))
	for _, replica := range s.live {
		all = append(all, replica)
	}
	return append(all, s.retired...)
}

// latestFirst returns the live replicas, then the retired ones, the most recently retired first.
func (s *replicaSet) latestFirst() []*Replica {
	all := s.all()
	slices.Reverse(all[len(s.live):])
	return all
}

func (s *replicaSet) clone() *replicaSet {
	n := &replicaSet{live: make(map[model.MachineID]*Replica, len(s.live)+1)}
	for id, replica := range s.live {
		n.live[id] = replica
	}
	n.retired = append(n.retired, s.retired...)
	return n
}
