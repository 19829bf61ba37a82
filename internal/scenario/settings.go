package scenario

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"

	"github.com/fireflypin/fireflypin/internal/standin"
)

// settingsDoc is a daemon's settings file.
type settingsDoc struct {
	Name         string       `yaml:"name"`
	Region       string       `yaml:"region"`
	Zone         string       `yaml:"zone"`
	Data         string       `yaml:"data"`
	Peer         string       `yaml:"peer"`
	Bulk         string       `yaml:"bulk"`
	Ops          string       `yaml:"ops"`
	Egress       string       `yaml:"egress"`
	Platform     *platformDoc `yaml:"platform,omitempty"`
	Lists        *listsDoc    `yaml:"lists,omitempty"`
	Workers      int          `yaml:"workers,omitempty"`
	DrainTimeout string       `yaml:"drain_timeout"`
}

type platformDoc struct {
	URL string `yaml:"url"`
}

// listsDoc names the files of the lists, relative to the settings file.
type listsDoc struct {
	Customers string `yaml:"customers"`
	Plans     string `yaml:"plans"`
	Machines  string `yaml:"machines"`
}

// Source says where a daemon reads the lists.
type Source string

// The sources of the lists.
const (
	SourcePlatform Source = "platform"
	// SourceFiles reads them once from the files that WriteLists writes beside the settings.
	SourceFiles Source = "files"
)

// demoDrainTimeout bounds the planned stop of a daemon in runs of seconds.
const demoDrainTimeout = "3s"

// Settings returns the settings file of a daemon.
func (s *Site) Settings(e EntryPlan, source Source) ([]byte, error) {
	doc := settingsDoc{
		Name: e.Name, Region: e.Region, Zone: e.Zone,
		Data: e.Data.String(), Peer: e.Peer.String(), Bulk: e.Bulk.String(), Ops: e.Ops.String(),
		Egress:       s.Egress.String(),
		Workers:      1,
		DrainTimeout: demoDrainTimeout,
	}
	if source == SourceFiles {
		doc.Lists = &listsDoc{
			Customers: listFile(standin.ListCustomers),
			Plans:     listFile(standin.ListPlans),
			Machines:  listFile(standin.ListMachines),
		}
	} else {
		doc.Platform = &platformDoc{URL: s.PlatformURL(e.Zone)}
	}
	data, err := yaml.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", e.Name, err)
	}
	return data, nil
}

func listFile(name standin.ListName) string {
	return string(name) + ".yaml"
}

// WriteLists writes the lists in force to a directory.
func (s *Site) WriteLists(dir string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, data := range s.current {
		if err := os.WriteFile(filepath.Join(dir, listFile(name)), data, 0o644); err != nil {
			return fmt.Errorf("write list: %w", err)
		}
	}
	return nil
}
