package listsource

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Config configures a Reader.
type Config struct {
	// UsePlatform is false if the lists come only from local files and peers.
	UsePlatform bool
	// Self is the daemon's own bulk address. No request is sent to it.
	Self netip.AddrPort
	// Seeds are the bulk addresses of daemons from which the digests of lists are requested at the start.
	Seeds []netip.AddrPort
	// Rand is the random source for all jitter; required.
	Rand *rand.Rand
	// WatchWait is the longest time that one watch waits for a change. Default 30 s.
	WatchWait time.Duration
	// CallsPerSecond and CallBurst are the daemon's budget of calls to the platform: the sustained rate and
	// the burst size. Default 1 and 6.
	CallsPerSecond float64
	CallBurst      int
	// FleetCallsPerSecond is the upper limit that all daemons in the list of machines together aim for when a
	// change or a restart makes them call the platform at the same time. Default 1000, half of the platform's
	// limit.
	FleetCallsPerSecond float64
	// Spread is the time over which daemons spread their calls while they have no list of machines, and
	// their requests to peers. Default 250 ms.
	Spread time.Duration
	// BackoffMin and BackoffMax are the limits of the mean delay after a failed call. The mean doubles with
	// each consecutive failure, and the delay is jittered between 0 and twice the mean. Default 250 ms and 4 s.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// RetryRejected is the delay before a rejected list is read again, because the list may have been
	// truncated in transit. It doubles with each rejection up to RetryRejectedMax. Default 500 ms and 5 min.
	RetryRejected    time.Duration
	RetryRejectedMax time.Duration
	// PeerDelay is the time that the platform has to deliver a revision reported by a peer before the list
	// is requested from the peer. It is skipped while the platform is unreachable. Default 1 s.
	PeerDelay time.Duration
	// StartWait is the longest time that a new daemon, once it has a list of machines, waits for peers to
	// report their revisions before it activates lists. Default 3 s.
	StartWait time.Duration
	// StartPeers is the maximum number of seeds, and then of daemons in the list of machines, whose digests a
	// new daemon requests. Default 3.
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
	c.RetryRejected = cmp.Or(c.RetryRejected, 500*time.Millisecond)
	c.RetryRejectedMax = cmp.Or(c.RetryRejectedMax, 5*time.Minute)
	c.PeerDelay = cmp.Or(c.PeerDelay, time.Second)
	c.StartWait = cmp.Or(c.StartWait, 3*time.Second)
	c.StartPeers = cmp.Or(c.StartPeers, 3)
	return c
}
