package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/fireflypin/fireflypin/core/owners"
)

func operatorExperiments() []experiment {
	return []experiment{
		{StatusBytes, Bytes, []int{700, 1500, 3000, 6100}, func(n int) float64 { return float64(len(statusText(n))) }},
		{StatusRead, Nanoseconds, []int{700, 1500, 3000, 6100}, func(n int) float64 {
			text := statusText(n)
			return nanoseconds(func(int) {
				var s owners.Status
				panicOnError(json.Unmarshal(text, &s))
			})
		}},
	}
}

// statusText returns the JSON status of a daemon in a fleet with one entry VM per ten targets.
func statusText(targets int) []byte {
	var s owners.Status
	for i := range targets / 10 {
		s.Members = append(s.Members, owners.MemberStatus{
			Name: fmt.Sprintf("entry-%d", i), Zone: "region-0/a", State: "alive", Owner: true, Incarnation: 1 << 60,
		})
	}
	for i := range targets {
		s.Targets = append(s.Targets, owners.TargetStatus{
			Name: fmt.Sprintf("target-%d", i), Service: fmt.Sprintf("service-%d", i/targetsPerService), Zone: "region-0/a", OpenFlows: 3,
		})
	}
	text, err := json.MarshalIndent(s, "", "  ")
	panicOnError(err)
	return text
}
