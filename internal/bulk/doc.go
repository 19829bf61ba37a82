// Package bulk carries what is too large for datagrams between daemons: the state of exception logs and
// the texts of published lists, by connect calls over TLS.
//
// Both sides show a certificate of the daemons' own authority. Without TLS files the calls go in the
// clear, which the settings allow on loopback alone.
//
// Invariant: a log's state is handed on whole or not at all: a stream that breaks yields an error.
package bulk
