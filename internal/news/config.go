package news

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Config holds the settings of an Engine. Zero values take the defaults.
type Config struct {
	// Self is this daemon; required.
	Self Member
	// Seeds are daemons that may know others.
	Seeds []netip.AddrPort
	// Rand is the source of random choices; required. The engine is its only user.
	Rand *rand.Rand

	// Readers is the number of daemons of a zone that watch the platform; default 1.
	Readers int
	// WatchWait is how long a watch waits for a change; default 1.5 s. It bounds how long an answer that was
	// lost on its way goes unnoticed.
	WatchWait time.Duration
	// Gather is the least time from an answer with changes to the next watch, so that changes that come
	// together cost one call; default 300 ms. The first of them is told at once.
	Gather time.Duration
	// Stagger is the time between the tries of two daemons that could take over from the same reader; default 150 ms.
	Stagger time.Duration
	// Listen is how long a daemon that starts listens for others before it watches; default 500 ms.
	Listen time.Duration
	// Trust is the age of the copy from which a daemon reads for itself; default 2.6 s: a watch, a slow answer and two
	// heartbeats of a reader, and less than the 3 s in which a change must be in force.
	Trust time.Duration
	// BackoffMin and BackoffMax bound the wait after a failed call; defaults 100 ms and 1 s.
	BackoffMin, BackoffMax time.Duration
	// FailingFor is how long after a failed call a daemon leaves reading to others; default 5 s.
	FailingFor time.Duration

	// Interval is the time between two heartbeats of a small fleet and of the first daemons of a zone;
	// default 300 ms. SlowInterval is that of the others in a large fleet; default 1 s.
	Interval, SlowInterval time.Duration
	// SmallFleet is the number of daemons up to which all send to all; default 32.
	SmallFleet int
	// Relays is the number of daemons of a zone that speak with other zones in a large fleet; default 2.
	Relays int
	// Repair is how long a copy may differ from another before its items are fetched; default 300 ms.
	Repair time.Duration
	// FetchEvery is the least time between two fetches from one daemon; default 1 s.
	FetchEvery time.Duration
	// AskEvery is the time between two questions for members; default 2 s.
	AskEvery time.Duration
	// MaxItemBytes is the size of the largest value that goes in a datagram; default 1000.
	MaxItemBytes int
	// MaxMembers bounds the members that one datagram names; default 60.
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
