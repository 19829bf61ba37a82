//go:build review

// Command standin plays everything around fireflypind for the cases of review/: the platform's store, targets, callers
// and the operator. It starts the daemons as processes and judges by what callers, targets and the store see.
//
// It follows the users' published protocol and shares no code with the daemon, except for the hash that orders the
// daemons of a zone. It is built by review/build.sh only.
package main
