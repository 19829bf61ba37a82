package scenario

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"

	"github.com/fireflypin/fireflypin/internal/standin"
)

// settingsDoc is the content of a daemon's settings file.
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

// listsDoc holds the paths of the list files, relative to the settings file.
type listsDoc struct {
	Customers string `yaml:"customers"`
	Plans     string `yaml:"plans"`
	Machines  string `yaml:"machines"`
}

// Source is where a daemon reads the published lists from.
type Source string

// The sources of the lists.
const (
	// SourcePlatform reads the lists from the platform's HTTP service.
	SourcePlatform Source = "platform"
	// SourceFiles reads the lists once, from the files that WriteLists writes next to the settings file.
	SourceFiles Source = "files"
)

// demoDrainTimeout is the drain timeout of daemons. It is short because runs last only seconds.
const demoDrainTimeout = "3s"

// Settings returns the YAML text of a daemon's settings file.
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

// WriteLists writes the currently published lists to a directory, one YAML file per list.
func (s *Site) WriteLists(dir string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, data := range s.publishedTexts {
		if err := os.WriteFile(filepath.Join(dir, listFile(name)), data, 0o644); err != nil {
			return fmt.Errorf("write list: %w", err)
		}
	}
	return nil
}
