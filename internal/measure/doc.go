// Package measure compares forwarders of IP-in-UDP packets over loopback: the packets that each passes
// on for a second of processor time, and the delay that it adds.
//
// Forwarders are other processes. Their processor time is read from /proc, so that the figures depend
// little on what else the machine does. All forwarders take turns in short rounds of one run.
//
// Invariant: what the source and the sink cost is in no forwarder's figure.
package measure
