package soak

import "time"

// This file plays the return of the store from an older copy.

const (
	// maxStoreAbsence bounds the time for which the store is away before it returns from a copy, maxCopyAge the age of the
	// copy at the begin of that time.
	maxStoreAbsence = 1500 * time.Millisecond
	maxCopyAge      = 5 * time.Second
	// maxRewriteDelay is the time within which operators and targets write again what the copy lacks (the users' protocol).
	maxRewriteDelay = 2 * time.Second
)

// returnStore makes the store return from a copy after an absence. What is written in between is lost with the rest.
func (h *harness) returnStore(now time.Time, absence time.Duration) {
	absence = min(absence, maxStoreAbsence)
	copied := now.Add(-h.randomUpTo(maxCopyAge))
	for _, e := range h.entries {
		h.disturbStore(now, e, proxyReset, absence)
	}
	h.after(absence, func() {
		h.store.returnFromCopy(copied)
		h.after(h.randomUpTo(maxRewriteDelay), func() { h.store.put(h.dialect.ConfigItem(h.config)) })
		for _, zone := range h.zones {
			h.after(h.randomUpTo(maxRewriteDelay), func() { h.writeZoneDrain(zone) })
		}
		for _, t := range h.targets {
			h.registerAgain(t)
		}
	})
}

// registerAgain lets a target register again after a return of the store, or lets its registration expire if the target
// does not renew it any more.
func (h *harness) registerAgain(t *target) {
	if t.state == targetServing && !t.registrationExpired {
		h.after(h.randomUpTo(maxRewriteDelay), func() {
			if t.state == targetServing && !t.registrationExpired {
				t.register(time.Now())
			}
		})
		return
	}
	h.after(registrationTTL, func() {
		if key, _ := h.dialect.TargetItem(t.entry); h.store.has(key) && (t.state != targetServing || t.registrationExpired) {
			h.store.put(key, nil)
		}
	})
}

// randomUpTo returns a random time below a limit.
func (h *harness) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(h.rand.Int64N(int64(limit)))
}
