// Package bulk transfers data between daemons that is too large for datagrams: snapshots of exception logs
// and the bodies of published lists. It uses Connect RPC over TLS. A daemon's exception log lists its flows
// whose target is not their default target.
//
// Client and server authenticate each other with certificates of the daemons' own certificate authority.
// Without TLS files the calls are not encrypted; the settings permit this only on loopback or on a trusted peer
// network.
//
// Invariant: a snapshot is transferred completely or not at all: an interrupted stream returns an error.
package bulk
