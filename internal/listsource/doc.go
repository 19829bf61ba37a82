// Package listsource obtains the published lists from the platform's service, from peers or from local
// files, and decides which set of them is in force.
//
// Reader holds every decision; it gets events with their time and returns actions, and touches no
// socket, clock or goroutine. Client is the thin shell that carries the actions out.
//
// Invariant: the version of a list that is in force only grows, is never below a revision that a peer
// has shown, and the three lists in force fit each other.
package listsource
