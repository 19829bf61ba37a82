// Package tags decides what a daemon does with each packet on transports that carry a tag in each packet of a flow.
// The tag names the flow's target, so that every daemon can steer the flow and no daemon owns it. Only the first
// packet of a flow needs a decision on where it goes.
//
// Events go in (a packet, a set of published lists, the result of a probe, a tick); verdicts come out. Package
// internal/edge adds the sockets, timers and logs.
//
// Invariant: this package opens no socket, reads no clock and starts no goroutine. The time comes with each event
// and never decreases. The packet methods may be called from any number of goroutines at once; ApplyLists, Tick and
// the calls around resets (reset.go) from one goroutine at a time.
package tags
