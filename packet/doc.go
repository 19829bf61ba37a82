// Package packet decodes and builds the inner packets of the data path: a caller's IPv4 or IPv6
// packet that carries TCP, as found in the payload of an IP-in-UDP datagram.
//
// Options of IPv4 and TCP are left alone, since no decision depends on them. Of the IPv6 extension
// headers, hop-by-hop and destination options are skipped; a fragment header is reported as a
// fragment, any other as another protocol than TCP.
//
// The TCP checksum is not verified: the endpoint's kernel does so, and it covers the addresses and
// ports by which packets are forwarded.
//
// Forwarding lowers the hop limit by one (DecrementHopLimit). A target's data address that leads back
// to an entry VM would otherwise make a packet circle for ever without any router that sees the inner
// header; this way it ends as PacketLooping after at most 255 passes.
//
// Invariant: a packet that decodes without an error kind and is built again from its Meta decodes to
// the same Meta, and decoding a good packet allocates nothing.
package packet
