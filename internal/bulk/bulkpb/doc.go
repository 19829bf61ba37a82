// Package bulkpb holds the messages of calls between daemons, generated from proto/bulk.proto by
// scripts/generate.
//
// Invariant: only doc.go is written by hand.
package bulkpb
