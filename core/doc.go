// Package core decides what becomes of every packet of a daemon, and what the daemon tells its peers.
//
// Engine is the whole decision maker: events go in (a packet, a peer's message, a set of published
// lists, a tick), verdicts and actions come out. Package internal/daemon wraps it in sockets, timers
// and logs; tests and other programs may drive it directly.
//
// Invariant: nothing in here opens a socket, reads a clock or starts a goroutine. The time comes with
// each event and never goes back. Packet methods may be called from any number of goroutines at once;
// Tick, HandleLists and HandleSnapshots from one goroutine at a time.
package core
