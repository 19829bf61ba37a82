// Package limits enforces fleet-wide limits without shared state: the rate of new flows and the number of open
// flows of a customer, and the number of open flows of a target.
//
// A daemon that owns flows is called an owner. Each owner counts the flows that it admitted, receives the counts
// of the other owners with heartbeats, and splits the remainder of a limit evenly among all owners. Until the
// other owners can have received its latest admissions, it admits no more than its part of the remainder. All
// owners together therefore stay within the limit while reports are younger than Config.Window.
//
// Invariant: a decision is made immediately and from local state; no flow is ever delayed.
package limits
