package health

import "time"

// Config configures a Monitor. Zero values take the defaults.
type Config struct {
	// Probers is the number of daemons of a zone that probe a target; default 2.
	Probers int
	// Interval is the time between two probes of a target by one daemon; default 1 s.
	Interval time.Duration
	// DownAfter is the number of failed probes in a row after which a prober considers a target down;
	// default 3.
	DownAfter int
	// UpAfter is the number of successful probes in a row after which a prober considers it up again;
	// default 2.
	UpAfter int
	// ProbeLifetime is how long after its latest probe of a target this daemon uses the results of its own
	// probes of that target; default five Intervals.
	ProbeLifetime time.Duration
	// ResultLifetime is the time after which a summary received on a heartbeat is dropped; default 5 s.
	ResultLifetime time.Duration
	// EjectAfterMisses is the number of connection attempts in a row without a response after which a target
	// is ejected; this daemon's attempts and those that other daemons report count together; default 5. A target
	// that was ejected and tried again is ejected after one more.
	EjectAfterMisses int
	// EjectionTime is the time for which a target is ejected because of missed responses; it doubles with each
	// repetition; default 5 s.
	EjectionTime time.Duration
	// MaxEjectionTime is the upper bound of the doubled EjectionTime; default 60 s.
	MaxEjectionTime time.Duration
	// EvidenceLifetime is the time for which a response to one of this daemon's connection attempts
	// outweighs failed probes and the missed responses of other daemons, and for which this daemon's missed
	// responses are reported to other daemons; default 3 s.
	EvidenceLifetime time.Duration
	// MaxEjectedShare is the largest share of a service's targets that may be ejected at once, 0 to 1;
	// default 0.5.
	MaxEjectedShare float64
	// MinShareWhenFull is the share of the connection limit, 0 to 1, below which the fleet's own estimate
	// contradicts a report that a target is full; default 0.5.
	MinShareWhenFull float64
}

// WithDefaults returns the configuration with every zero value replaced by its default.
func (c Config) WithDefaults() Config {
	setInt(&c.Probers, 2)
	setInt(&c.DownAfter, 3)
	setInt(&c.UpAfter, 2)
	setInt(&c.EjectAfterMisses, 5)
	setDuration(&c.Interval, time.Second)
	setDuration(&c.ProbeLifetime, 5*c.Interval)
	setDuration(&c.ResultLifetime, 5*time.Second)
	setDuration(&c.EjectionTime, 5*time.Second)
	setDuration(&c.MaxEjectionTime, time.Minute)
	setDuration(&c.EvidenceLifetime, 3*time.Second)
	if c.MaxEjectedShare <= 0 {
		c.MaxEjectedShare = 0.5
	}
	if c.MinShareWhenFull <= 0 {
		c.MinShareWhenFull = 0.5
	}
	return c
}

func setInt(v *int, value int) {
	if *v <= 0 {
		*v = value
	}
}

func setDuration(v *time.Duration, value time.Duration) {
	if *v <= 0 {
		*v = value
	}
}
