package owners

import (
	"slices"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
)

// maxOwners is the number of owners that can be put in a flow's owner order without an allocation.
const maxOwners = 32

// replicatesLog reports whether a peer replicates the log of an owner. In a small fleet all daemons do; in a
// large one, those of the owner's zone and its backups in the next zone.
func (e *Engine) replicatesLog(rs *routingState, owner, peer model.MachineID) bool {
	if owner == peer {
		return false
	}
	if len(rs.snapshot.Entries) <= e.cfg.FullReplicationMax {
		return true
	}
	o, p := rs.snapshot.Entry(owner), rs.snapshot.Entry(peer)
	if o == nil || p == nil {
		return false
	}
	if o.Zone == p.Zone {
		return true
	}
	return slices.Contains(rs.backups(o, e.cfg.Backups), peer)
}

// backups returns the daemons in the zone after the owner's that replicate its log, so that a replica
// survives the loss of the owner's zone.
func (rs *routingState) backups(owner *model.EntryVM, n int) []model.MachineID {
	i := slices.Index(rs.zones.zones, owner.Zone)
	if i < 0 || len(rs.zones.zones) < 2 {
		return nil
	}
	next := rs.zones.zones[(i+1)%len(rs.zones.zones)]
	var buf [maxOwners]*model.EntryVM
	order := rs.view.Owners(model.FlowHash(mix(uint64(owner.ID), 0)), []model.Zone{next}, buf[:0])
	var ids []model.MachineID
	for _, o := range order[:min(n, len(order))] {
		ids = append(ids, o.ID)
	}
	return ids
}

// lastRank is the highest rank; it comes after all others.
const lastRank = ^uint64(0)

// rank returns the position of a daemon, live or not, in a flow's owner order: lower comes first. A daemon
// that is no longer listed comes last.
func (rs *routingState) rank(h model.FlowHash, owner model.MachineID) uint64 {
	entry := rs.snapshot.Entry(owner)
	if entry == nil {
		return lastRank
	}
	var buf [maxZones]model.Zone
	zone := slices.Index(rs.zones.forFlow(h, buf[:0]), entry.Zone)
	const zoneBits = 4
	return uint64(zone)<<(64-zoneBits) | ^membership.Score(h, owner)>>zoneBits
}

// rankWithout returns a flow's rank function in which one daemon comes last.
func (rs *routingState) rankWithout(h model.FlowHash, except model.MachineID) flow.Rank {
	return func(id model.MachineID) uint64 {
		if id == except {
			return lastRank
		}
		return rs.rank(h, id)
	}
}
