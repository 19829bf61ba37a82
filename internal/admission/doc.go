// Package admission determines the customer of a caller, the service that it requests, and whether the
// customer's plan allows that service.
//
// Invariants: a Table is immutable; callers and destinations that are in no published list are refused.
package admission
