package limits

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Config configures a Limiter.
type Config struct {
	// Zone is the daemon's own availability zone; required.
	Zone model.Zone
	// Rand is the random source for rounding; required. Nothing else may use it, because it is not safe for
	// concurrent use.
	Rand *rand.Rand
	// Window is the time within which every other owner learns of an admission; default 3 s. A longer window
	// tolerates slower heartbeats, but a customer's flows then grow more slowly near a limit.
	Window time.Duration
	// Expiry is the age at which a report of another owner or zone is dropped, and the time for which a limit must
	// be unused before it is forgotten; default 10 s.
	Expiry time.Duration
	// MinOwnerShare is the minimum number of owners that a limit is split among, as a share of the published
	// owners, 0 to 1; default 0.5. During a network partition all sides together therefore admit at most
	// 1/MinOwnerShare times a limit.
	MinOwnerShare float64
	// EvenShare is the share of a rate limit that is always split evenly, 0 to 1; default 0.1. It keeps an owner
	// without recent flows from being starved.
	EvenShare float64
	// Burst is the depth of a rate limit's token bucket, as the time in which its rate fills it; default 1 s.
	Burst time.Duration
	// ReportThreshold is the usage at and above which an owner reports a limit, as a share of the owner's even part
	// of the limit; default 0.05. Other owners don't know of usage below it, so it bounds the overshoot of a
	// healthy fleet.
	ReportThreshold float64
	// OwnEntries and ZoneEntries are the maximum numbers of entries in the two parts of a summary, about 10 bytes
	// each; default 8 and 4.
	OwnEntries  int
	ZoneEntries int
}

func (c Config) withDefaults() Config {
	c.Window = cmp.Or(c.Window, 3*time.Second)
	c.Expiry = cmp.Or(c.Expiry, 10*time.Second)
	c.MinOwnerShare = cmp.Or(c.MinOwnerShare, 0.5)
	c.EvenShare = cmp.Or(c.EvenShare, 0.1)
	c.Burst = cmp.Or(c.Burst, time.Second)
	c.ReportThreshold = cmp.Or(c.ReportThreshold, 0.05)
	c.OwnEntries = cmp.Or(c.OwnEntries, 8)
	c.ZoneEntries = cmp.Or(c.ZoneEntries, 4)
	return c
}

// Owners counts the daemons that a limit is split among.
type Owners struct {
	// Live is the number of reachable daemons that own flows, this one included.
	Live int
	// Published is the number of entry VMs that the published list states as live.
	Published int
}

func (o Owners) add(other Owners) Owners {
	return Owners{Live: o.Live + other.Live, Published: o.Published + other.Published}
}

// ZoneOwners is the number of owners in one availability zone.
type ZoneOwners struct {
	Zone   model.Zone
	Owners Owners
}

// splitCount returns the number of owners that a limit is split among, at least 1: the live ones, but no fewer than
// floor times the published ones.
func (o Owners) splitCount(floor float64) float64 {
	return max(float64(o.Live), floor*float64(o.Published), 1)
}

// reachableShare returns the share of a limit, 0 to 1, that all reachable owners together may use.
func (o Owners) reachableShare(floor float64) float64 {
	return min(1, max(float64(o.Live), 1)/o.splitCount(floor))
}
