// Package lists reads the three published documents, customers, plans and machines, and builds a
// model.Snapshot from them.
//
// Read functions check one document by itself. Build checks that three documents fit each other: it
// alone can fail because one document is ahead of another.
//
// Invariant: a document or a set of documents is taken whole or not at all; every fault is reported
// with its file, line and key.
package lists
