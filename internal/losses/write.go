package losses

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const timeFormat = "15:04:05"

// Write prints the first rows of a table, and what is left out.
func (t *Table) Write(w io.Writer, most int) error {
	for _, g := range t.Gaps() {
		fmt.Fprintf(w, "no daemon ran from %s for %v at most; all %d started after it\n", g.From.Format(timeFormat+".000"), g.To.Sub(g.From).Round(time.Millisecond), g.Daemons)
	}
	rows := t.Rows()
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "count\tsecond\tcause\tservice\troute\tzone\tfirst")
	for _, r := range rows[:min(most, len(rows))] {
		fmt.Fprintf(tw, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Count, r.Second.Format(timeFormat), r.Cause, cmp.Or(r.Service, "-"), cmp.Or(r.Route, "-"), cmp.Or(r.Zone, "-"), r.Example)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	_, err := fmt.Fprintf(w, "%d rows not shown, %d lines beyond the bound of rows, %d lines left out by the daemons, %d lines of something else\n",
		max(len(rows)-most, 0), t.LeftOut, t.Omitted, t.Unparsed)
	return err
}
