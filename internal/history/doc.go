// Package history checks the records that callers and targets keep during a run: which requests were
// executed, on which target, and which result each caller received.
//
// Invariant: Check does not modify the records. The same records always give the same violations in the
// same order.
package history
