// Package bulkpbconnect holds the client and the handler of calls between daemons, generated from
// proto/bulk.proto by scripts/generate.
//
// Invariant: only doc.go is written by hand.
package bulkpbconnect
