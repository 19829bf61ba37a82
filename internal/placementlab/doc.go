// Package placementlab compares placement policies in virtual time: owners, targets and flows of one
// service, with the product's own policies, load tables, health monitors and retry budgets.
//
// It models no packets and no network. A flow is an arrival, a target and an end.
//
// Invariant: a run depends on its Scenario, policy and seed alone.
package placementlab
