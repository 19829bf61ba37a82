// Package fleet runs what stands on the entry VMs of a scenario in this process: the daemons, or one
// of two baselines.
//
// Invariant: a member talks to the stand-ins through its sockets and HTTP calls only, as a process of
// its own would.
package fleet
