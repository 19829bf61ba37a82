package listsource

import (
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// Status is the state of the lists on one daemon, for operators.
type Status struct {
	// Active contains the revisions of the active lists; zero while no set of lists is active.
	Active model.Revisions `json:"in_force"`
	// Newest contains the revisions of the newest valid lists. Those above Active are not active until they
	// are consistent with the other lists.
	Newest model.Revisions `json:"held"`
	// HighestReported contains the highest revisions that this daemon or a peer has held.
	HighestReported model.Revisions `json:"shown"`
	// Rejected contains the newest revisions that failed validation; 0 for none.
	Rejected model.Revisions `json:"refused"`
	// Waiting is the reason why newer valid lists are not active; empty if there is none.
	Waiting string `json:"waiting,omitempty"`
	// PlatformReachable is false from a failed call until the next one that succeeds or reports a missing list,
	// and always if the platform is not used.
	PlatformReachable bool `json:"platform_reachable"`
	// Starting is true while a new daemon waits for the digests of its peers.
	Starting bool `json:"starting"`
}

// Status returns the current status of the lists.
func (r *Reader) Status() Status {
	var active, highest, rejected Digest
	for _, kind := range lists.Kinds() {
		if d := r.store.active[kind]; d != nil {
			active[kind] = d.Version
		}
		highest[kind].Revision = r.store.highest[kind]
		rejected[kind] = r.store.rejected[kind]
	}
	return Status{
		Active:            active.Revisions(),
		Newest:            r.store.digest().Revisions(),
		HighestReported:   highest.Revisions(),
		Rejected:          rejected.Revisions(),
		Waiting:           r.reported.waiting,
		PlatformReachable: r.cfg.UsePlatform && !r.platformState.down,
		Starting:          r.peerState.starting,
	}
}
