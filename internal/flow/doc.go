// Package flow holds what a daemon remembers of flows: the table of the flows that it owns, the
// ordered log of its exceptions, its replicas of the other owners' logs, and a cache of the flows
// whose packets it may send to their targets without passing their owner.
//
// An exception is a flow whose target differs from the default target that every daemon derives
// from the published lists of one generation. Only exceptions need to be replicated to other daemons.
//
// Invariant: a flow's target is set once, when the flow is placed or taken over, and never changes
// while the flow is in the table. A replica only ever shows a state that the owner's log had at one
// of its positions.
package flow
