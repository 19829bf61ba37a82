package rounds

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Round is one score measurement of a site.
type Round struct {
	At time.Time
	// Commit is the abbreviated hash of the measured commit. Changed is true if the working tree had
	// uncommitted changes.
	Commit  string
	Changed bool
	Site    string
	// Mean and Worst are the mean and the lowest score of the site's standard days (simulated test days).
	Mean, Worst float64
	// Gate is true if no day violated a rule or scored below its minimum.
	Gate bool
	// Why is the stated reason for the measurement.
	Why string
}

// entry holds the fields of a journal entry that are needed for a Round.
type entry struct {
	Command string   `json:"cmd"`
	At      []string `json:"at"`
	Head    string   `json:"head"`
	Dirty   bool     `json:"dirty"`
	Site    string   `json:"site"`
	Why     string   `json:"why"`
	Figures struct {
		Gate float64 `json:"gate"`
	} `json:"figures"`
	Days []struct {
		Name  string  `json:"name"`
		Worth float64 `json:"G"`
	} `json:"days"`
}

const (
	scoreCommand = "score"
	// randomDayPrefix is the name prefix of days that are generated at random for each score. They are excluded,
	// because their scores are not comparable between measurements.
	randomDayPrefix = "fresh-"
	// shortCommitLength is the length of an abbreviated commit hash.
	shortCommitLength = 7
)

// Read returns the score measurements in a journal directory, sorted by time. Measurements that did not finish
// have no days and are left out.
func Read(dir string) ([]Round, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("list journal entries: %w", err)
	}
	var out []Round
	for _, path := range paths {
		r, ok, err := readEntry(path)
		if err != nil {
			return nil, err
		}
		if ok {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b Round) int { return a.At.Compare(b.At) })
	return out, nil
}

func readEntry(path string) (Round, bool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Round{}, false, fmt.Errorf("read journal entry: %w", err)
	}
	var e entry
	if err := json.Unmarshal(text, &e); err != nil {
		return Round{}, false, fmt.Errorf("parse journal entry %s: %w", filepath.Base(path), err)
	}
	if e.Command != scoreCommand || len(e.At) == 0 {
		return Round{}, false, nil
	}
	at, err := time.Parse(time.RFC3339, e.At[0])
	if err != nil {
		return Round{}, false, fmt.Errorf("parse time of journal entry %s: %w", filepath.Base(path), err)
	}
	r := Round{At: at, Commit: e.Head[:min(len(e.Head), shortCommitLength)], Changed: e.Dirty, Site: e.Site, Gate: e.Figures.Gate == 1, Why: e.Why}
	days := 0
	for _, d := range e.Days {
		if strings.HasPrefix(d.Name, randomDayPrefix) {
			continue
		}
		if days == 0 || d.Worth < r.Worst {
			r.Worst = d.Worth
		}
		r.Mean += d.Worth
		days++
	}
	if days == 0 {
		return Round{}, false, nil
	}
	r.Mean /= float64(days)
	return r, true, nil
}
