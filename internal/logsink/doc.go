// Package logsink writes log lines without ever blocking their writers.
//
// Invariant: Write returns at once, whatever happens to the output. Lines that the output does not take in time
// are left out whole, counted, and their number is logged.
package logsink
