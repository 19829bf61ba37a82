// Package owners decides what a daemon does with each packet and what it sends to its peers, on transports whose
// packets carry nothing that names the flow's target.
//
// Engine steers flows by owner: each flow is owned by one daemon, which is chosen by rendezvous hashing
// among the live daemons and picks the flow's target. The hashing puts the daemons into an order for each
// flow, its owner order, in which the next daemon takes the flow over if the owner fails or stops. Every
// daemon can compute a flow's default target from the published lists of one generation (one set of
// revisions). An exception is a flow whose target differs from its default one. The owner appends its
// exceptions to its log, which other daemons replicate, so that they can send packets of the flow straight to
// its target instead of forwarding them to the owner. A replica covers a flow if it is known to be newer than
// the first packet of the flow that this daemon forwarded to the owner: if the replica then has no record of
// the flow, the flow has its default target.
//
// When the owners change, each daemon goes through an ownership transition: until it holds the other owners'
// logs in a state newer than the change, it delegates packets of flows that it owns but does not know to the
// flows' previous owners.
//
// Events go in (a packet, a peer's message, a set of published lists, a tick); verdicts and actions come
// out. Package internal/daemon adds the sockets, timers and logs; tests and other programs may drive an
// engine directly.
//
// Invariant: this package opens no socket, reads no clock and starts no goroutine. The time comes with each
// event and never decreases. The packet methods may be called from any number of goroutines at once; Tick,
// HandleLists and HandleSnapshots from one goroutine at a time.
package owners
