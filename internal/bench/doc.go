// Package bench runs scenarios against the daemons, or against one of two baselines, and measures broken
// flows, load imbalance, control traffic, CPU time, the share of packets forwarded between daemons, and the
// time until a change of the published lists is applied.
//
// Invariant: all variants run with the same scenario, seed and stand-ins. Only the software on the entry
// VMs differs.
package bench
