// Package edge runs the daemon of an entry VM on a transport whose packets carry flow tags.
//
// It connects three decision engines to sockets, timers and logs: tags.Engine decides on packets, news.Engine
// replicates what the platform publishes, and directory.Directory builds the lists in use from it. The interfaces
// Transport, Store, Interpreter and Prober hide the transport's encoding and the platform's service.
//
// The fabric is the set of routers that spread callers' packets over the daemons. They poll each daemon's readiness
// and move its flows to other daemons when it is not ready or does not respond.
//
// Invariant: packets are decided on one immutable set of lists at a time, and only one goroutine replaces it.
package edge
