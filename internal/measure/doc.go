// Package measure compares forwarders of IP-in-UDP packets over loopback by the number of packets that they
// forward per second of CPU time, and by the delay that they add.
//
// Forwarders are separate processes. Their CPU time is read from /proc, so that other load on the machine has
// little influence on the results. Within a run, all forwarders take turns in short rounds.
//
// Invariant: the CPU time of the source and the sink is not included in the result of any forwarder.
package measure
