// Package losses counts, from the logs of daemons, the flows that callers lost or had to open again: by cause, second,
// service, route and zone, with an example of each.
//
// Invariant: memory is bounded whatever the length of the logs, and what is left out or cannot be read is counted.
package losses
