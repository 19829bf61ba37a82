package flowtrace

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// around is how long before a flow's first line and after its last one lines about its target are told: longer
// than a registration takes to end after a target's death.
const around = 5 * time.Second

// Story is what the logs tell of one flow.
type Story struct {
	// Flow is the id that was asked for.
	Flow  string
	Lines []Line
	// Targets are those that the flow was sent to, in order.
	Targets []string
	// Entries are the daemons that have a line on the flow.
	Entries []string
	// LeftOut counts, for each daemon, the lines that it left out in the time of the flow.
	LeftOut map[string]int
	// Silent are daemons of the logs without any line in the time of the flow.
	Silent []string
}

// Trace tells the story of a flow. The id is "caller>service" or "caller>service/number", as logs print it; a
// flow that went on at another daemon has no number there and is found by its ends.
func (l *Log) Trace(id string) Story {
	ends, _, _ := strings.Cut(id, "/")
	s := Story{Flow: id, LeftOut: make(map[string]int)}
	var own []Line
	for _, line := range l.Lines {
		if matches(line.Get("flow"), id, ends) {
			own = append(own, line)
			if !slices.Contains(s.Entries, line.Entry) {
				s.Entries = append(s.Entries, line.Entry)
			}
			if t := line.Get("target"); t != "" && !slices.Contains(s.Targets, t) {
				s.Targets = append(s.Targets, t)
			}
		}
	}
	if len(own) == 0 {
		return s
	}
	from, to := own[0].Time.Add(-around), own[len(own)-1].Time.Add(around)
	heard := make(map[string]bool)
	all := make(map[string]bool)
	for _, line := range l.Lines {
		all[line.Entry] = true
		if line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		heard[line.Entry] = true
		s.LeftOut[line.Entry] += line.leftOut()
		if matches(line.Get("flow"), id, ends) || s.concerns(&line) {
			s.Lines = append(s.Lines, line)
		}
	}
	for entry := range all {
		if !heard[entry] {
			s.Silent = append(s.Silent, entry)
		}
	}
	slices.Sort(s.Silent)
	return s
}

// matches reports whether a line's flow is the one that is asked for. Ids with different numbers are different
// flows on the same ports.
func matches(flow, id, ends string) bool {
	if flow == "" || !strings.HasPrefix(flow, ends+"/") {
		return false
	}
	return flow == id || id == ends || strings.HasSuffix(flow, "/-") || strings.HasSuffix(id, "/-")
}

// concerns reports whether a line tells of one of the flow's targets, or of a change of what the flow's daemons
// believe.
func (s *Story) concerns(line *Line) bool {
	here := slices.Contains(s.Entries, line.Entry)
	switch line.Op {
	case "targets":
		return slices.Contains(s.Targets, line.Get("target")) && (here || line.Event != "registered")
	case "pause", "stop", "start", "platform", "lists":
		return here
	}
	return false
}

// Write prints the story.
func (s *Story) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "flow %s\n", s.Flow)
	if len(s.Lines) == 0 {
		b.WriteString("no daemon's log has a line on it\n")
	}
	for i := range s.Lines {
		line := &s.Lines[i]
		mark := " "
		if line.Get("flow") != "" {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %s %s %s/%s %s\n", mark, line.Time.Format("15:04:05.000"), line.Entry, line.Op, line.Event, line.text())
	}
	for _, entry := range slices.Sorted(maps.Keys(s.LeftOut)) {
		if n := s.LeftOut[entry]; n > 0 {
			fmt.Fprintf(&b, "missing: %s left out %d lines in this time\n", entry, n)
		}
	}
	for _, entry := range s.Silent {
		fmt.Fprintf(&b, "missing: %s has no line in this time\n", entry)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
