// Package errkind holds the closed list of error kinds of fireflypin and the table from kind to
// answer: what a caller, a peer or an operator is told for each.
//
// Invariant: every kind has exactly one row in the table; a kind without a row fails the package's
// test.
package errkind
