// Package limits bounds, over the whole fleet and without shared state, how many flows a customer opens
// and holds and how many a target holds.
//
// Each owner counts what it admitted itself, hears with heartbeats what others admitted, and splits what
// is left of a limit evenly among all owners: until its own admissions can have been heard by the
// others, it takes no more than its part of the rest. So all owners together stay within the limit
// while reports are younger than Config.Window.
//
// Invariant: a decision is made at once from local state; nothing is ever delayed.
package limits
