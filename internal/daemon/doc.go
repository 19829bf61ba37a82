// Package daemon runs one entry VM's process: it gives the decision engine of package core its sockets,
// its clock, its lists and its peers, and carries out what the engine decides.
//
// Invariant: no decision is taken here. A packet is sent exactly as its verdict says, and every verdict
// that drops or refuses a packet is counted under its kind.
package daemon
