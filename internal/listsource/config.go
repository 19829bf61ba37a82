package listsource

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Config configures a Reader.
type Config struct {
	// UsePlatform is false where the lists come from local files and peers alone.
	UsePlatform bool
	// Self is the daemon's own bulk address, which is never asked.
	Self netip.AddrPort
	// Seeds are bulk addresses of daemons that are asked for lists while none are held.
	Seeds []netip.AddrPort
	// Rand is the random source of every jitter; required.
	Rand *rand.Rand
	// WatchWait is how long one watch waits for a change; default 30 s.
	WatchWait time.Duration
	// CallsPerSecond and CallBurst are the daemon's call budget at the platform; default 1 and 6.
	CallsPerSecond float64
	CallBurst      int
	// FleetCallsPerSecond is the rate that all daemons of the list of machines together aim to stay under
	// when a change or a restart makes them call at the same time; default 1000, half of the platform's.
	FleetCallsPerSecond float64
	// Spread is the time over which daemons spread their calls while they hold no list of machines, and
	// their requests to peers; default 250 ms.
	Spread time.Duration
	// BackoffMin and BackoffMax bound the mean wait after a failed call, which doubles with each failure in
	// a row; default 250 ms and 4 s. The wait is jittered between 0 and twice its mean.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// RetryRefused is how soon a list that was refused is read again, since it may have been cut on its
	// way; it doubles up to RetryRefusedMax; default 500 ms and 5 min.
	RetryRefused    time.Duration
	RetryRefusedMax time.Duration
	// PeerDelay is how long the platform gets to deliver a revision that a peer has shown before the peer
	// is asked for it; default 1 s. It is not waited for while the platform does not answer.
	PeerDelay time.Duration
	// StartWait bounds how long a new daemon waits, once it knows peers, for them to show their revisions
	// before it puts lists in force; default 3 s.
	StartWait time.Duration
	// StartPeers is how many peers a new daemon asks; default 3.
	StartPeers int
}

func (c Config) withDefaults() Config {
	c.WatchWait = cmp.Or(c.WatchWait, 30*time.Second)
	c.CallsPerSecond = cmp.Or(c.CallsPerSecond, 1)
	c.CallBurst = cmp.Or(c.CallBurst, 6)
	c.FleetCallsPerSecond = cmp.Or(c.FleetCallsPerSecond, 1000)
	c.Spread = cmp.Or(c.Spread, 250*time.Millisecond)
	c.BackoffMin = cmp.Or(c.BackoffMin, 250*time.Millisecond)
	c.BackoffMax = cmp.Or(c.BackoffMax, 4*time.Second)
	c.RetryRefused = cmp.Or(c.RetryRefused, 500*time.Millisecond)
	c.RetryRefusedMax = cmp.Or(c.RetryRefusedMax, 5*time.Minute)
	c.PeerDelay = cmp.Or(c.PeerDelay, time.Second)
	c.StartWait = cmp.Or(c.StartWait, 3*time.Second)
	c.StartPeers = cmp.Or(c.StartPeers, 3)
	return c
}
