// Package membership decides which entry VMs are here and which of them own flows.
//
// The published list says which machines may exist; heartbeats say which are here. A machine sends
// a heartbeat to every machine of its zone, and to a few in each other zone, once an interval. Each
// machine judges the silence of the machines of its own zone; judgements travel to the other zones
// as rumours on heartbeats. A zone from which nothing at all is heard counts as unreachable.
//
// A published machine is in one of these states:
//
//	unknown -> alive -> suspect -> dead
//	              ^        |         |
//	              +--------+---------+   (heard, vouched for, or refuted by a higher epoch)
//	alive, suspect -> left               (end of a planned stop)
//
// What is told of a machine is ordered by its incarnation (grows with each start of its process),
// then by its epoch (grows whenever the machine changes what it tells of itself, or refutes a
// judgement), then dead and left outweigh alive. So a judgement of an earlier epoch never beats
// what the machine said later.
//
// A machine that the published list does not name, but whose heartbeats are authentic, is a guest:
// it is remembered for a while, owns nothing, and becomes a member as soon as the list names it.
//
// The package is pure: time and randomness are handed in, and all effects are returned as actions.
//
// Invariant: two Views with the same owners return the same owner for every flow, and a machine
// whose own clock shows a gap above Config.PauseLimit owns nothing in its own View until it has
// heard from its zone again and was declared ready again.
package membership
