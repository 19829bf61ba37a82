// Package logsink writes log lines in the background, so that a slow or blocked output never blocks the code that
// logs.
//
// Invariant: Write returns immediately, whatever the state of the output. Lines that do not fit into the buffer are
// dropped as a whole and counted, and their number is logged.
package logsink
