// Package listsource obtains the published lists from the platform's service, from peers or from local
// files, and decides which set of lists is active.
//
// Reader makes all decisions. It receives events with their time and returns actions, and uses no sockets,
// clock or goroutines. Client executes the actions.
//
// Invariant: the version of an active list never decreases and is never below a revision that a peer has
// reported, and the three active lists are consistent with each other.
package listsource
