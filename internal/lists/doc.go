// Package lists reads the three published documents, customers, plans and machines, and builds a
// model.Snapshot from them.
//
// The Read functions check one document by itself. Build checks that three documents are consistent with
// each other: only Build can fail because one document is newer than another.
//
// Invariant: a document or a set of documents is accepted completely or rejected completely; every error
// is reported with its file, line and key.
package lists
