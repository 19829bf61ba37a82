package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/core/owners"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/limits"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// customerLimits enforces the limits of customers' plans for the engine.
type customerLimits struct {
	*limits.Limiter
	// lastView is the membership view in which the owners were last counted. Only updateOwners uses it.
	lastView *membership.View
}

// newCustomerLimits returns the limits of a daemon that does not know any other owner yet.
func newCustomerLimits(self model.MachineID, zone model.Zone, incarnation uint64) *customerLimits {
	rng := rand.New(rand.NewPCG(incarnation, uint64(self)))
	return &customerLimits{Limiter: limits.New(limits.Config{Zone: zone, Rand: rng})}
}

// Open counts a new flow, or returns the error kind of the limit that the flow would exceed.
func (l *customerLimits) Open(now time.Time, a core.Admission) errkind.Kind {
	return l.Limiter.Open(now, a.Customer)
}

// section returns the limits section of one round of heartbeats: how much of each limit this daemon's flows use.
func (l *customerLimits) section(now time.Time) wire.Section {
	return wire.Section{ID: wire.SectionLimits, Data: l.Summary(now, nil)}
}

// updateOwners divides the limits among the owners of v if v differs from the last view. Call it at each tick.
func (l *customerLimits) updateOwners(v *membership.View) {
	if v == l.lastView {
		return
	}
	l.lastView = v
	l.SetOwners(ownersOf(v))
}

// ownersOf counts the owners and the published entry VMs in state live for each availability zone.
func ownersOf(v *membership.View) []limits.ZoneOwners {
	var zones []limits.ZoneOwners
	index := make(map[model.Zone]int)
	for _, m := range v.Members() {
		at, known := index[m.Entry.Zone]
		if !known {
			at = len(zones)
			index[m.Entry.Zone] = at
			zones = append(zones, limits.ZoneOwners{Zone: m.Entry.Zone})
		}
		if m.Owner {
			zones[at].Owners.Live++
		}
		if m.Entry.State == model.MachineLive {
			zones[at].Owners.Published++
		}
	}
	return zones
}

// memberChanged discards the usage reported by an owner that restarted or is no longer reachable.
func (l *customerLimits) memberChanged(v *membership.View, change owners.MemberChanged) {
	m, known := v.Member(change.Member.ID)
	if change.Restarted || !known || !m.Reachable {
		l.Forget(change.Member.ID)
	}
}

// zoneChanged discards the usage reported by a zone that became unreachable.
func (l *customerLimits) zoneChanged(change owners.ZoneChanged) {
	if !change.Reachable {
		l.ForgetZone(change.Zone)
	}
}

// handle processes the limits section of a peer's heartbeat.
func (l *customerLimits) handle(now time.Time, from *model.EntryVM, data []byte) errkind.Kind {
	if !l.Handle(now, from.ID, from.Zone, data) {
		return errkind.PeerMalformed
	}
	return errkind.None
}
