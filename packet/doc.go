// Package packet decodes and builds the inner packets of the data path: a caller's IPv4 or IPv6
// packet that carries TCP, as found in the payload of an IP-in-UDP datagram.
//
// Options of IPv4 and TCP are not decoded, since no decision depends on them. Of the IPv6 extension
// headers, hop-by-hop and destination options are skipped; a fragment header is reported as
// PacketFragment, and any other extension header as PacketNotTCP.
//
// The TCP checksum is not verified: the endpoint's kernel verifies it, and it covers the addresses and
// ports by which packets are forwarded.
//
// Forwarding decrements the hop limit (DecrementHopLimit). If a target's data address is routed back to
// an entry VM, the packet loops, and no router on the path sees the inner header. The decremented hop
// limit ends the loop as PacketLooping after at most 255 rounds.
//
// Invariant: a packet that decodes without an error kind and is built again from its Meta decodes to
// the same Meta, and decoding a valid packet does not allocate.
package packet
