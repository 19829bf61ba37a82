package bench

import (
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/fleet"
	"github.com/fireflypin/fireflypin/internal/scenario"
)

// Sample is the state of a run at one point in time.
type Sample struct {
	// AtSeconds is the time since the end of the warm-up.
	AtSeconds float64         `json:"at_seconds"`
	Members   []fleet.Status  `json:"members"`
	Services  []ServiceSample `json:"services"`
	OpenFlows int             `json:"open_flows"`
	Answered  int             `json:"answered"`
	Refused   int             `json:"refused"`
	Broken    int             `json:"broken"`
}

// ServiceSample is the load of one service's targets at one point in time.
type ServiceSample struct {
	Name    string `json:"name"`
	Targets int    `json:"targets"`
	Open    int    `json:"open"`
	Busy    int    `json:"busy"`
	// FlowsMaxOverMean is the max/mean ratio of the targets' open flows; 0 if no flow is open.
	FlowsMaxOverMean float64 `json:"flows_max_over_mean"`
	// ReportedMaxOverMean is the max/mean ratio of the connections reported by the targets; 0 if there is
	// none.
	ReportedMaxOverMean float64 `json:"reported_max_over_mean"`
	// PerTarget is the number of open flows of each target, in the order in which the targets were started.
	PerTarget []int `json:"per_target"`
	Broken    int   `json:"broken"`
	Refused   int   `json:"refused"`

	busy []int
}

func (r *run) sample() Sample {
	tally := scenario.Tally(r.site.CallerHistory())
	s := Sample{
		AtSeconds: time.Since(r.started).Seconds(),
		Members:   r.fleet.Status(),
		OpenFlows: r.site.OpenFlows(),
		Answered:  tally.Answered,
		Refused:   tally.Refused,
		Broken:    tally.Broken,
	}
	loads := r.site.Loads()
	for _, svc := range r.cfg.Scenario.Services {
		own := lo.Filter(loads, func(l scenario.TargetLoad, _ int) bool { return l.Service == svc.Name })
		sample := sampleService(svc.Name, own)
		sample.Broken, sample.Refused = r.brokenAndRefused(svc.Name, tally)
		s.Services = append(s.Services, sample)
	}
	return s
}

// brokenAndRefused returns the numbers of broken and refused flows of a service.
func (r *run) brokenAndRefused(service string, t scenario.Summary) (broken, refused int) {
	for _, w := range r.cfg.Scenario.Workloads {
		if w.Service == service {
			broken += t.ByWorkload[w.Name].Broken
			refused += t.ByWorkload[w.Name].Refused
		}
	}
	return broken, refused
}

// sampleService aggregates the loads of a service's targets. Draining targets are excluded from the
// max/mean ratios, because they get no new flows.
func sampleService(name string, loads []scenario.TargetLoad) ServiceSample {
	remaining := lo.Reject(loads, func(l scenario.TargetLoad, _ int) bool { return l.Draining })
	connections := func(l scenario.TargetLoad, _ int) int { return l.Connections }
	reported := func(l scenario.TargetLoad, _ int) int { return l.Reported.Connections }
	busy := func(l scenario.TargetLoad, _ int) int { return l.Busy }
	s := ServiceSample{
		Name:      name,
		Targets:   len(loads),
		PerTarget: lo.Map(loads, connections),
		busy:      lo.Map(loads, busy),
	}
	s.Open = lo.Sum(s.PerTarget)
	s.Busy = lo.Sum(s.busy)
	s.FlowsMaxOverMean = maxOverMean(lo.Map(remaining, connections))
	s.ReportedMaxOverMean = maxOverMean(lo.Map(remaining, reported))
	return s
}

// maxOverMean returns the largest count divided by the mean; 0 if all counts are 0.
func maxOverMean(counts []int) float64 {
	sum := lo.Sum(counts)
	if sum == 0 {
		return 0
	}
	return float64(lo.Max(counts)) * float64(len(counts)) / float64(sum)
}
