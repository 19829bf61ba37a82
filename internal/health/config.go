package health

import "time"

// Config configures a Monitor. Zero values take the defaults.
type Config struct {
	// Probers is the number of daemons of a zone that probe a target; default 2.
	Probers int
	// Interval is the time between two probes of a target by one daemon; default 1 s.
	Interval time.Duration
	// DownAfter is the number of failed probes in a row after which a prober holds a target to be down;
	// default 3.
	DownAfter int
	// UpAfter is the number of successful probes in a row after which it holds it to be up; default 2.
	UpAfter int
	// ProbeLifetime is the age of the latest own probe of a target from which own probes tell nothing; default five
	// Intervals.
	ProbeLifetime time.Duration
	// ResultLifetime is the age at which a result heard on a heartbeat is forgotten; default 5 s.
	ResultLifetime time.Duration
	// SilentAfter is the number of connection attempts in a row, own ones and those that other daemons
	// tell of, without an answer between them, after which a target is put aside; default 5. Once it was,
	// one more is enough.
	SilentAfter int
	// Hold is the time for which unanswered attempts put a target aside; it doubles with each repetition;
	// default 5 s.
	Hold time.Duration
	// MaxHold bounds the doubled Hold; default 60 s.
	MaxHold time.Duration
	// AnswerLifetime is the time for which an answered connection attempt outweighs failed probes and
	// the misses of other daemons, and for which misses are told to others; default 3 s.
	AnswerLifetime time.Duration
	// PanicShare is the largest share of a service's targets that is put aside, 0 to 1; default 0.5.
	PanicShare float64
	// FullDoubt is the share of the connection limit below which the fleet's own estimate contradicts
	// a report of a full target, 0 to 1; default 0.5.
	FullDoubt float64
}

// WithDefaults returns the configuration with every zero value replaced by its default.
func (c Config) WithDefaults() Config {
	setInt(&c.Probers, 2)
	setInt(&c.DownAfter, 3)
	setInt(&c.UpAfter, 2)
	setInt(&c.SilentAfter, 5)
	setDuration(&c.Interval, time.Second)
	setDuration(&c.ProbeLifetime, 5*c.Interval)
	setDuration(&c.ResultLifetime, 5*time.Second)
	setDuration(&c.Hold, 5*time.Second)
	setDuration(&c.MaxHold, time.Minute)
	setDuration(&c.AnswerLifetime, 3*time.Second)
	if c.PanicShare <= 0 {
		c.PanicShare = 0.5
	}
	if c.FullDoubt <= 0 {
		c.FullDoubt = 0.5
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
