package owners

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// Config holds the settings of an Engine.
type Config struct {
	// Self is this daemon's machine; required.
	Self model.MachineID
	// Zone is this daemon's availability zone; required.
	Zone model.Zone
	// Incarnation distinguishes this run from earlier ones on the same machine and must increase from run to
	// run. Required.
	Incarnation uint64
	// Rand is the source of random choices; required. Only the engine may use it.
	Rand *rand.Rand
	// Epoch is a time no later than the first event; required.
	Epoch time.Time

	// LogInterval is the time between two log batches to one peer. A longer interval sends fewer bytes, but
	// packets of new flows are forwarded for longer and a crash loses more exceptions (flows whose target is
	// not their default one). Default 500 ms.
	LogInterval time.Duration
	// TransitionTimeout is how long an owner waits at most for the other owners' logs after a change of the owners.
	// During that time it delegates flows that it does not know to their previous owner. Default 30 s.
	TransitionTimeout time.Duration
	// DeferTimeout is how long, during a partition, packets of a flow that no daemon on this side knew
	// before the partition are sent to the unreachable side before this daemon decides on the flow
	// itself. It must exceed the heartbeat interval: a daemon that does not know yet that the partition has
	// healed would otherwise decide on flows that their owners hold. Default 1.5 heartbeat intervals.
	DeferTimeout time.Duration
	// JoinTimeout is how long a starting daemon waits at most for contact with every published daemon before it
	// owns flows. It should exceed the time in which an unresponsive zone is detected as unreachable.
	// Default 6 s.
	JoinTimeout time.Duration
	// SnapshotInterval is the minimum time between two requests for the same owner's snapshot. Default 1 s.
	SnapshotInterval time.Duration
	// FullReplicationMax is the number of listed entry VMs up to which an owner's log is replicated to all
	// of them. In a larger fleet it is replicated to the owner's zone and to the backups in the next zone.
	// Default 16.
	FullReplicationMax int
	// Backups is the number of daemons in the next zone that replicate the log in a larger fleet. Default 1.
	Backups int

	// Flow, FlowCache and Log configure the table of owned flows, the cache of other owners' flows and the log of
	// exceptions.
	Flow      flow.Config
	FlowCache flow.CacheConfig
	Log       flow.LogConfig
	// Members configures failure detection; its Self, Zone, Incarnation and Rand are filled in.
	Members membership.Config
	// Sections returns the sections that other modules add to each regular heartbeat. It must not call the
	// engine. Default: none.
	Sections func() []wire.Section
	// Policy chooses the targets of new flows. Default placement.LoadAware.
	Policy placement.Policy
	// Limits enforces customers' limits on flows. Default: no limits.
	Limits core.Limits
	// Observer is notified of flow events. Default: none.
	Observer Observer
}

const (
	defaultLogInterval        = 500 * time.Millisecond
	defaultTransitionTimeout  = 30 * time.Second
	defaultJoinTimeout        = 6 * time.Second
	defaultSnapshotInterval   = time.Second
	defaultFullReplicationMax = 16
	defaultBackups            = 1
	// defaultDeferHeartbeats is the default of DeferTimeout in heartbeat intervals: one interval until a
	// healed partition is noticed, and half of one for the transit time and the next check.
	defaultDeferHeartbeats = 1.5
)

// withDefaults fills unset fields.
func (c Config) withDefaults() Config {
	c.LogInterval = cmp.Or(c.LogInterval, defaultLogInterval)
	c.TransitionTimeout = cmp.Or(c.TransitionTimeout, defaultTransitionTimeout)
	c.JoinTimeout = cmp.Or(c.JoinTimeout, defaultJoinTimeout)
	c.DeferTimeout = cmp.Or(c.DeferTimeout, c.defaultDeferTimeout())
	c.SnapshotInterval = cmp.Or(c.SnapshotInterval, defaultSnapshotInterval)
	c.FullReplicationMax = cmp.Or(c.FullReplicationMax, defaultFullReplicationMax)
	c.Backups = cmp.Or(c.Backups, defaultBackups)
	c.Flow = c.Flow.Defaults()
	c.FlowCache = c.FlowCache.Defaults()
	c.Log = c.Log.Defaults()
	c.Members.Self = c.Self
	c.Members.Zone = c.Zone
	c.Members.Incarnation = c.Incarnation
	c.Members.Rand = c.Rand
	if c.Policy == nil {
		c.Policy = placement.NewLoadAware(placement.LoadAwareConfig{})
	}
	if c.Sections == nil {
		c.Sections = func() []wire.Section { return nil }
	}
	if c.Limits == nil {
		c.Limits = core.NoLimits{}
	}
	if c.Observer == nil {
		c.Observer = noObserver{}
	}
	return c
}

// defaultDeferTimeout returns the default of DeferTimeout.
func (c Config) defaultDeferTimeout() time.Duration {
	interval := c.Members.WithDefaults().HeartbeatInterval
	return time.Duration(defaultDeferHeartbeats * float64(interval))
}
