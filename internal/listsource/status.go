package listsource

import (
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// Status is the state of the lists on one daemon, for operators.
type Status struct {
	// InForce contains the revisions of the active lists; zero while no set of lists is active.
	InForce model.Revisions `json:"in_force"`
	// Held contains the revisions of the newest valid lists. Those above InForce are not active until they
	// are consistent with the other lists.
	Held model.Revisions `json:"held"`
	// Shown contains the highest revisions that this daemon or a peer has held.
	Shown model.Revisions `json:"shown"`
	// Refused contains the newest revisions that failed validation; 0 for none.
	Refused model.Revisions `json:"refused"`
	// Waiting is the reason why newer valid lists are not active; empty if there is none.
	Waiting string `json:"waiting,omitempty"`
	// PlatformReachable is false from a failed call until the next successful one.
	PlatformReachable bool `json:"platform_reachable"`
	// Starting is true while a new daemon waits for the digests of its peers.
	Starting bool `json:"starting"`
}

// Status returns the current status of the lists.
func (r *Reader) Status() Status {
	var inForce, shown, refused Digest
	for _, kind := range lists.Kinds() {
		if d := r.store.inForce[kind]; d != nil {
			inForce[kind] = d.Version
		}
		shown[kind].Revision = r.store.shown[kind]
		refused[kind] = r.store.refused[kind]
	}
	return Status{
		InForce:           inForce.Revisions(),
		Held:              r.store.digest().Revisions(),
		Shown:             shown.Revisions(),
		Refused:           refused.Revisions(),
		Waiting:           r.said.waiting,
		PlatformReachable: r.cfg.UsePlatform && !r.link.down,
		Starting:          r.peers.starting,
	}
}
