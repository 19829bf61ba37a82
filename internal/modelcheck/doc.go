// Package modelcheck is an explicit-state model checker for the ownership protocol of package core. It
// explores every interleaving of events for up to three daemons and one flow.
//
// The model follows core step by step: the owner's choice of one of two targets for a SYN, the exception
// log with its positions, marks, acknowledged marks and completeness flag, snapshots, the rule for sending
// a packet to its target without the owner, forwarded packets, delegation to previous owners, the two
// steps of an ownership transition, takeover of exceptions, a crash, a planned stop that waits until the
// log is acknowledged, a join, and a change of lists that changes the flow's default target and reaches
// the daemons at any time.
//
// An exception is a flow whose target is not its default one; its owner's log has a record of it. A mark
// is a counter that a daemon sends to its peers; a peer acknowledges it in its log batches. When a mark that
// was sent after an event is acknowledged, the log received with the acknowledgement is newer than the event.
//
// Simplifications:
//   - Daemons 0, 1 and 2 are the flow's owners in order of preference. Lists of generation 0 make target A
//     its default target, lists of generation 1 make it target B.
//   - A forwarded packet is in flight for any time and may be lost. At most one packet is in flight.
//   - A mark is only compared with two moments: when a daemon first saw the flow under its current owner,
//     and when it last saw the set of owners change. A mark is therefore one bit for each moment.
//   - A log batch between two daemons may be late, lost or overtaken by a newer one.
//   - Each daemon learns of each membership change of the others at any time, in any order. A live daemon
//     is never reported as failed: false suspicions, pauses and partitions are covered by other tests.
//   - A daemon finishes its ownership transition only when it has received the logs of all owners, never
//     because the transition's timeout expires.
//   - A flow is established by the first target that its SYN reaches, and never ends.
//   - A crashed daemon does not restart.
//
// Invariant checked: every packet of the established flow reaches the target that established it. The
// exception is the protocol's documented limit: a flow whose record had not reached every live daemon when
// its owner crashed.
package modelcheck
