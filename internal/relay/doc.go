// Package relay is a bare UDP relay: it reads batches of datagrams and writes them to one fixed address
// without looking at them. It is the baseline that the forwarding path is measured against.
//
// Invariant: a relay does the same system calls as the forwarding path and nothing besides.
package relay
