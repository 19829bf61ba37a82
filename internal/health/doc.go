// Package health decides which targets are ejected, that is, temporarily receive no new flows. It uses
// the probes that two or three daemons of a target's zone make, the results that daemons report to each
// other on heartbeats, and the outcome of this daemon's own connection attempts.
//
// Invariant: the outcome of a daemon's own connection attempts outweighs what a target or a prober
// reports, and never more than Config.MaxEjectedShare of a service's targets are ejected.
package health
