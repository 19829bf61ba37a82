package membership

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Config holds the settings of a List. Zero values of the optional fields stand for the defaults.
type Config struct {
	// Self is this machine's id; required.
	Self model.MachineID
	// Zone is this machine's zone; required, since the published list may not name the machine yet.
	Zone model.Zone
	// Incarnation tells this process from earlier ones on the machine; required, see
	// wire.NewIncarnation.
	Incarnation uint64
	// Rand picks far peers and witnesses; required. The List is its only user.
	Rand *rand.Rand

	// HeartbeatInterval is the time between two heartbeats to the same machine of the zone. A longer
	// one costs fewer bytes and notices a death later. Default 1 s.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence of a machine of the zone after which witnesses are asked for it.
	// Default 2.2 s: two heartbeats lost in a row.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a machine of the zone that nobody vouches for is dead.
	// Default 3 s.
	DeadAfter time.Duration
	// ZoneSuspectAfter is the silence of a whole other zone after which some of its machines are
	// probed. Default 3 s.
	ZoneSuspectAfter time.Duration
	// ZoneDeadAfter is the silence after which a whole other zone counts as unreachable. Default 5 s.
	ZoneDeadAfter time.Duration
	// PauseLimit is the gap between two calls of the List after which the process counts as paused.
	// It must be well above the interval of Tick, and below DeadAfter - HeartbeatInterval, so that a
	// paused machine stops deciding before the others put another in its place. Default 1 s.
	PauseLimit time.Duration
	// AloneAfter is how long a waking machine that hears nobody, though the list names others, waits
	// before it owns flows. It covers the time in which the others' lists may not name this machine
	// yet. Default 10 s.
	AloneAfter time.Duration
	// FarPeers is the number of machines in each other zone that get a heartbeat each interval.
	// Default 2.
	FarPeers int
	// Witnesses is the number of machines that are asked for a suspected one. Default 3.
	Witnesses int
	// RumourCopies is the number of heartbeats that carry a piece of news. Default 4.
	RumourCopies int
	// MaxRumours bounds the rumours on one heartbeat; about 13 bytes each. Default 16.
	MaxRumours int
	// MaxStateRumours bounds the rumours on one answer to a pull; a longer answer is split. Default 80.
	MaxStateRumours int
	// PullInterval is the least time between two pulls of the same zone's state. Default 2 s.
	PullInterval time.Duration
	// MaxGuests bounds the remembered machines that the published list does not name. Default 256.
	MaxGuests int
}

const (
	defaultHeartbeatInterval = time.Second
	defaultSuspectAfter      = 2200 * time.Millisecond
	defaultDeadAfter         = 3 * time.Second
	defaultZoneSuspectAfter  = 3 * time.Second
	defaultZoneDeadAfter     = 5 * time.Second
	defaultPauseLimit        = time.Second
	defaultAloneAfter        = 10 * time.Second
	defaultFarPeers          = 2
	defaultWitnesses         = 3
	defaultRumourCopies      = 4
	defaultMaxRumours        = 16
	defaultMaxStateRumours   = 80
	defaultPullInterval      = 2 * time.Second
	defaultMaxGuests         = 256
)

// Rhythm returns a config in which every time of failure detection keeps its default proportion to the
// heartbeat interval.
func Rhythm(heartbeat time.Duration) Config {
	scaled := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) / float64(defaultHeartbeatInterval) * float64(heartbeat))
	}
	return Config{
		HeartbeatInterval: heartbeat,
		SuspectAfter:      scaled(defaultSuspectAfter),
		DeadAfter:         scaled(defaultDeadAfter),
		ZoneSuspectAfter:  scaled(defaultZoneSuspectAfter),
		ZoneDeadAfter:     scaled(defaultZoneDeadAfter),
		PauseLimit:        scaled(defaultPauseLimit),
		PullInterval:      scaled(defaultPullInterval),
		AloneAfter:        scaled(defaultAloneAfter),
	}
}

// WithDefaults returns the config with every optional zero value replaced by its default.
func (c Config) WithDefaults() Config {
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, defaultHeartbeatInterval)
	c.SuspectAfter = cmp.Or(c.SuspectAfter, defaultSuspectAfter)
	c.DeadAfter = cmp.Or(c.DeadAfter, defaultDeadAfter)
	c.ZoneSuspectAfter = cmp.Or(c.ZoneSuspectAfter, defaultZoneSuspectAfter)
	c.ZoneDeadAfter = cmp.Or(c.ZoneDeadAfter, defaultZoneDeadAfter)
	c.PauseLimit = cmp.Or(c.PauseLimit, defaultPauseLimit)
	c.AloneAfter = cmp.Or(c.AloneAfter, defaultAloneAfter)
	c.FarPeers = cmp.Or(c.FarPeers, defaultFarPeers)
	c.Witnesses = cmp.Or(c.Witnesses, defaultWitnesses)
	c.RumourCopies = cmp.Or(c.RumourCopies, defaultRumourCopies)
	c.MaxRumours = cmp.Or(c.MaxRumours, defaultMaxRumours)
	c.MaxStateRumours = cmp.Or(c.MaxStateRumours, defaultMaxStateRumours)
	c.PullInterval = cmp.Or(c.PullInterval, defaultPullInterval)
	c.MaxGuests = cmp.Or(c.MaxGuests, defaultMaxGuests)
	return c
}

// Validate returns every fault of a config that has its defaults, joined.
func (c Config) Validate() error {
	return errors.Join(
		require(c.Self != 0, "membership: self is missing"),
		require(c.Zone != model.Zone{}, "membership: zone is missing"),
		require(c.Incarnation != 0, "membership: incarnation is missing"),
		require(c.Rand != nil, "membership: random source is missing"),
		require(c.HeartbeatInterval > 0, "membership: heartbeat interval %v, want above 0", c.HeartbeatInterval),
		require(c.SuspectAfter > c.HeartbeatInterval, "membership: suspect after %v, want above the heartbeat interval %v", c.SuspectAfter, c.HeartbeatInterval),
		require(c.DeadAfter > c.SuspectAfter, "membership: dead after %v, want above suspect after %v", c.DeadAfter, c.SuspectAfter),
		require(c.ZoneSuspectAfter > c.HeartbeatInterval, "membership: zone suspect after %v, want above the heartbeat interval %v", c.ZoneSuspectAfter, c.HeartbeatInterval),
		require(c.ZoneDeadAfter > c.ZoneSuspectAfter, "membership: zone dead after %v, want above zone suspect after %v", c.ZoneDeadAfter, c.ZoneSuspectAfter),
		require(c.PauseLimit > 0 && c.PauseLimit < c.DeadAfter-c.HeartbeatInterval, "membership: pause limit %v, want above 0 and below dead after - heartbeat interval = %v", c.PauseLimit, c.DeadAfter-c.HeartbeatInterval),
		require(c.AloneAfter >= c.DeadAfter, "membership: alone after %v, want dead after %v or more", c.AloneAfter, c.DeadAfter),
		require(c.FarPeers > 0 && c.Witnesses > 0 && c.RumourCopies > 0, "membership: far peers %d, witnesses %d, rumour copies %d, want above 0", c.FarPeers, c.Witnesses, c.RumourCopies),
		require(c.MaxRumours > 0 && c.MaxStateRumours > 0 && c.MaxGuests > 0, "membership: max rumours %d, max state rumours %d, max guests %d, want above 0", c.MaxRumours, c.MaxStateRumours, c.MaxGuests),
		require(c.PullInterval > 0, "membership: pull interval %v, want above 0", c.PullInterval),
	)
}

func require(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}
