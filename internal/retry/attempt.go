package retry

import (
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Config configures attempts. Zero values select the defaults.
type Config struct {
	// Timeout is the time after which a target that has not answered a SYN is abandoned; default 700 ms.
	Timeout time.Duration
	// Deadline is the time from the caller's first SYN after which no further target is tried; default 3 s.
	Deadline time.Duration
	// MaxTargets is the maximum number of targets tried for one flow, 1 to 4; default 3.
	MaxTargets int
}

// maxTargets is the capacity of an Attempt, in targets.
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

// Action is what the owner of a flow, the daemon that decides on its target, must do after an event.
type Action uint8

// The actions.
const (
	// Forward means that the packet is forwarded.
	Forward Action = iota
	// TryNext means that the SYN is sent to a target that has not been tried. The owner then calls Next, or
	// Exhausted when the policy has no such target.
	TryNext
	// DropAndReset means that the packet comes from a target that the flow does not use: it is dropped and a RST is
	// sent to that target.
	DropAndReset
	// GiveUp means that the flow is refused with errkind.AttemptTimedOut and that a RST is sent to each target
	// that was tried.
	GiveUp
	// Wait means that nothing is to be done.
	Wait
)

// phase is the state of an Attempt.
type phase uint8

const (
	connecting phase = iota
	committed
	failed
)

// Attempt is the state of one connection attempt. It belongs to one flow and is not safe for concurrent use.
type Attempt struct {
	phase      phase
	tried      uint8
	targets    [maxTargets]model.TargetID
	startedAt  time.Time
	lastSentAt time.Time
}

// Start returns an attempt whose SYN is sent to a target at now. fixed must be true when the SYN carries data or
// when the target's answers do not pass through a daemon. The flow then keeps its first target.
func Start(now time.Time, target model.TargetID, fixed bool) Attempt {
	a := Attempt{startedAt: now}
	a.recordTarget(now, target)
	if fixed {
		a.phase = committed
	}
	return a
}

func (a *Attempt) recordTarget(now time.Time, target model.TargetID) {
	a.targets[a.tried] = target
	a.tried++
	a.lastSentAt = now
}

// Target returns the target that was sent the SYN last.
func (a *Attempt) Target() model.TargetID {
	return a.targets[a.tried-1]
}

// Tried returns all targets that were sent the SYN, the current one last. The slice is valid until the attempt
// changes.
func (a *Attempt) Tried() []model.TargetID {
	return a.targets[:a.tried]
}

// Committed reports whether the flow keeps its target.
func (a *Attempt) Committed() bool {
	return a.phase == committed
}

// Next records that the SYN was sent to another target at now. It must be called only after TryNext.
func (a *Attempt) Next(now time.Time, target model.TargetID) {
	if a.phase == connecting && int(a.tried) < maxTargets {
		a.recordTarget(now, target)
	}
}

// Exhausted ends the attempt when there is no target for a TryNext.
func (a *Attempt) Exhausted() Action {
	a.phase = failed
	return GiveUp
}

// HandleCaller handles a packet of the caller. beyondSYN is true for anything but a bare SYN. Such a packet is
// forwarded to the current target, so the flow keeps that target from then on.
func (a *Attempt) HandleCaller(beyondSYN bool) Action {
	if a.phase == failed {
		return Wait
	}
	if beyondSYN {
		a.phase = committed
	}
	return Forward
}

// HandleSynAck handles a SYN-ACK of a target. The first one from the current target commits the flow to it.
func (a *Attempt) HandleSynAck(from model.TargetID) Action {
	if a.phase == failed || from != a.Target() {
		return DropAndReset
	}
	a.phase = committed
	return Forward
}

// HandleReset handles a RST of a target. A RST in answer to the SYN means that the target shed the attempt, which is
// retried on another target if the budget, the deadline and the number of targets allow. Otherwise the RST is
// forwarded to the caller as the target's refusal.
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

// HandleOther handles any other packet of a target. It is forwarded only when the flow is committed to that target.
func (a *Attempt) HandleOther(from model.TargetID) Action {
	if a.phase != committed || from != a.Target() {
		return DropAndReset
	}
	return Forward
}

// Tick abandons a target that has not answered within Config.Timeout. While no retry is allowed the attempt waits,
// and the caller's retransmissions of the SYN go to the same target.
func (a *Attempt) Tick(now time.Time, cfg Config, b *Budget) Action {
	if a.phase != connecting {
		return Wait
	}
	if now.Sub(a.startedAt) >= cfg.Deadline {
		a.phase = failed
		return GiveUp
	}
	if now.Sub(a.lastSentAt) < cfg.Timeout {
		return Wait
	}
	if a.mayRetry(now, cfg) && b.Take() {
		return TryNext
	}
	return Wait
}

// Due returns the time at which Tick must be called next; zero when it need not be called any more.
func (a *Attempt) Due(cfg Config) time.Time {
	if a.phase != connecting {
		return time.Time{}
	}
	deadline := a.startedAt.Add(cfg.Deadline)
	timeout := a.lastSentAt.Add(cfg.Timeout)
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
	return int(a.tried) < cfg.MaxTargets && now.Sub(a.startedAt) < cfg.Deadline
}
