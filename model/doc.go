// Package model holds the objects that the published lists describe: regions, availability zones,
// machines, links, customers, plans, routes, services and targets.
//
// Invariant: a Snapshot and everything reachable from it is immutable once it is built, so that
// any number of goroutines may read it without a lock.
package model
