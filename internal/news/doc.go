// Package news keeps every daemon's copy of what the platform publishes, while few daemons read it.
//
// In each availability zone the first live daemon of a fixed order watches the platform and tells the others
// of each change. Any daemon reads for itself when it hears of nobody who does. Engine holds every decision:
// events go in with their time, actions come out; it touches no socket, clock or goroutine.
//
// Invariant: an item's revision never goes back, whoever tells of it. An item that the copy lacks is not
// taken below the revision up to which the copy is complete: it has ended.
package news
