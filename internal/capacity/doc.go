// Package capacity measures how the cost of the product's own packages grows with size, fits lines to
// it, and works out each role of a daemon at a given size of the fleet.
//
// It runs the real packages, without sockets. Times are the best of several runs; memory is the heap
// that is still in use after a collection.
//
// Invariant: every figure of a Role comes from a Slope that was measured in the same run.
package capacity
