// Package explain tells how a set of lists treats a flow.
//
// Invariant: it uses the same tables as a daemon, so that its answer is the daemon's decision before
// limits, loads and failures.
package explain
