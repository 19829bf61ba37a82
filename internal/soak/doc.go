// Package soak runs the real daemons as separate processes on loopback, with a simulated store and simulated
// routers, targets and callers. It injects faults from outside: signals, proxies that delay, reset or drop data,
// network partitions, target crashes and configuration changes.
//
// Invariant: a run passes or fails on what callers and targets observed and on the daemons' status endpoints, never on
// log output. One goroutine owns all state of the simulated components.
package soak
