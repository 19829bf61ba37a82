// Package explain computes how a daemon with a given set of published lists would handle a flow.
//
// Invariant: it uses the same tables as a daemon, so its answer is the daemon's decision as long as no
// limit is reached, no target is overloaded and none has failed.
package explain
