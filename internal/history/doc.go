// Package history checks the records that callers and targets keep of one run: which requests ran,
// where, and what each caller was told.
//
// Invariant: Check only reads; the same records always give the same violations in the same order.
package history
