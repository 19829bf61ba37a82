// Package bench runs scenarios against the daemons, or against two baselines, and measures broken
// flows, imbalance, control bytes, CPU, hops and the time until a change is in force.
//
// Invariant: every variant sees the same scenario, seed and stand-ins; only what runs on the entry VMs
// differs.
package bench
