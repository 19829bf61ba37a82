// Package scenario reads scenarios from YAML and starts the stand-ins that one names: the platform,
// the fabric, targets and callers, on loopback sockets of this process.
//
// Invariant: a scenario and its seed fix the published lists, the workloads and the faults; only the
// scheduling of the machine differs between two runs.
package scenario
