package flowtrace

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// around is how long before a flow's first line and after its last line related lines are included. It is
// longer than a registration takes to end after its target fails.
const around = 5 * time.Second

// Story is the history of one flow or target according to the logs.
type Story struct {
	// Subject is the requested flow id or target name.
	Subject string
	// Lines are the lines about the subject and those related to it, ordered by time.
	Lines []Line
	// Targets are the targets that the flow was sent to, in order.
	Targets []string
	// Entries are the entry VMs whose daemons have a line about the flow.
	Entries []string
	// LeftOut is, by entry VM, the number of lines that its daemon left out of its log in the covered period.
	LeftOut map[string]int
	// Silent are the entry VMs that appear in the logs but have no line in the covered period, sorted.
	Silent []string
}

// Trace returns the history of a flow. The id is "caller>service" or "caller>service/number", as in the logs. A
// daemon that took the flow over from another one logs it without its number; such lines are matched by caller
// and service.
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

// TraceTarget returns the history of a target: the state that daemons saw it in, and the flows that they ended
// or moved because of it. Lines about flows that were placed on it or learned are left out.
func (l *Log) TraceTarget(name string) Story {
	s := Story{Subject: name, Targets: []string{name}}
	isOwn := func(line *Line) bool { return line.Get("target") == name }
	s.tell(l, isOwn, func(line *Line) bool { return isOwn(line) && line.Event != "placed" && line.Event != "learned" })
	return s
}

// tell adds the lines for which told returns true, from shortly before the first line for which isOwn returns
// true to shortly after the last one, and the gaps in this period.
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

// addOnce appends a value to a list unless the list contains it.
func addOnce(list []string, v string) []string {
	if slices.Contains(list, v) {
		return list
	}
	return append(list, v)
}

// matches reports whether a line's flow is the requested one. ends is the id without its number. Ids with
// different numbers are different flows between the same ports; a number of "-" matches any.
func matches(flow, id, ends string) bool {
	if flow == "" || !strings.HasPrefix(flow, ends+"/") {
		return false
	}
	return flow == id || id == ends || strings.HasSuffix(flow, "/-") || strings.HasSuffix(id, "/-")
}

// concerns reports whether a line is about one of the flow's targets, or about a change at one of the flow's
// daemons that affects all flows.
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

// Write prints the history and its gaps. Lines about a flow are marked with an asterisk.
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
