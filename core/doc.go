// Package core holds what both ways of steering packets share: the operations on a packet, refusals, and the ports
// to admission and limits. Package owners steers flows by their owners, package tags by the tags in their packets.
//
// Invariant: this package holds no state.
package core
