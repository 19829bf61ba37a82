// Package membership detects which entry VMs (machines) of the fleet are reachable, and determines which of them own
// flows. It is a gossip protocol with suspicion and refutation, similar to SWIM.
//
// The published list names the machines that may exist. Heartbeats show which of them are running. Once per interval
// a machine sends a heartbeat to every machine of its zone and to a few machines of each other zone. Each machine
// detects failures of the machines in its own zone. State changes spread to the other zones as gossip updates on
// heartbeats. A zone from which no heartbeat at all is received counts as unreachable.
//
// A published machine is in one of these states:
//
//	unknown -> alive -> suspect -> failed
//	              ^        |          |
//	              +--------+----------+   (heartbeat received, confirmed by a witness, or refuted with a higher epoch)
//	alive, suspect -> left               (end of a planned stop)
//
// Reports about a machine are ordered by its incarnation, which increases with each start of its process, then by its
// epoch, which increases whenever the machine changes its own state or refutes a report. At the same incarnation and
// epoch, failed and left take precedence over alive. A report with an earlier epoch therefore never overrides what the
// machine reported later.
//
// A machine that is not in the published list, but whose heartbeats are authentic, is an unlisted machine. It is
// remembered for a limited time, owns no flows, and becomes a member as soon as the list contains it.
//
// The package has no side effects: time and randomness are passed in, and all effects are returned as actions.
//
// Invariant: two Views with the same owners return the same owner for every flow. A machine whose own clock shows a
// gap above Config.PauseLimit owns nothing in its own View until it has received heartbeats from its zone again and
// SetReady has been called again.
package membership
