// Package soak runs the real daemons as separate processes on loopback, with stand-ins for the store, the routers, the
// targets and the callers, and injects faults from outside: signals, proxies that delay, reset or swallow, links that
// are cut, targets that die, settings that change.
//
// Invariant: the verdict rests on what callers and targets saw and on the daemons' own status, never on their logs. All
// of the stand-ins' state is owned by one goroutine.
package soak
