package core

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
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
	// Incarnation tells this run from earlier ones on the machine; it must grow. Required.
	Incarnation uint64
	// Rand is the source of random choices; required. The engine is its only user.
	Rand *rand.Rand
	// Epoch is a time not after the first event; required.
	Epoch time.Time

	// LogInterval is the time between two batches of the log to one peer. A longer one costs fewer
	// bytes, lets young flows hop for longer and risks more exceptions in a crash. Default 500 ms.
	LogInterval time.Duration
	// SettleTime is how long after a change of the owners an owner waits at most for the other logs; until
	// then it leaves flows that it does not know to the daemon that owned them before. Default 30 s.
	SettleTime time.Duration
	// LatePatience is how long, during a partition, packets of a flow that nobody on this side has known
	// from before are sent beyond the partition before this daemon decides. It must exceed the heartbeat interval: a daemon
	// that has not heard of a healing yet would decide on flows that their owners hold. Default 1.5 heartbeat intervals.
	LatePatience time.Duration
	// JoinTime is how long a starting daemon waits at most to hear of every published one before it owns
	// flows. Default 6 s, above the time in which a silent zone is found unreachable.
	JoinTime time.Duration
	// SnapshotInterval is the least time between two requests for the same owner's snapshot. Default 1 s.
	SnapshotInterval time.Duration
	// FleetScope is how many entry VMs the list may hold for the log to go to all of them. In a larger
	// fleet it goes to the own zone and to backups in the next zone. Default 16.
	FleetScope int
	// Backups is the number of daemons of the next zone that take the log in a larger fleet. Default 1.
	Backups int

	// Flow, Seen and Log set how flows are remembered and told.
	Flow flow.Config
	Seen flow.SeenConfig
	Log  flow.LogConfig
	// Members sets failure detection; its Self, Zone, Incarnation and Rand are filled in.
	Members membership.Config
	// Sections returns what other modules add to each regular heartbeat. It may not call the engine.
	// Default: nothing.
	Sections func() []wire.Section
	// Policy chooses the targets of new flows. Default placement.Chosen.
	Policy placement.Policy
	// Limits bounds customers' flows. Default: no bounds.
	Limits Limits
	// Observer is told of flows. Default: nobody.
	Observer Observer
}

const (
	defaultLogInterval      = 500 * time.Millisecond
	defaultSettleTime       = 30 * time.Second
	defaultJoinTime         = 6 * time.Second
	defaultSnapshotInterval = time.Second
	defaultFleetScope       = 16
	defaultBackups          = 1
	// latePatienceBeats is the default of LatePatience in heartbeat intervals: one in which a healing is heard of, and half of
	// one for the way and the next look.
	latePatienceBeats = 1.5
)

// withDefaults fills unset fields.
func (c Config) withDefaults() Config {
	c.LogInterval = cmp.Or(c.LogInterval, defaultLogInterval)
	c.SettleTime = cmp.Or(c.SettleTime, defaultSettleTime)
	c.JoinTime = cmp.Or(c.JoinTime, defaultJoinTime)
	c.LatePatience = cmp.Or(c.LatePatience, c.latePatience())
	c.SnapshotInterval = cmp.Or(c.SnapshotInterval, defaultSnapshotInterval)
	c.FleetScope = cmp.Or(c.FleetScope, defaultFleetScope)
	c.Backups = cmp.Or(c.Backups, defaultBackups)
	c.Flow = c.Flow.Defaults()
	c.Seen = c.Seen.Defaults()
	c.Log = c.Log.Defaults()
	c.Members.Self = c.Self
	c.Members.Zone = c.Zone
	c.Members.Incarnation = c.Incarnation
	c.Members.Rand = c.Rand
	if c.Policy == nil {
		c.Policy = placement.NewChosen(placement.ChosenConfig{})
	}
	if c.Sections == nil {
		c.Sections = func() []wire.Section { return nil }
	}
	if c.Limits == nil {
		c.Limits = noLimits{}
	}
	if c.Observer == nil {
		c.Observer = noObserver{}
	}
	return c
}

// latePatience returns the default of LatePatience.
func (c Config) latePatience() time.Duration {
	beat := c.Members.WithDefaults().HeartbeatInterval
	return time.Duration(latePatienceBeats * float64(beat))
}

// Admission says who opened a flow and for what.
type Admission struct {
	Customer *model.Customer
	Service  *model.Service
}

// Admitter decides who may use what. It belongs to one set of lists and is immutable.
type Admitter interface {
	// Admit returns errkind.None with the customer and the service, or NoSuchService, UnknownCustomer or
	// PlanForbids with those of the two that could be found, else nil.
	Admit(caller netip.Addr, service netip.AddrPort) (*model.Customer, *model.Service, errkind.Kind)
}

// Limits bounds what customers use. It must be safe for concurrent use.
type Limits interface {
	// Open counts a new flow, or returns the kind of the limit that it would exceed.
	Open(now time.Time, a Admission) errkind.Kind
	// TakeOver counts a customer's open flow that another owner admitted. It never refuses.
	TakeOver(now time.Time, c *model.Customer)
	// Close counts the end of a flow that Open or TakeOver has counted, once for each. Only the name of
	// the customer is set.
	Close(now time.Time, c *model.Customer)
}

type noLimits struct{}

func (noLimits) Open(time.Time, Admission) errkind.Kind { return errkind.None }
func (noLimits) TakeOver(time.Time, *model.Customer)    {}
func (noLimits) Close(time.Time, *model.Customer)       {}
