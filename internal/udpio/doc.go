// Package udpio reads and writes UDP datagrams in batches: over the system's sockets, and over an
// in-memory network for tests.
//
// The system's network uses recvmmsg and sendmmsg with message headers that are built once for each
// Conn, so that no datagram costs an allocation. ReadBatch of golang.org/x/net allocates the sender's
// address of every datagram, which is why it is not used here.
//
// Invariant: a Conn behaves alike with and without batched calls and with and without SO_REUSEPORT;
// a fallback costs speed only.
package udpio
