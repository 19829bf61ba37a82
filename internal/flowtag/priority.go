package flowtag

import (
	"cmp"

	"github.com/fireflypin/fireflypin/model"
)

// Two targets whose names have equal hashes claim one tag. It belongs to the one that was the first to get flows, which a
// daemon can tell by three orders:
//
//   - the order in which this process learned of the two. It is certain, but a process that has just started learns of
//     both at once;
//   - the order in which the platform created their registrations. A registration that lapsed and came back is younger
//     than its target;
//   - the order of their starts, by the clocks of the targets.
//
// Where they contradict each other in a way that leaves the holder open, the tag belongs to nobody: a packet that is
// dropped is sent again, and a packet at a target that does not hold its flow makes that target reset the flow.

// hasPriority reports whether target a has priority over target b for a tag that both claim.
func hasPriority(a, b *model.Target) bool {
	learned := cmp.Compare(a.FirstLists, b.FirstLists)
	created := createdOrder(a, b)
	started := startOrder(a, b)
	switch {
	case a.FirstLists != 0 && b.FirstLists != 0 && learned != 0:
		return learned < 0 && !(created > 0 && started > 0)
	case a.Created != 0 && b.Created != 0:
		return created < 0 && started < 0
	}
	return started < 0
}

// createdOrder compares the creations of two registrations; 0 if their order is unknown.
func createdOrder(a, b *model.Target) int {
	if a.Created == 0 || b.Created == 0 || a.CreatedEra != b.CreatedEra {
		return 0
	}
	return cmp.Compare(a.Created, b.Created)
}

// startOrder compares the starts of two targets. A target with an unknown start comes last.
func startOrder(a, b *model.Target) int {
	switch {
	case a.StartedAt.Equal(b.StartedAt):
		return 0
	case a.StartedAt.IsZero():
		return 1
	case b.StartedAt.IsZero():
		return -1
	}
	return a.StartedAt.Compare(b.StartedAt)
}
