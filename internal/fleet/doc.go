// Package fleet runs the software of a scenario's entry VMs in the current process: the daemons, or one of
// two baselines.
//
// Invariant: a member communicates with the stand-ins only through its sockets and HTTP calls, as a
// separate process would.
package fleet
