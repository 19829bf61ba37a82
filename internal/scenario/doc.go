// Package scenario loads test scenarios from YAML and starts the simulated components (stand-ins) that a
// scenario defines: the platform, the network fabric, targets and callers. All of them use loopback
// sockets of the current process.
//
// Invariant: a scenario and its seed determine the published lists, the workloads and the faults. Two
// runs differ only in how the operating system schedules them.
package scenario
