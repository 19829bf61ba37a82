// Package flowtrace reconstructs the history of a flow or of a target from the logs of several daemons, and
// counts log events by cause.
//
// Invariant: gaps in the logs are reported, never filled by assumptions. A gap is a number of lines that a
// daemon omitted from its log, or a daemon that has no line in the period.
package flowtrace
