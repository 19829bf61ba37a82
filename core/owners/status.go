package owners

import (
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
)

// Status is the state of an engine as reported to operators.
type Status struct {
	Ready      bool            `json:"ready"`
	Draining   bool            `json:"leaving"`
	Revisions  model.Revisions `json:"revisions"`
	OwnedFlows int             `json:"owned_flows"`
	Exceptions int             `json:"exceptions"`
	// ReplicatedExceptions counts the exceptions (flows whose target is not their default one) in the replicas
	// of other owners' logs.
	ReplicatedExceptions int            `json:"copied_exceptions"`
	CachedFlows          int            `json:"cached_flows"`
	Unacknowledged       int            `json:"unacknowledged_records"`
	Members              []MemberStatus `json:"members"`
	Targets              []TargetStatus `json:"targets"`
	// DrainingZones are the names of the availability zones whose drain is in force here, sorted.
	DrainingZones []string `json:"draining_zones"`
}

// MemberStatus is an engine's view of one entry VM.
type MemberStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Owner       bool   `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
}

// TargetStatus is an engine's state of one target.
type TargetStatus struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Draining bool   `json:"leaving"`
	// ZoneDraining is true if operators drain the target's zone.
	ZoneDraining bool `json:"zone_draining"`
	// OpenFlows counts the open flows on the target that this daemon owns.
	OpenFlows int `json:"open_flows"`
}

// Status returns the engine's state for operators.
func (e *Engine) Status() Status {
	e.controlMu.Lock()
	s := Status{Ready: e.ready.Load() && !e.draining, Draining: e.draining}
	e.controlMu.Unlock()
	s.OwnedFlows = e.table.Len()
	s.Exceptions = e.log.Len()
	s.ReplicatedExceptions = e.replicas.Len()
	s.CachedFlows = e.flowCache.Len()
	s.Unacknowledged = e.log.Unacknowledged()
	rs := e.routingState.Load()
	if rs == nil {
		return s
	}
	s.Revisions = rs.snapshot.Revisions
	s.DrainingZones = rs.snapshot.DrainingZones
	for _, m := range rs.view.Members() {
		s.Members = append(s.Members, memberStatus(m))
	}
	for _, svc := range rs.snapshot.Services {
		for _, t := range svc.Targets {
			s.Targets = append(s.Targets, e.targetStatus(t))
		}
	}
	return s
}

func memberStatus(m membership.MemberView) MemberStatus {
	return MemberStatus{
		Name:        m.Entry.Name,
		Zone:        m.Entry.Zone.String(),
		State:       m.State.String(),
		Owner:       m.Owner,
		Incarnation: m.Incarnation,
	}
}

func (e *Engine) targetStatus(t *model.Target) TargetStatus {
	return TargetStatus{
		Name:     t.Name,
		Service:  t.Service,
		Zone:     t.Zone.String(),
		Draining: t.Draining,

		ZoneDraining: t.ZoneDraining,

		OpenFlows: e.loads.Open(t.ID),
	}
}
