// Package relay implements a minimal UDP relay: it reads batches of datagrams and sends them to one fixed
// address without inspecting them. It is the baseline for measurements of the daemon's forwarding path.
//
// Invariant: a relay makes the same system calls as the forwarding path and does no other work.
package relay
