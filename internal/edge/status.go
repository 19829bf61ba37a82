package edge

import (
	"time"
)

// Status is a daemon's status as operators see it.
type Status struct {
	Name            string   `json:"name"`
	Zone            string   `json:"zone"`
	Plan            uint64   `json:"plan"`
	Era             uint64   `json:"era"`
	Complete        uint64   `json:"complete"`
	Held            int      `json:"held"`
	AgeMS           int64    `json:"age_ms"`
	OpenFlows       int      `json:"open_flows"`
	Services        []string `json:"services"`
	Targets         int      `json:"targets"`
	PreviousTargets int      `json:"former_targets"`
	DrainingZones   []string `json:"draining_zones"`
	LivePeers       int      `json:"live_peers"`
	Stopping        bool     `json:"stopping"`
	NotCurrent      bool     `json:"not_current"`
	LinesOmitted    int64    `json:"lines_left_out_total"`
	// Used is the number of targets that warm up with a published rate and that this daemon may use.
	Used int `json:"warming_borne"`
}

func (c *controlLoop) buildStatus(now time.Time) *Status {
	st := &Status{
		Name:         c.d.settings.Name,
		Zone:         c.d.settings.Zone.String(),
		Plan:         c.d.planVersion.Load(),
		Era:          c.news.Complete().Era,
		Complete:     c.news.Complete().Revision,
		Held:         c.news.Held(),
		AgeMS:        c.news.Age(now).Milliseconds(),
		OpenFlows:    c.d.engine.OpenFlows(),
		LivePeers:    len(c.news.Members(now)),
		Stopping:     c.d.stopping.Load(),
		NotCurrent:   !c.pausedAt.IsZero(),
		Used:         len(c.used),
		LinesOmitted: c.d.flowLogLimit.total.Load() + c.d.stateLogLimit.total.Load(),
	}
	if s := c.d.engine.Lists(); s != nil {
		for _, svc := range s.Services {
			st.Services = append(st.Services, svc.Name)
			st.Targets += len(svc.Targets)
		}
		st.PreviousTargets = len(s.PreviousTargets)
		st.DrainingZones = s.DrainingZones
	}
	return st
}
