// Package modelcheck explores every interleaving of the ownership protocol of package core at a small
// size: three daemons and one flow.
//
// The model follows core step by step: a SYN that its owner places on either of two targets, the
// exception log with its positions, marks, echoes and completeness, snapshots, the rule for sending
// packets straight, hops, delegation to former owners and the two steps of settling, inheritance of
// exceptions, a crash, a planned stop that waits until its log is acknowledged, a join, and a change of
// lists that moves the flow's default target and reaches the daemons at any time.
//
// The abstraction:
//   - The flow's order of owners is 0, 1, 2. Lists of generation 0 make target A its default, those of
//     generation 1 target B.
//   - A packet that is handed on is in flight for any time and may be lost; there is one at a time.
//   - Marks are counters of which only comparisons with two moments matter: when a daemon first saw the
//     flow under its present owner, and when it last saw the owners change. So a mark is one bit for
//     each moment. A batch between two daemons may be late, lost or overtaken by a newer one.
//   - Each daemon learns of each change of the others at any time, in any order. Deaths are never
//     reported of a live daemon: false suspicions, pauses and partitions are left to other tests.
//   - A daemon settles only when it has heard from all owners, never because Config.SettleTime is over.
//   - A flow is established by the first target that its SYN reaches, and never ends.
//   - A crashed machine does not restart.
//
// Invariant checked: every packet of the established flow reaches the target that established it. The
// one exception is the protocol's stated limit: a flow whose record had not reached every live daemon
// when its owner crashed.
package modelcheck
