package placement

import (
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// WarmupGate limits the flows to targets that warm up and have a published rate. It allows all others.
type WarmupGate interface {
	// MayOffer reports whether this daemon may offer a new flow to the target now.
	MayOffer(now time.Time, t *model.Target) bool
	// Take counts a first packet that is about to be sent to the target, and reports whether it may be sent.
	Take(now time.Time, t *model.Target) bool
}

// UnlimitedWarmup is a WarmupGate that limits nothing.
type UnlimitedWarmup struct{}

// MayOffer implements WarmupGate.
func (UnlimitedWarmup) MayOffer(time.Time, *model.Target) bool { return true }

// Take implements WarmupGate.
func (UnlimitedWarmup) Take(time.Time, *model.Target) bool { return true }

// NextWarm returns the time until the first target that takes new flows has finished warming up, and false if none
// warms up.
func (st *ServiceTable) NextWarm(now time.Time) (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, t := range st.targets {
		if left := t.WarmUntil.Sub(now); left > 0 && !t.Draining && !t.ZoneDraining && (!found || left < next) {
			next, found = left, true
		}
	}
	return next, found
}
