// Package outage knows since when the daemons of a fleet have been able to place flows, and so which flows' first SYNs
// were sent while none of them was. Their duplicates may be placed by any daemon, as no target was offered the flow.
//
// Invariant: a SYN counts as sent during an outage only if every daemon that was heard since this one's start, and this
// daemon itself, became able to place flows later than that.
package outage
