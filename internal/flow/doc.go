// Package flow holds what a daemon remembers of flows: the table of the flows that it owns, the
// ordered log of its exceptions, its copies of the other owners' logs, and the cache of flows whose
// way is already known.
//
// An exception is a flow whose target differs from the default target that every daemon derives
// from the published lists of one generation. Only exceptions need to be told to other daemons.
//
// Invariant: a flow's target is set once, when the flow is placed or adopted, and never changes
// while the flow is in the table. Copies only ever show a state that the owner's log had at one of
// its positions.
package flow
