// Package flowtag encodes a flow's target in 32 bits that a transport carries in each packet of the flow.
//
// A daemon that receives a packet with a tag finds the target from the published targets alone. It needs neither a
// record of the flow nor a message from the daemon that placed it.
//
// Invariant: a tag that two targets claim belongs to the one that got flows first, or to nobody where a daemon cannot tell
// which one that is, so that no target gets the flows of another one. Daemons that know the same of the targets resolve
// each tag to the same target.
package flowtag
