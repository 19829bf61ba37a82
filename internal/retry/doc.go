// Package retry decides when a connection attempt is tried on another target.
//
// Invariant: an attempt moves to another target only while no byte of the conversation has been sent
// to any target and no SYN-ACK has been passed to the caller; afterwards the flow keeps its target.
package retry
