package capacity

import (
	"fmt"
	"io"
	"strings"
)

// WriteSlope writes a slope as a row of a Markdown table.
func WriteSlope(w io.Writer, s Slope) {
	var points []string
	for _, p := range s.Points {
		points = append(points, fmt.Sprintf("%.0f: %s", p.Size, quantity(p.Cost)))
	}
	fmt.Fprintf(w, "| %s | %s | %s | %s %s | %.0f %% |\n",
		s.ID, strings.Join(points, ", "), quantity(s.Line.Fixed), quantity(s.Line.PerUnit), s.Unit, 100*s.Line.Residual)
}

// WriteRoles writes items and their total as a Markdown table.
func WriteRoles(w io.Writer, items []Item) {
	fmt.Fprintln(w, "| role | what | mechanism | memory | core | sent B/s | received B/s | messages/s |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, i := range append(items, Total(items)) {
		fmt.Fprintf(w, "| %s | %s | %s | %s | %.3f %% | %s | %s | %.2f |\n",
			i.Role, i.Name, i.Mechanism, megabytes(i.Memory), 100*i.Core, quantity(i.Sent), quantity(i.Received), i.Messages)
	}
}

// WriteVariants writes the total cost of each variant, and the limits, as a Markdown table.
func WriteVariants(w io.Writer, s Slopes, variants []Variant) {
	fmt.Fprintln(w, "| settings | memory | core | sent B/s | received B/s |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, v := range variants {
		t := Total(Roles(s, v.Size))
		fmt.Fprintf(w, "| %s | %s | %.3f %% | %s | %s |\n", v.Name, megabytes(t.Memory), 100*t.Core, quantity(t.Sent), quantity(t.Received))
	}
	fmt.Fprintf(w, "| limit | %s | %.3f %% | %s | |\n", megabytes(MemoryLimit), 100*CoreLimit, quantity(SendLimit))
}

func megabytes(b float64) string {
	if b == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f MB", b/1e6)
}

// quantity formats a number with three significant digits and the suffix k or M for large numbers.
func quantity(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 1e6 || v <= -1e6:
		return fmt.Sprintf("%.3gM", v/1e6)
	case v >= 1e4 || v <= -1e4:
		return fmt.Sprintf("%.3gk", v/1e3)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}
