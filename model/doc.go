// Package model holds the objects of the world that fireflypin balances: regions, availability
// zones, machines, links, customers, plans, services and targets.
//
// Invariant: a Snapshot and everything reachable from it is immutable after it was built, so that
// any number of goroutines may read one without a lock.
package model
