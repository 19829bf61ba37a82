package retry

import (
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Config configures attempts. Zero values take the defaults.
type Config struct {
	// Timeout is the time after which a target that has not answered a SYN is given up; default 700 ms.
	Timeout time.Duration
	// Deadline is the time from the caller's first SYN after which no further target is tried; default 3 s.
	Deadline time.Duration
	// MaxTargets bounds the targets tried for one flow, 1 to 4; default 3.
	MaxTargets int
}

// maxTargets is the number of targets that an Attempt has room for.
const maxTargets = 4

// WithDefaults returns the configuration with every zero value replaced by its default.
func (c Config) WithDefaults() Config {
	if c.Timeout <= 0 {
		c.Timeout = 700 * time.Millisecond
	}
	if c.Deadline <= 0 {
		c.Deadline = 3 * time.Second
	}
	if c.MaxTargets <= 0 {
		c.MaxTargets = 3
	}
	c.MaxTargets = min(c.MaxTargets, maxTargets)
	return c
}

// Action is what the owner of a flow does after an event.
type Action uint8

// The actions.
const (
	// Forward passes the packet on.
	Forward Action = iota
	// TryNext sends the SYN to a target that was not tried; the owner reports it with Next, or calls
	// Exhausted when the policy has none.
	TryNext
	// DropAndReset drops an answer of a target that was given up and resets that target.
	DropAndReset
	// GiveUp refuses the flow with errkind.AttemptTimedOut and resets the targets tried.
	GiveUp
	// Wait does nothing.
	Wait
)

// phase is the state of an Attempt.
type phase uint8

const (
	connecting phase = iota
	committed
	failed
)

// Attempt is the timeline of one connection attempt. It belongs to one flow and has no lock.
type Attempt struct {
	phase   phase
	tried   uint8
	targets [maxTargets]model.TargetID
	startAt time.Time
	sentAt  time.Time
}

// Start begins an attempt whose SYN goes to a target at now. fixed is true when the SYN carries data
// or when the answers do not come back through a daemon: then the flow keeps its first target.
func Start(now time.Time, target model.TargetID, fixed bool) Attempt {
	a := Attempt{startAt: now}
	a.add(now, target)
	if fixed {
		a.phase = committed
	}
	return a
}

func (a *Attempt) add(now time.Time, target model.TargetID) {
	a.targets[a.tried] = target
	a.tried++
	a.sentAt = now
}

// Target returns the target that the attempt is on.
func (a *Attempt) Target() model.TargetID {
	return a.targets[a.tried-1]
}

// Tried returns all targets that were sent a SYN, the current one last. The slice is valid until the
// attempt changes.
func (a *Attempt) Tried() []model.TargetID {
	return a.targets[:a.tried]
}

// Committed reports whether the flow keeps its target.
func (a *Attempt) Committed() bool {
	return a.phase == committed
}

// Next notes that the SYN went to another target at now. It follows TryNext.
func (a *Attempt) Next(now time.Time, target model.TargetID) {
	if a.phase == connecting && int(a.tried) < maxTargets {
		a.add(now, target)
	}
}

// Exhausted ends the attempt after a TryNext for which there was no target.
func (a *Attempt) Exhausted() Action {
	a.phase = failed
	return GiveUp
}

// HandleCaller takes a packet of the caller. carriesMore is true for anything but a bare SYN: it means
// that the conversation goes on, so the target is kept from here.
func (a *Attempt) HandleCaller(carriesMore bool) Action {
	if a.phase == failed {
		return Wait
	}
	if carriesMore {
		a.phase = committed
	}
	return Forward
}

// HandleSynAck takes a SYN-ACK of a target. The first one of the current target commits the flow.
func (a *Attempt) HandleSynAck(from model.TargetID) Action {
	if a.phase == failed || from != a.Target() {
		return DropAndReset
	}
	a.phase = committed
	return Forward
}

// HandleReset takes a RST that a target sent. One that answers the SYN is a shed attempt, which is
// tried elsewhere when the budget, the deadline and the number of targets allow; otherwise the RST is
// passed on, since it is the target's own refusal.
func (a *Attempt) HandleReset(now time.Time, from model.TargetID, cfg Config, b *Budget) Action {
	if from != a.Target() {
		return Wait
	}
	if a.phase != connecting {
		return Forward
	}
	if a.mayRetry(now, cfg) && b.Take() {
		return TryNext
	}
	a.phase = failed
	return Forward
}

// HandleOther takes any other packet of a target: passed on only from the target that the flow has.
func (a *Attempt) HandleOther(from model.TargetID) Action {
	if a.phase != committed || from != a.Target() {
		return DropAndReset
	}
	return Forward
}

// Tick gives up a target that has not answered in time. While the budget allows no retry the attempt
// waits: the caller's own retransmission goes to the same target.
func (a *Attempt) Tick(now time.Time, cfg Config, b *Budget) Action {
	if a.phase != connecting {
		return Wait
	}
	if now.Sub(a.startAt) >= cfg.Deadline {
		a.phase = failed
		return GiveUp
	}
	if now.Sub(a.sentAt) < cfg.Timeout {
		return Wait
	}
	if a.mayRetry(now, cfg) && b.Take() {
		return TryNext
	}
	return Wait
}

// Due returns the time of the next Tick that may do something; zero when there is none.
func (a *Attempt) Due(cfg Config) time.Time {
	if a.phase != connecting {
		return time.Time{}
	}
	deadline := a.startAt.Add(cfg.Deadline)
	timeout := a.sentAt.Add(cfg.Timeout)
	if int(a.tried) < cfg.MaxTargets && timeout.Before(deadline) {
		return timeout
	}
	return deadline
}

// WasTried reports whether a target was sent the SYN.
func (a *Attempt) WasTried(target model.TargetID) bool {
	return slices.Contains(a.Tried(), target)
}

func (a *Attempt) mayRetry(now time.Time, cfg Config) bool {
	return int(a.tried) < cfg.MaxTargets && now.Sub(a.startAt) < cfg.Deadline
}
