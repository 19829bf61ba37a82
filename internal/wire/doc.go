// Package wire encodes, authenticates and decodes the datagrams between daemons.
//
// A datagram consists of a fixed header, a body and a message authentication code (MAC):
//
//	byte  0       version
//	byte  1       key id
//	byte  2       kind; the top bit is set if the MAC also covers the receiver's id
//	bytes 3-6     sender's model.MachineID, which must be unique among the daemons that hear each other
//	bytes 7-14    sender's incarnation
//	bytes 15-22   counter
//	...           body
//	last 16 bytes truncated HMAC-SHA256 over the receiver's id (if the top bit of the kind is set),
//	              the header and the body
//
// All integers are big endian. The receiver's id is not transmitted: a datagram that reaches a machine
// other than its receiver fails authentication there.
//
// A newly started receiver has no replay window and therefore accepts a replayed datagram that was
// recorded before its start. Messages for which this matters carry their own proof of freshness; see
// LogBatch.EchoedMark.
//
// Invariant: Open returns errkind.None at most once per datagram, and only for a datagram that a holder
// of a valid key sealed for this receiver or for any receiver.
package wire
