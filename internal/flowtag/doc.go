// Package flowtag encodes a flow's target in 32 bits that a transport carries in each packet of the flow.
//
// A daemon that receives a packet with a tag finds the target from the published targets alone. It needs neither a
// record of the flow nor a message from the daemon that placed it.
//
// Invariant: daemons that know the same targets resolve each tag to the same target. A tag that two targets claim
// belongs to the older one, so that a new target cannot take over a flow.
package flowtag
