// Package daemon runs the process of one entry VM. It connects the decision engine of package core to
// sockets, the clock, the published lists and the peers, and executes the engine's actions and verdicts.
//
// Invariant: this package makes no routing decisions. Each packet is sent exactly as its verdict says, and
// each verdict that drops or refuses a packet is counted by its error kind.
package daemon
