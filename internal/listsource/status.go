package listsource

import (
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// Status is what an operator sees of the lists on one daemon.
type Status struct {
	// InForce is zero while no set of lists is in force.
	InForce model.Revisions `json:"in_force"`
	// Held names the newest sound lists; those above InForce wait for others to fit.
	Held model.Revisions `json:"held"`
	// Shown names the highest revisions that were held here or by a peer.
	Shown model.Revisions `json:"shown"`
	// Refused names the newest revisions that failed their checks; 0 for none.
	Refused model.Revisions `json:"refused"`
	// Waiting says why held lists are not in force; empty when all are.
	Waiting string `json:"waiting,omitempty"`
	// PlatformReachable is false after a failed call until the next answer.
	PlatformReachable bool `json:"platform_reachable"`
	// Starting is true while a new daemon waits to hear what its peers hold.
	Starting bool `json:"starting"`
}

// Status returns what is known of the lists.
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
