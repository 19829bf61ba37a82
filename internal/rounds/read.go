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

// Round is one score of a site.
type Round struct {
	At time.Time
	// Commit is the short name of the commit that was measured; Changed is true where files differed from it.
	Commit  string
	Changed bool
	Site    string
	// Mean is the mean worth of the site's standard days, Worst the lowest.
	Mean, Worst float64
	// Gate is true where no day broke a rule or fell under its floor.
	Gate bool
	Why  string
}

// entry is the part of a journal entry that a Round is made of.
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
	// drawnDay begins the names of days that are drawn anew for each score; they tell nothing of a change.
	drawnDay = "fresh-"
	// shortCommit is the length of a short commit name.
	shortCommit = 7
)

// Read returns the scores in a journal's directory in the order of their times. Scores that did not finish are left
// out, as they have no days.
func Read(dir string) ([]Round, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("list the journal: %w", err)
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
		return Round{}, false, fmt.Errorf("read the journal: %w", err)
	}
	var e entry
	if err := json.Unmarshal(text, &e); err != nil {
		return Round{}, false, fmt.Errorf("read the journal's entry %s: %w", filepath.Base(path), err)
	}
	if e.Command != scoreCommand || len(e.At) == 0 {
		return Round{}, false, nil
	}
	at, err := time.Parse(time.RFC3339, e.At[0])
	if err != nil {
		return Round{}, false, fmt.Errorf("read the time of the journal's entry %s: %w", filepath.Base(path), err)
	}
	r := Round{At: at, Commit: e.Head[:min(len(e.Head), shortCommit)], Changed: e.Dirty, Site: e.Site, Gate: e.Figures.Gate == 1, Why: e.Why}
	days := 0
	for _, d := range e.Days {
		if strings.HasPrefix(d.Name, drawnDay) {
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
