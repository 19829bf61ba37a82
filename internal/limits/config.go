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
	// Rand is the random source of rounding and jitter; required. The Limiter is its only user.
	Rand *rand.Rand
	// Window is the time after which an admission is known to every other owner; default 3 s. A longer one
	// keeps limits exact with slower heartbeats and lets a customer grow more slowly near its limit.
	Window time.Duration
	// Expiry is the age at which a report of another owner is dropped; default 10 s.
	Expiry time.Duration
	// FleetFloor is the least share of the published owners that counts when limits are split, 0 to 1;
	// default 0.5. All parts of a partition together admit at most 1/FleetFloor times a limit.
	FleetFloor float64
	// Leveling is the part of a rate limit that is always split evenly, so that an owner without recent
	// flows is never starved, 0 to 1; default 0.1.
	Leveling float64
	// Burst is the time whose rate may be used up at once; default 1 s.
	Burst time.Duration
	// ReportAbove is the use, as a share of an owner's even part of a limit, from which on it is reported;
	// default 0.05. Use below it is unknown to others: it bounds the overshoot of a healthy fleet.
	ReportAbove float64
	// OwnEntries and ZoneEntries bound the entries of a summary, about 10 bytes each; default 8 and 4.
	OwnEntries  int
	ZoneEntries int
}

func (c Config) withDefaults() Config {
	c.Window = cmp.Or(c.Window, 3*time.Second)
	c.Expiry = cmp.Or(c.Expiry, 10*time.Second)
	c.FleetFloor = cmp.Or(c.FleetFloor, 0.5)
	c.Leveling = cmp.Or(c.Leveling, 0.1)
	c.Burst = cmp.Or(c.Burst, time.Second)
	c.ReportAbove = cmp.Or(c.ReportAbove, 0.05)
	c.OwnEntries = cmp.Or(c.OwnEntries, 8)
	c.ZoneEntries = cmp.Or(c.ZoneEntries, 4)
	return c
}

// Owners counts the daemons that a limit is split among.
type Owners struct {
	// Live are the daemons that can be reached and own flows, the own one included.
	Live int
	// Published are the live entry VMs of the published list.
	Published int
}

func (o Owners) add(other Owners) Owners {
	return Owners{Live: o.Live + other.Live, Published: o.Published + other.Published}
}

// ZoneOwners are the owners of one availability zone.
type ZoneOwners struct {
	Zone   model.Zone
	Owners Owners
}

// share returns the owners that a limit is split among, at least 1: the live ones, but never fewer
// than a fixed part of the published ones.
func (o Owners) share(floor float64) float64 {
	return max(float64(o.Live), floor*float64(o.Published), 1)
}

// part returns the part of a limit, 0 to 1, that belongs to all reachable owners together.
func (o Owners) part(floor float64) float64 {
	return min(1, max(float64(o.Live), 1)/o.share(floor))
}
