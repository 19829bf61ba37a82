// Package news replicates the items that the platform publishes (the published lists) to every daemon, while only
// a few daemons call the platform.
//
// In each availability zone the first live daemon of a fixed order is the reader: it watches the platform and sends
// each change to the other daemons as gossip. Any daemon watches the platform itself when it knows of no other that
// does. Engine makes all decisions: events are passed in with their time and actions are returned. It uses no
// socket, clock or goroutine.
//
// Invariant: an item's position, its era and revision, never decreases, whatever the source of an update. An item that is
// not in the replica in its era is ignored when its position is at or below the one up to which the replica is complete,
// because the item has been removed. What is older than one known era is dropped. When the platform returns from an older
// copy, what is in force does not go back: see holds.go.
package news
