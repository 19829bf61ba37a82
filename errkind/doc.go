// Package errkind holds the closed list of fireflypin's error kinds and the table that assigns to each
// kind its name, its answer to the caller and its meaning for operators.
//
// Invariant: every kind has exactly one row in the table; a kind without a row fails the package's
// test.
package errkind
