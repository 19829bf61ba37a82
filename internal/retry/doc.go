// Package retry decides when a connection attempt is retried on another target.
//
// Invariant: an attempt moves to another target only while nothing but bare SYNs has been sent to any target and
// no SYN-ACK has been forwarded to the caller. Afterwards the flow keeps its target.
package retry
