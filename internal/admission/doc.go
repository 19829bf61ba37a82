// Package admission decides which customer a caller is, which service it asks for and whether the
// customer's plan allows it.
//
// Invariant: a Table is immutable; what no list names is refused.
package admission
