package flowtrace

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// contextMargin is how long before a flow's first line and after its last line related lines are included. It
// is longer than a registration takes to end after its target fails.
const contextMargin = 5 * time.Second

// History describes what happened to one flow or target according to the logs.
type History struct {
	// Subject is the requested flow id or target name.
	Subject string
	// Lines are the lines about the subject and those related to it, ordered by time.
	Lines []Line
	// Targets are the targets that the flow was sent to, in order.
	Targets []string
	// Entries are the entry VMs whose daemons have a line about the flow.
	Entries []string
	// OmittedLines is, by entry VM, the number of lines that its daemon omitted from its log in the covered period,
	// because of a rate limit or a full log buffer.
	OmittedLines map[string]int
	// WithoutLines are the entry VMs that appear in the logs but have no line in the covered period, sorted.
	WithoutLines []string
}

// Trace returns the history of a flow. The id is "caller>service" or "caller>service/number", as in the logs, where
// the number is the initial sequence number of the flow's SYN in hexadecimal. A daemon that took the flow over from
// another one logs "-" instead of the number; such lines are matched by caller and service.
func (l *Log) Trace(id string) History {
	addresses, _, _ := strings.Cut(id, "/")
	h := History{Subject: id}
	isSubject := func(line *Line) bool { return matchesFlow(line.Get("flow"), id, addresses) }
	for i := range l.Lines {
		line := &l.Lines[i]
		if !isSubject(line) {
			continue
		}
		h.Entries = appendUnique(h.Entries, line.Entry)
		if t := line.Get("target"); t != "" {
			h.Targets = appendUnique(h.Targets, t)
		}
	}
	h.collect(l, isSubject, func(line *Line) bool { return isSubject(line) || h.isRelated(line) })
	return h
}

// TraceTarget returns the history of a target: the state that daemons saw it in, and the flows that they ended
// or moved because of it. Lines with the event "placed" (a new flow got the target) or "learned" (a
// daemon saw a flow for the first time that another daemon opened) are not included.
func (l *Log) TraceTarget(name string) History {
	h := History{Subject: name, Targets: []string{name}}
	isSubject := func(line *Line) bool { return line.Get("target") == name }
	h.collect(l, isSubject, func(line *Line) bool { return isSubject(line) && line.Event != "placed" && line.Event != "learned" })
	return h
}

// collect adds the lines for which include returns true, from shortly before the first line for which isSubject
// returns true to shortly after the last one, and the gaps in this period.
func (h *History) collect(l *Log, isSubject, include func(line *Line) bool) {
	h.OmittedLines = make(map[string]int)
	first := slices.IndexFunc(l.Lines, func(line Line) bool { return isSubject(&line) })
	if first < 0 {
		return
	}
	last := first
	for i := range l.Lines[first:] {
		if isSubject(&l.Lines[first+i]) {
			last = first + i
		}
	}
	start, end := l.Lines[first].Time.Add(-contextMargin), l.Lines[last].Time.Add(contextMargin)
	hasLines := make(map[string]bool)
	for i := range l.Lines {
		line := &l.Lines[i]
		inPeriod := !line.Time.Before(start) && !line.Time.After(end)
		hasLines[line.Entry] = hasLines[line.Entry] || inPeriod
		if !inPeriod {
			continue
		}
		h.OmittedLines[line.Entry] += line.Omitted()
		if include(line) {
			h.Lines = append(h.Lines, *line)
		}
	}
	for entry, inPeriod := range hasLines {
		if !inPeriod {
			h.WithoutLines = append(h.WithoutLines, entry)
		}
	}
	slices.Sort(h.WithoutLines)
}

// appendUnique appends a value to a list unless the list contains it.
func appendUnique(list []string, v string) []string {
	if slices.Contains(list, v) {
		return list
	}
	return append(list, v)
}

// matchesFlow reports whether a line's flow is the requested one. addresses is the id without its number. Ids
// with different numbers are different flows between the same ports; a number of "-" matches any.
func matchesFlow(flow, id, addresses string) bool {
	if flow == "" || !strings.HasPrefix(flow, addresses+"/") {
		return false
	}
	return flow == id || id == addresses || strings.HasSuffix(flow, "/-") || strings.HasSuffix(id, "/-")
}

// isRelated reports whether a line is about one of the flow's targets, or about a change at one of the flow's
// daemons that affects all flows.
func (h *History) isRelated(line *Line) bool {
	atFlowDaemon := slices.Contains(h.Entries, line.Entry)
	switch line.Op {
	case "targets":
		return slices.Contains(h.Targets, line.Get("target")) && (atFlowDaemon || line.Event != "registered")
	case "pause", "stop", "start", "platform", "lists":
		return atFlowDaemon
	}
	return false
}

// Write prints the history and its gaps. Lines about a flow are marked with an asterisk.
func (h *History) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", h.Subject)
	if len(h.Lines) == 0 {
		b.WriteString("no daemon's log has a line on it\n")
	}
	for i := range h.Lines {
		line := &h.Lines[i]
		marker := " "
		if line.Get("flow") != "" {
			marker = "*"
		}
		fmt.Fprintf(&b, "%s %s %s %s/%s %s\n", marker, line.Time.Format("15:04:05.000"), line.Entry, line.Op, line.Event, line.formatFields())
	}
	for _, entry := range slices.Sorted(maps.Keys(h.OmittedLines)) {
		if n := h.OmittedLines[entry]; n > 0 {
			fmt.Fprintf(&b, "missing: %s left out %d lines in this time\n", entry, n)
		}
	}
	for _, entry := range h.WithoutLines {
		fmt.Fprintf(&b, "missing: %s has no line in this time\n", entry)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
