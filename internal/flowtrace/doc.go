// Package flowtrace reconstructs the history of a flow or of a target from the logs of several daemons, and
// counts log events by cause.
//
// Invariant: gaps are reported, never filled by guesses: lines that a daemon left out of its log, and
// daemons that have no lines in the period.
package flowtrace
