// Package flowtag names a flow's target in 32 bits that a transport carries in each packet of the flow.
//
// A daemon that gets a packet with a tag finds the target from the published targets alone: it needs no
// record of the flow and no word from the daemon that placed it.
//
// Invariant: two daemons that know the same targets read each tag alike. A tag that two targets claim
// belongs to the older one, so that a target that joins cannot take over a flow.
package flowtag
