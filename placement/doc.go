// Package placement selects the target of a flow. The daemon that places a flow is the flow's owner; "this owner" is
// the daemon that the code runs in, and the fleet is all owners together.
//
// A Table derives each flow's default target and the order of its other targets from the published lists
// alone, by weighted rendezvous hashing. A Policy chooses the target of a new flow: the default target, or
// another one when the default is at its connection limit, draining, down, still warming up or loaded above
// its share.
//
// Invariant: two processes with the same Generation derive the same Default, Order and ZoneOrder for
// every flow. The order is computed in integer arithmetic only, so this holds across architectures.
package placement
