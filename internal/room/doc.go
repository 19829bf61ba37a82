// Package room decides which new flows a service takes while its targets cannot serve all requests.
//
// A Gate learns from the events of flows how many requests each availability zone's targets bear, and admits new flows
// up to that number: the more important first, then in turn between callers. The others wait for a moment or are
// refused before a target has received a packet of them. Each daemon goes by its own flows.
//
// Invariant: a gate never affects an open flow, and while no zone of a service is short it admits every flow. It holds
// state in memory only; events carry their time, and the package uses no clock, socket or goroutine.
package room
