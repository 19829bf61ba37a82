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

// Story is what the logs tell of one flow, or of one target.
type Story struct {
	// Subject is the flow's id or the target's name that was asked for.
	Subject string
	Lines   []Line
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
	s := Story{Subject: id}
	isOwn := func(line *Line) bool { return matches(line.Get("flow"), id, ends) }
	for i := range l.Lines {
		line := &l.Lines[i]
		if !isOwn(line) {
			continue
		}
		s.Entries = addOnce(s.Entries, line.Entry)
		if t := line.Get("target"); t != "" {
			s.Targets = addOnce(s.Targets, t)
		}
	}
	s.tell(l, isOwn, func(line *Line) bool { return isOwn(line) || s.concerns(line) })
	return s
}

// TraceTarget tells the story of a target: what daemons believed of it, and which flows they ended or moved for it.
func (l *Log) TraceTarget(name string) Story {
	s := Story{Subject: name, Targets: []string{name}}
	isOwn := func(line *Line) bool { return line.Get("target") == name }
	s.tell(l, isOwn, func(line *Line) bool { return isOwn(line) && line.Event != "placed" && line.Event != "learned" })
	return s
}

// tell fills in the lines that are to be told around the story's own ones, and what is missing there.
func (s *Story) tell(l *Log, isOwn, told func(line *Line) bool) {
	s.LeftOut = make(map[string]int)
	first := slices.IndexFunc(l.Lines, func(line Line) bool { return isOwn(&line) })
	if first < 0 {
		return
	}
	last := first
	for i := range l.Lines[first:] {
		if isOwn(&l.Lines[first+i]) {
			last = first + i
		}
	}
	from, to := l.Lines[first].Time.Add(-around), l.Lines[last].Time.Add(around)
	heard := make(map[string]bool)
	for i := range l.Lines {
		line := &l.Lines[i]
		inTime := !line.Time.Before(from) && !line.Time.After(to)
		heard[line.Entry] = heard[line.Entry] || inTime
		if !inTime {
			continue
		}
		s.LeftOut[line.Entry] += line.leftOut()
		if told(line) {
			s.Lines = append(s.Lines, *line)
		}
	}
	for entry, inTime := range heard {
		if !inTime {
			s.Silent = append(s.Silent, entry)
		}
	}
	slices.Sort(s.Silent)
}

func addOnce(list []string, v string) []string {
	if slices.Contains(list, v) {
		return list
	}
	return append(list, v)
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
	fmt.Fprintf(&b, "%s\n", s.Subject)
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
