package demo

import (
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/fireflypin/fireflypin/internal/bench"
	"github.com/fireflypin/fireflypin/internal/fleet"
	"github.com/fireflypin/fireflypin/internal/scenario"
)

// cursorUp is the format of the terminal escape sequence that moves the cursor up by a number of lines and
// clears everything below.
const cursorUp = "\x1b[%dA\x1b[J"

// table prints the samples of a run as text tables.
type table struct {
	out          io.Writer
	redraw       bool
	drawnLines   int
	lastMembers  []fleet.Status
	lastSampleAt float64

	mu    sync.Mutex
	notes []string
}

func newTable(out io.Writer, redraw bool) *table {
	return &table{out: out, redraw: redraw}
}

// noteFault adds a line about a fault below all following tables.
func (t *table) noteFault(f scenario.Fault, err error) {
	note := fmt.Sprintf("at %v: %s %s", f.At, f.Kind, f.Name)
	if f.For > 0 {
		note += fmt.Sprintf(" for %v", f.For)
	}
	if err != nil {
		note += ": " + err.Error()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notes = append(t.notes, note)
}

// draw prints one sample.
func (t *table) draw(s bench.Sample) {
	text := t.render(s)
	if t.redraw && t.drawnLines > 0 {
		fmt.Fprintf(t.out, cursorUp, t.drawnLines)
	}
	fmt.Fprint(t.out, text)
	t.drawnLines = strings.Count(text, "\n")
	t.lastMembers = s.Members
	t.lastSampleAt = s.AtSeconds
}

func (t *table) render(s bench.Sample) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%5.1f s   open flows %d   answered %d   refused %d   broken %d\n",
		s.AtSeconds, s.OpenFlows, s.Answered, s.Refused, s.Broken)
	fmt.Fprintf(&b, "%-8s %-5s %-9s %7s %11s %10s %7s %12s\n",
		"daemon", "zone", "state", "flows", "exceptions", "packets/s", "hops", "control B/s")
	for i, m := range s.Members {
		t.renderMember(&b, i, m, s.AtSeconds-t.lastSampleAt)
	}
	fmt.Fprintf(&b, "%-12s %8s %7s %6s %9s %8s %8s\n", "service", "targets", "open", "busy", "max/mean", "broken", "refused")
	for _, svc := range s.Services {
		fmt.Fprintf(&b, "%-12s %8d %7d %6d %9.3f %8d %8d\n",
			svc.Name, svc.Targets, svc.Open, svc.Busy, svc.FlowsMaxOverMean, svc.Broken, svc.Refused)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, note := range t.notes {
		fmt.Fprintln(&b, note)
	}
	return b.String()
}

func (t *table) renderMember(b *strings.Builder, i int, m fleet.Status, seconds float64) {
	var previous fleet.Status
	if i < len(t.lastMembers) {
		previous = t.lastMembers[i]
	}
	packets := m.Packets - previous.Packets
	forwardedPercent := 100 * float64(m.Forwards-previous.Forwards) / float64(max(packets, 1))
	fmt.Fprintf(b, "%-8s %-5s %-9s %7d %11d %10.0f %6.1f%% %12.0f\n",
		m.Name, m.Zone, m.State, m.Flows, m.Exceptions, float64(packets)/seconds, forwardedPercent,
		float64(m.ControlBytes-previous.ControlBytes)/seconds)
}
