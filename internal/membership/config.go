package membership

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Config holds the settings of a List. Zero values of the optional fields are replaced by the defaults.
type Config struct {
	// Self is this machine's id. Required.
	Self model.MachineID
	// Zone is this machine's zone. Required, because the published list may not contain the machine yet.
	Zone model.Zone
	// Incarnation distinguishes this process from earlier ones on the machine. Required. See wire.NewIncarnation.
	Incarnation uint64
	// Rand selects witnesses and the receivers in other zones. Required. It must not be shared with other users.
	Rand *rand.Rand

	// HeartbeatInterval is the interval between heartbeats to the same machine of the zone. A longer interval needs
	// less bandwidth but delays failure detection. Default 1 s.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time since the last contact with a machine of the zone after which it is suspected and
	// witnesses are requested to confirm that it is alive. Default 2.2 s: two consecutive heartbeats lost.
	SuspectAfter time.Duration
	// FailedAfter is the time since the last contact after which a machine of the zone has failed if no witness has
	// confirmed it. Default 3 s.
	FailedAfter time.Duration
	// ZoneSuspectAfter is the time since the last contact with any machine of another zone after which some of its
	// machines are probed. Default 3 s.
	ZoneSuspectAfter time.Duration
	// ZoneUnreachableAfter is the time since the last contact with any machine of another zone after which the zone
	// counts as unreachable. Default 5 s.
	ZoneUnreachableAfter time.Duration
	// PauseLimit is the time between two calls of the List above which the process counts as paused. It must be well
	// above the interval of Tick, and below FailedAfter - HeartbeatInterval, so that a paused machine stops making
	// decisions before the others replace it as an owner. Default 1 s.
	PauseLimit time.Duration
	// AloneAfter is how long a machine waits, after its start or a pause, before it owns flows if it receives no
	// heartbeats although the list names other machines. It covers the time during which the lists of the others may
	// not contain this machine yet. Default 10 s.
	AloneAfter time.Duration
	// PeersPerRemoteZone is the number of machines in each other zone that receive a heartbeat per interval. Default 2.
	PeersPerRemoteZone int
	// Witnesses is the number of machines that are requested to confirm that a suspected one is alive. Default 3.
	Witnesses int
	// GossipTransmissions is the number of heartbeats in which each gossip update is sent. Default 4.
	GossipTransmissions int
	// MaxGossipUpdates is the maximum number of gossip updates on one heartbeat, about 13 bytes each. Default 16.
	MaxGossipUpdates int
	// MaxStateUpdates is the maximum number of gossip updates in one reply to a pull. A longer reply is split.
	// Default 80.
	MaxStateUpdates int
	// PullInterval is the minimum time between two pulls of the same zone's state. Default 2 s.
	PullInterval time.Duration
	// MaxUnlisted is the maximum number of remembered machines that are not in the published list. Default 256.
	MaxUnlisted int
}

const (
	defaultHeartbeatInterval    = time.Second
	defaultSuspectAfter         = 2200 * time.Millisecond
	defaultFailedAfter          = 3 * time.Second
	defaultZoneSuspectAfter     = 3 * time.Second
	defaultZoneUnreachableAfter = 5 * time.Second
	defaultPauseLimit           = time.Second
	defaultAloneAfter           = 10 * time.Second
	defaultPeersPerRemoteZone   = 2
	defaultWitnesses            = 3
	defaultGossipTransmissions  = 4
	defaultMaxGossipUpdates     = 16
	defaultMaxStateUpdates      = 80
	defaultPullInterval         = 2 * time.Second
	defaultMaxUnlisted          = 256
)

// ScaledConfig returns a config with the given heartbeat interval, in which all failure detection times keep their
// default proportion to it.
func ScaledConfig(heartbeat time.Duration) Config {
	scaled := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) / float64(defaultHeartbeatInterval) * float64(heartbeat))
	}
	return Config{
		HeartbeatInterval:    heartbeat,
		SuspectAfter:         scaled(defaultSuspectAfter),
		FailedAfter:          scaled(defaultFailedAfter),
		ZoneSuspectAfter:     scaled(defaultZoneSuspectAfter),
		ZoneUnreachableAfter: scaled(defaultZoneUnreachableAfter),
		PauseLimit:           scaled(defaultPauseLimit),
		PullInterval:         scaled(defaultPullInterval),
		AloneAfter:           scaled(defaultAloneAfter),
	}
}

// WithDefaults returns the config with every optional zero value replaced by its default.
func (c Config) WithDefaults() Config {
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, defaultHeartbeatInterval)
	c.SuspectAfter = cmp.Or(c.SuspectAfter, defaultSuspectAfter)
	c.FailedAfter = cmp.Or(c.FailedAfter, defaultFailedAfter)
	c.ZoneSuspectAfter = cmp.Or(c.ZoneSuspectAfter, defaultZoneSuspectAfter)
	c.ZoneUnreachableAfter = cmp.Or(c.ZoneUnreachableAfter, defaultZoneUnreachableAfter)
	c.PauseLimit = cmp.Or(c.PauseLimit, defaultPauseLimit)
	c.AloneAfter = cmp.Or(c.AloneAfter, defaultAloneAfter)
	c.PeersPerRemoteZone = cmp.Or(c.PeersPerRemoteZone, defaultPeersPerRemoteZone)
	c.Witnesses = cmp.Or(c.Witnesses, defaultWitnesses)
	c.GossipTransmissions = cmp.Or(c.GossipTransmissions, defaultGossipTransmissions)
	c.MaxGossipUpdates = cmp.Or(c.MaxGossipUpdates, defaultMaxGossipUpdates)
	c.MaxStateUpdates = cmp.Or(c.MaxStateUpdates, defaultMaxStateUpdates)
	c.PullInterval = cmp.Or(c.PullInterval, defaultPullInterval)
	c.MaxUnlisted = cmp.Or(c.MaxUnlisted, defaultMaxUnlisted)
	return c
}

// Validate returns all errors in a config, joined. The defaults must have been set, see WithDefaults.
func (c Config) Validate() error {
	return errors.Join(
		require(c.Self != 0, "membership: self id is missing"),
		require(c.Zone != model.Zone{}, "membership: zone is missing"),
		require(c.Incarnation != 0, "membership: incarnation is missing"),
		require(c.Rand != nil, "membership: random source is missing"),
		require(c.HeartbeatInterval > 0, "membership: heartbeat interval %v, want above 0", c.HeartbeatInterval),
		require(c.SuspectAfter > c.HeartbeatInterval, "membership: suspect after %v, want above the heartbeat interval %v", c.SuspectAfter, c.HeartbeatInterval),
		require(c.FailedAfter > c.SuspectAfter, "membership: failed after %v, want above suspect after %v", c.FailedAfter, c.SuspectAfter),
		require(c.ZoneSuspectAfter > c.HeartbeatInterval, "membership: zone suspect after %v, want above the heartbeat interval %v", c.ZoneSuspectAfter, c.HeartbeatInterval),
		require(c.ZoneUnreachableAfter > c.ZoneSuspectAfter, "membership: zone unreachable after %v, want above zone suspect after %v", c.ZoneUnreachableAfter, c.ZoneSuspectAfter),
		require(c.PauseLimit > 0 && c.PauseLimit < c.FailedAfter-c.HeartbeatInterval, "membership: pause limit %v, want above 0 and below failed after - heartbeat interval = %v", c.PauseLimit, c.FailedAfter-c.HeartbeatInterval),
		require(c.AloneAfter >= c.FailedAfter, "membership: alone after %v, want failed after %v or more", c.AloneAfter, c.FailedAfter),
		require(c.PeersPerRemoteZone > 0 && c.Witnesses > 0 && c.GossipTransmissions > 0, "membership: peers per remote zone %d, witnesses %d, transmissions per gossip update %d, want above 0", c.PeersPerRemoteZone, c.Witnesses, c.GossipTransmissions),
		require(c.MaxGossipUpdates > 0 && c.MaxStateUpdates > 0 && c.MaxUnlisted > 0, "membership: max gossip updates per heartbeat %d, max gossip updates per pull reply %d, max unlisted machines %d, want above 0", c.MaxGossipUpdates, c.MaxStateUpdates, c.MaxUnlisted),
		require(c.PullInterval > 0, "membership: pull interval %v, want above 0", c.PullInterval),
	)
}

// require returns an error with the formatted text unless ok is true.
func require(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}
