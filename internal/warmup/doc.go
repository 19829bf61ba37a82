// Package warmup decides whether this daemon may offer a new flow to a target that warms up.
//
// Invariant: in any second, at most rate x overage + slack first packets reach a target that warms up and has a
// published rate, summed over all daemons. Two daemons of the target's availability zone, its users, may use it, each
// up to a third of that number. The remaining third covers one daemon more that counts itself among the users.
//
// The users are the first two in the target's rendezvous order over the daemons that a daemon knows, live or not. Two
// daemons that know each other therefore agree on who precedes whom, whatever else they know, and neither a failure nor a
// cut makes another daemon a user until the failed daemon is forgotten. docs/design/warming-targets.md states the
// assumptions.
//
// No socket, clock or goroutine: events are passed in with their time.
package warmup
