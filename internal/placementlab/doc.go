// Package placementlab compares placement policies in a simulation with virtual time. It simulates the
// owners (daemons that own flows), targets and flows of one service, with the production implementations
// of policies, load tables, health monitors and retry budgets.
//
// Packets and the network are not simulated. A flow consists of an arrival, a target and an end.
//
// Invariant: the result of a run depends only on its Scenario (which contains the seed) and its policy.
package placementlab
