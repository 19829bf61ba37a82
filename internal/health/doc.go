// Package health decides which targets are put aside: from probes that two or three daemons of a
// target's zone make, from their results on heartbeats, and from what this daemon's own flows meet.
//
// Invariant: what a daemon's own connection attempts meet outweighs what a target or a prober says, and
// never more than the panic share of a service's targets is put aside.
package health
