// Package placement decides which target a flow goes to.
//
// A Table derives every flow's default target and the order of the other targets from the published
// lists alone, by weighted rendezvous hashing. A Policy chooses the target of a new flow: the default,
// or another one when the default is full, leaving, down, cold or ahead of its share.
//
// Invariant: two processes with the same Generation derive the same Default, Order and HomeZones for
// every flow; all arithmetic of the order is integer arithmetic, so this holds across architectures.
package placement
