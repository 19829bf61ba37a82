package scenario

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/fireflypin/fireflypin/internal/history"
)

// Count is the number of occurrences of a named event.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// FlowEndCounts counts flows by how they ended.
type FlowEndCounts struct {
	Finished   int `json:"finished"`
	Refused    int `json:"refused"`
	Unanswered int `json:"unanswered"`
	Broken     int `json:"broken"`
}

// Summary aggregates the records of callers and targets of a run.
type Summary struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`

	Flows      int `json:"flows"`
	Finished   int `json:"finished"`
	Refused    int `json:"refused"`
	Unanswered int `json:"unanswered"`
	Broken     int `json:"broken"`
	// Misrouted counts packets that reached a different target than the one that holds their flow.
	Misrouted int `json:"misrouted"`
	// BrokenBy counts broken flows by workload, cause and reason, RefusedBy refused flows by reason.
	BrokenBy  []Count `json:"broken_by"`
	RefusedBy []Count `json:"refused_by"`
	// ByWorkload counts how flows ended, by workload.
	ByWorkload map[string]FlowEndCounts `json:"by_workload"`
	// Violations lists the guarantees that the records show to be violated.
	Violations []string `json:"violations"`
}

// Summarize counts the records of a history and checks it for violations.
func Summarize(h history.History) Summary {
	s := Tally(h)
	s.Misrouted = len(history.Misrouted(h))
	for _, v := range history.Check(h) {
		s.Violations = append(s.Violations, v.String())
	}
	return s
}

// Tally counts the records of a history without checking it.
func Tally(h history.History) Summary {
	s := Summary{Requests: len(h.Outcomes), Flows: len(h.Flows), ByWorkload: make(map[string]FlowEndCounts)}
	for _, o := range h.Outcomes {
		s.addOutcome(o)
	}
	broken := make(map[string]int)
	refused := make(map[string]int)
	for _, f := range h.Flows {
		s.addFlow(f, broken, refused)
	}
	s.BrokenBy = sortedCounts(broken)
	s.RefusedBy = sortedCounts(refused)
	return s
}

// EndedSince returns the part of a history from start on, so that the warm-up is not counted: the flows and
// attempts that ended at or after start, and the packets of unknown flows that targets received at or after
// start. All runs and receipts are kept.
func EndedSince(h history.History, start time.Time) history.History {
	out := history.History{Runs: h.Runs, Receipts: h.Receipts}
	for _, o := range h.Outcomes {
		if !o.Done.Before(start) {
			out.Outcomes = append(out.Outcomes, o)
		}
	}
	for _, p := range h.UnknownFlowPackets {
		if !p.At.Before(start) {
			out.UnknownFlowPackets = append(out.UnknownFlowPackets, p)
		}
	}
	for _, f := range h.Flows {
		if !f.Ended.Before(start) {
			out.Flows = append(out.Flows, f)
		}
	}
	return out
}

func (s *Summary) addOutcome(o history.Outcome) {
	switch o.AttemptResult {
	case history.AttemptAnswered:
		s.Answered++
	case history.AttemptNotRun:
		s.NotRun++
	case history.AttemptUnknown:
		s.Unknown++
	}
}

func (s *Summary) addFlow(f history.FlowEnd, broken, refused map[string]int) {
	ends := s.ByWorkload[f.Workload]
	switch f.Result {
	case history.FlowFinished:
		s.Finished++
		ends.Finished++
	case history.FlowRefused:
		s.Refused++
		ends.Refused++
		refused[reasonOf(f)]++
	case history.FlowUnanswered:
		s.Unanswered++
		ends.Unanswered++
	case history.FlowBroken:
		s.Broken++
		ends.Broken++
		broken[f.Workload+"/"+f.Cause.String()+"/"+reasonOf(f)]++
	}
	s.ByWorkload[f.Workload] = ends
}

func reasonOf(f history.FlowEnd) string {
	if f.Reason == "" {
		return "no_reason"
	}
	return f.Reason
}

func sortedCounts(counts map[string]int) []Count {
	out := make([]Count, 0, len(counts))
	for name, n := range counts {
		out = append(out, Count{Name: name, Count: n})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Passed reports whether there were requests and all of them were answered, no flow was broken or
// unanswered, and no guarantee was violated.
func (s Summary) Passed() bool {
	return s.Answered > 0 && s.Answered == s.Requests &&
		s.Broken == 0 && s.Unanswered == 0 && len(s.Violations) == 0
}

// Print writes the summary as text.
func (s Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "requests  %d: answered %d, not run %d, unknown %d\n", s.Requests, s.Answered, s.NotRun, s.Unknown)
	fmt.Fprintf(w, "flows     %d: finished %d, refused %d, unanswered %d, broken %d\n", s.Flows, s.Finished, s.Refused, s.Unanswered, s.Broken)
	for _, c := range s.RefusedBy {
		fmt.Fprintf(w, "refused   %s: %d\n", c.Name, c.Count)
	}
	for _, c := range s.BrokenBy {
		fmt.Fprintf(w, "broken    %s: %d\n", c.Name, c.Count)
	}
	fmt.Fprintf(w, "misrouted %d packets\n", s.Misrouted)
	fmt.Fprintf(w, "promises broken: %d\n", len(s.Violations))
	for i, v := range s.Violations {
		if i == 10 {
			fmt.Fprintf(w, "  ... and %d more\n", len(s.Violations)-i)
			break
		}
		fmt.Fprintf(w, "  %s\n", v)
	}
}
