// Package udpio reads and writes UDP datagrams in batches: over the system's sockets, and over an
// in-memory network for tests.
//
// The system's network uses recvmmsg and sendmmsg with message headers that are allocated once for each
// Conn, so that reading and writing do not allocate. ReadBatch of golang.org/x/net is not used, because it
// allocates the sender's address of every datagram.
//
// Invariant: a Conn behaves the same with and without batched calls and with and without SO_REUSEPORT;
// the fallbacks are only slower.
package udpio
