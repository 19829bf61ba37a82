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

	// Readers is the number of daemons in a zone that watch the platform. Default 1.
	Readers int
	// WatchWait is the long-poll timeout of a watch. Default 1.5 s. It bounds the time until a lost response is
	// noticed.
	WatchWait time.Duration
	// Gather is the minimum time from a watch response with changes to the next watch, so that changes in quick
	// succession need one call. Default 300 ms. The first of them is still sent to the other daemons immediately.
	Gather time.Duration
	// Stagger is the delay between the attempts of consecutive daemons to take over from a failed reader.
	// Default 150 ms.
	Stagger time.Duration
	// Listen is the time that a starting daemon waits for gossip from others before it watches the platform.
	// Default 500 ms.
	Listen time.Duration
	// Trust is the age of the replica (time since the platform last confirmed it) above which a daemon watches the
	// platform itself. Default 2.6 s: enough for a watch, a slow response and two heartbeats of a reader, and less
	// than the 3 s within which a change must take effect.
	Trust time.Duration
	// BackoffMin and BackoffMax bound the backoff after a failed call to the platform. Defaults 100 ms and 1 s.
	BackoffMin, BackoffMax time.Duration
	// FailingFor is the time after a failed call during which a daemon gives up its place as a reader to others.
	// Default 5 s.
	FailingFor time.Duration

	// Interval is the heartbeat interval in a small fleet, and of the first daemons of a zone in a large one.
	// Default 300 ms. SlowInterval is that of the other daemons in a large fleet. Default 1 s.
	Interval, SlowInterval time.Duration
	// SmallFleet is the number of daemons up to which every daemon sends to all others. Default 32.
	SmallFleet int
	// Relays is the number of daemons in a zone that exchange heartbeats with other zones in a large fleet. Default 2.
	Relays int
	// Repair is how long the replica may differ from that of another daemon before items are fetched from it.
	// Default 300 ms.
	Repair time.Duration
	// FetchEvery is the minimum time between two fetches from the same daemon. Default 1 s.
	FetchEvery time.Duration
	// AskEvery is the interval between requests for members. Default 2 s.
	AskEvery time.Duration
	// MaxItemBytes is the maximum size of a value or delta in a datagram, in bytes. Default 1000.
	MaxItemBytes int
	// MaxMembers is the maximum number of members in one datagram. Default 60.
	MaxMembers int
}

func (c Config) withDefaults() Config {
	c.Readers = cmp.Or(c.Readers, 1)
	c.WatchWait = cmp.Or(c.WatchWait, 1500*time.Millisecond)
	c.Gather = cmp.Or(c.Gather, 300*time.Millisecond)
	c.Stagger = cmp.Or(c.Stagger, 150*time.Millisecond)
	c.Listen = cmp.Or(c.Listen, 500*time.Millisecond)
	c.Trust = cmp.Or(c.Trust, 2600*time.Millisecond)
	c.BackoffMin = cmp.Or(c.BackoffMin, 100*time.Millisecond)
	c.BackoffMax = cmp.Or(c.BackoffMax, time.Second)
	c.FailingFor = cmp.Or(c.FailingFor, 5*time.Second)
	c.Interval = cmp.Or(c.Interval, 300*time.Millisecond)
	c.SlowInterval = cmp.Or(c.SlowInterval, time.Second)
	c.SmallFleet = cmp.Or(c.SmallFleet, 32)
	c.Relays = cmp.Or(c.Relays, 2)
	c.Repair = cmp.Or(c.Repair, 300*time.Millisecond)
	c.FetchEvery = cmp.Or(c.FetchEvery, time.Second)
	c.AskEvery = cmp.Or(c.AskEvery, 2*time.Second)
	c.MaxItemBytes = cmp.Or(c.MaxItemBytes, 1000)
	c.MaxMembers = cmp.Or(c.MaxMembers, 60)
	return c
}
