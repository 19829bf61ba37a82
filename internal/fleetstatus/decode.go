package fleetstatus

import (
	"encoding/json"

	"github.com/fireflypin/fireflypin/core/owners"
	"github.com/fireflypin/fireflypin/internal/daemon"
	"github.com/fireflypin/fireflypin/internal/edge"
	"github.com/fireflypin/fireflypin/model"
)

// decodeReport decodes the status of a daemon. That of a daemon with flow tags is shorter: its number of targets stands
// where others list them. Only such a daemon has a position.
func decodeReport(text []byte) (*daemon.Report, *Position, error) {
	var shape struct {
		Targets json.RawMessage `json:"targets"`
	}
	if err := json.Unmarshal(text, &shape); err != nil {
		return nil, nil, err
	}
	var number int
	if json.Unmarshal(shape.Targets, &number) == nil && string(shape.Targets) != "null" {
		var s edge.Status
		if err := json.Unmarshal(text, &s); err != nil {
			return nil, nil, err
		}
		return taggedReport(&s), &Position{Era: s.Era, Complete: s.Complete, Held: s.Held}, nil
	}
	report := new(daemon.Report)
	return report, nil, json.Unmarshal(text, report)
}

// taggedReport returns what the status of a daemon with flow tags has of a Report.
func taggedReport(s *edge.Status) *daemon.Report {
	return &daemon.Report{Name: s.Name, Zone: s.Zone, Status: owners.Status{
		Ready:         s.Plan > 0 && !s.Stopping && !s.NotCurrent,
		Draining:      s.Stopping,
		Revisions:     model.Revisions{Plans: s.Plan},
		OwnedFlows:    s.OpenFlows,
		DrainingZones: s.DrainingZones,
	}}
}
