package news

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Config holds the settings of an Engine. Zero values are replaced by the defaults.
type Config struct {
	// Self is this daemon. Required.
	Self Member
	// Seeds are the addresses of daemons to request the first members from.
	Seeds []netip.AddrPort
	// Rand is the source of random numbers. Required. It must not be shared with other users.
	Rand *rand.Rand

	// Reports returns what other modules tell the daemons that get this daemon's heartbeats; nil for nothing. At most
	// MaxReportBytes of it are sent. It must not call the engine.
	Reports func(now time.Time) []Report

	// Describe returns what holds depend on in an item; nil if no item is ever held in force when the platform returns
	// from an older copy. It must not call the engine.
	Describe func(Item) Facts

	// Readers is the number of daemons in a zone that watch the platform. Default 1.
	Readers int
	// WatchWait is the long-poll timeout of a watch. Default 1.5 s. It bounds the time until a lost response is
	// noticed.
	WatchWait time.Duration
	// BatchInterval is the minimum time from a watch response with changes to the next watch, so that changes in quick
	// succession need one call. Default 300 ms. The first of them is still sent to the other daemons immediately.
	BatchInterval time.Duration
	// Stagger is the delay between the attempts of consecutive daemons to take over from a failed reader.
	// Default 150 ms.
	Stagger time.Duration
	// StartupWait is the time that a starting daemon waits for gossip from others before it watches the platform.
	// Default 500 ms.
	StartupWait time.Duration
	// MaxAge is the age of the replica (time since the platform last confirmed it) above which a daemon watches the
	// platform itself. Default 2.6 s: enough for a watch, a slow response and two heartbeats of a reader, and less
	// than the 3 s within which a change must take effect.
	MaxAge time.Duration
	// BackoffMin and BackoffMax bound the backoff after a failed call to the platform. Defaults 100 ms and 1 s.
	BackoffMin, BackoffMax time.Duration
	// FailureWindow is the time after a failed call during which a daemon gives up its place as a reader to others.
	// Default 5 s.
	FailureWindow time.Duration

	// HeartbeatInterval is the heartbeat interval in a small fleet, and of the first daemons of a zone in a large one.
	// Default 300 ms. SlowHeartbeatInterval is that of the other daemons in a large fleet. Default 1 s.
	HeartbeatInterval, SlowHeartbeatInterval time.Duration
	// SmallFleetSize is the number of daemons up to which every daemon sends to all others. Default 32.
	SmallFleetSize int
	// Relays is the number of daemons in a zone that exchange heartbeats with other zones in a large fleet. Default 2.
	Relays int
	// RepairDelay is how long the replica may differ from that of another daemon before items are fetched from it.
	// Default 300 ms.
	RepairDelay time.Duration
	// FetchInterval is the minimum time between two fetches from the same daemon. Default 1 s.
	FetchInterval time.Duration
	// MemberRequestInterval is the interval between requests for members. Default 2 s.
	MemberRequestInterval time.Duration
	// MaxItemBytes is the maximum size of a value or delta in a datagram, in bytes. Default 1000.
	MaxItemBytes int
	// MaxReportBytes is the maximum size of the reports in a heartbeat, in bytes. Default 480. Further ones are left out.
	MaxReportBytes int
	// MaxMembers is the maximum number of members in one datagram. Default 60.
	MaxMembers int
}

func (c Config) withDefaults() Config {
	c.Readers = cmp.Or(c.Readers, 1)
	c.WatchWait = cmp.Or(c.WatchWait, 1500*time.Millisecond)
	c.BatchInterval = cmp.Or(c.BatchInterval, 300*time.Millisecond)
	c.Stagger = cmp.Or(c.Stagger, 150*time.Millisecond)
	c.StartupWait = cmp.Or(c.StartupWait, 500*time.Millisecond)
	c.MaxAge = cmp.Or(c.MaxAge, 2600*time.Millisecond)
	c.BackoffMin = cmp.Or(c.BackoffMin, 100*time.Millisecond)
	c.BackoffMax = cmp.Or(c.BackoffMax, time.Second)
	c.FailureWindow = cmp.Or(c.FailureWindow, 5*time.Second)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, 300*time.Millisecond)
	c.SlowHeartbeatInterval = cmp.Or(c.SlowHeartbeatInterval, time.Second)
	c.SmallFleetSize = cmp.Or(c.SmallFleetSize, 32)
	c.Relays = cmp.Or(c.Relays, 2)
	c.RepairDelay = cmp.Or(c.RepairDelay, 300*time.Millisecond)
	c.FetchInterval = cmp.Or(c.FetchInterval, time.Second)
	c.MemberRequestInterval = cmp.Or(c.MemberRequestInterval, 2*time.Second)
	c.MaxItemBytes = cmp.Or(c.MaxItemBytes, 1000)
	c.MaxReportBytes = cmp.Or(c.MaxReportBytes, 480)
	c.MaxMembers = cmp.Or(c.MaxMembers, 60)
	return c
}
