package scenario

import (
	"fmt"

	"github.com/goccy/go-yaml"
)

// settingsDoc is a daemon's settings file.
type settingsDoc struct {
	Name         string      `yaml:"name"`
	Region       string      `yaml:"region"`
	Zone         string      `yaml:"zone"`
	Data         string      `yaml:"data"`
	Peer         string      `yaml:"peer"`
	Bulk         string      `yaml:"bulk"`
	Ops          string      `yaml:"ops"`
	Egress       string      `yaml:"egress"`
	Platform     platformDoc `yaml:"platform"`
	Workers      int         `yaml:"workers,omitempty"`
	DrainTimeout string      `yaml:"drain_timeout"`
}

type platformDoc struct {
	URL string `yaml:"url"`
}

// demoDrainTimeout bounds the planned stop of a daemon in runs of seconds.
const demoDrainTimeout = "5s"

// Settings returns the settings file of a daemon.
func (s *Site) Settings(e EntryPlan) ([]byte, error) {
	data, err := yaml.Marshal(settingsDoc{
		Name: e.Name, Region: e.Region, Zone: e.Zone,
		Data: e.Data.String(), Peer: e.Peer.String(), Bulk: e.Bulk.String(), Ops: e.Ops.String(),
		Egress:       s.Egress.String(),
		Platform:     platformDoc{URL: s.PlatformURL(e.Zone)},
		Workers:      1,
		DrainTimeout: demoDrainTimeout,
	})
	if err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", e.Name, err)
	}
	return data, nil
}
