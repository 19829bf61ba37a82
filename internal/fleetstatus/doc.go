// Package fleetstatus requests the status of daemons over HTTP and summarizes it for operators.
//
// Invariant: it is read-only, and a daemon that does not respond is reported as such, never omitted.
package fleetstatus
