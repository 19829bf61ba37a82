package flowtrace

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Summary holds counts of log lines.
type Summary struct {
	// Outcomes is the number of lines with the same op, event and, where present, kind, cause, connected, up
	// and reads fields. The key consists of these, separated by spaces.
	Outcomes map[string]int
	// OmittedLines is the number of lines that daemons omitted from their logs.
	OmittedLines int
	// Unparsed is the number of input lines that are not log lines of a daemon.
	Unparsed int
}

// Summary counts the lines of the log.
func (l *Log) Summary() Summary {
	s := Summary{Outcomes: make(map[string]int), Unparsed: l.Unparsed}
	for i := range l.Lines {
		line := &l.Lines[i]
		s.OmittedLines += line.Omitted()
		s.Outcomes[outcomeKey(line)]++
	}
	return s
}

// outcomeKey returns the key under which a line is counted.
func outcomeKey(line *Line) string {
	parts := []string{line.Op, line.Event}
	for _, key := range []string{"kind", "cause", "connected", "up", "reads"} {
		if v := line.Get(key); v != "" {
			parts = append(parts, key+"="+v)
		}
	}
	return strings.Join(parts, " ")
}

// Write prints the counts.
func (s *Summary) Write(w io.Writer) error {
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(s.Outcomes)) {
		fmt.Fprintf(&b, "%8d  %s\n", s.Outcomes[key], key)
	}
	fmt.Fprintf(&b, "%8d  lines left out by the daemons\n", s.OmittedLines)
	if s.Unparsed > 0 {
		fmt.Fprintf(&b, "%8d  lines of something else\n", s.Unparsed)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
