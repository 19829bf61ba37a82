// Package fleetstatus asks daemons for their status over HTTP and sums it up for operators.
//
// Invariant: it only reads; a daemon that does not answer is shown as such and never left out.
package fleetstatus
