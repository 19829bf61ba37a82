// Package wire encodes, authenticates and decodes the datagrams between daemons.
//
// A datagram is a fixed header, a body and a message authentication code:
//
//	byte  0       version
//	byte  1       key id
//	byte  2       kind; the top bit is set when the code also covers the receiver's id
//	bytes 3-6     sender's model.MachineID
//	bytes 7-14    sender's incarnation
//	bytes 15-22   counter
//	...           body
//	last 16 bytes HMAC-SHA256, truncated, over the receiver's id (when the top bit of the kind is
//	              set), the header and the body
//
// All numbers are big endian. The receiver's id is never sent: a datagram that reaches another
// receiver than the one it was sealed for fails its authentication there.
//
// A freshly started receiver has no replay window yet, so it can be shown a datagram recorded
// before its start. Messages for which that matters carry a proof of freshness of their own: see
// LogBatch.Echo.
//
// Invariant: Open returns errkind.None at most once for a datagram, and only for one that a holder
// of a valid key sealed for this receiver or for anyone.
package wire
