// Package capacity measures how the cost of the daemon's packages grows with size, fits a line to each
// cost, and computes the cost of each role of a daemon for a given fleet size.
//
// It runs the production packages. Only the network experiments use sockets, on loopback. Times are the
// best of several runs. Memory is the heap that is still in use after a garbage collection.
//
// Invariant: every measured cost in Roles comes from a Slope that was measured in the same run.
package capacity
