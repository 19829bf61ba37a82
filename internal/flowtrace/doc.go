// Package flowtrace tells from the logs of several daemons what became of a flow, and counts outcomes.
//
// Invariant: what the logs do not hold is said, not guessed: lines that were left out, and daemons without a log.
package flowtrace
