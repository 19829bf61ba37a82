package losses

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/flowtrace"
)

// second is the second of the n-th line's time.
func second(n int) string {
	return time.Date(2026, 12, 4, 10, 0, n, 500_000_000, time.UTC).Format(time.RFC3339Nano)
}

// tableOf reads a log.
func tableOf(text string) *Table {
	var t Table
	unparsed, err := flowtrace.Scan(strings.NewReader(text), t.Add)
	So(err, ShouldBeNil)
	t.Unparsed = unparsed
	return &t
}

// started returns the line of a daemon's start.
func started(at int, entry string) string {
	return fmt.Sprintf("time=%s level=info msg=\"daemon started\" entry=%s op=start event=started zone=r/%s\n", second(at), entry, entry[:1])
}

// flowLine returns a line on a flow.
func flowLine(at int, entry, event, fields string) string {
	return fmt.Sprintf("time=%s level=info msg=flow entry=%s op=flow event=%s %s\n", second(at), entry, event, fields)
}

func TestTable(t *testing.T) {
	Convey("Lines are counted by cause, second, service, route and zone, with the first flow as example", t, func() {
		table := tableOf(started(0, "a1") + started(0, "b1") +
			flowLine(1, "a1", "refused", "flow=one kind=service_short route=r") +
			flowLine(1, "a1", "refused", "flow=two kind=service_short route=r") +
			flowLine(1, "b1", "refused", "flow=three kind=service_short route=r") +
			flowLine(2, "a1", "refused", "flow=four kind=service_short route=r") +
			flowLine(2, "a1", "dropped", "flow=five kind=packet_outdated") +
			flowLine(2, "a1", "dropped", "flow=six kind=not_ready") +
			flowLine(3, "a1", "reset", "flow=seven service=s target=t") +
			flowLine(3, "a1", "placed", "flow=eight service=s target=t"))
		rows := table.Rows()
		So(rows, ShouldHaveLength, 6)
		So(rows[0].Count, ShouldEqual, 2)
		So(rows[0].Cause, ShouldEqual, "refused: service_short")
		So(rows[0].Route, ShouldEqual, "r")
		So(rows[0].Zone, ShouldEqual, "r/a")
		So(rows[0].Example, ShouldEqual, "one")
		causes := make(map[string]int)
		for _, r := range rows {
			causes[r.Cause] += r.Count
		}
		So(causes, ShouldResemble, map[string]int{
			"refused: service_short": 4, "duplicate SYN dropped": 1, "lists not complete": 1, "target silent, flow reset": 1,
		})
	})
	Convey("A time in which no daemon ran is told, and the restart of one is not", t, func() {
		table := tableOf(started(0, "a1") + started(0, "b1") + started(5, "a1") +
			flowLine(10, "a1", "placed", "flow=x") + flowLine(11, "b1", "placed", "flow=y") +
			started(13, "a1") + started(14, "b1"))
		So(table.Gaps(), ShouldHaveLength, 1)
		g := table.Gaps()[0]
		So(g.Daemons, ShouldEqual, 2)
		So(g.To.Sub(g.From), ShouldEqual, 2*time.Second)
	})
	Convey("What cannot be read is counted", t, func() {
		good := flowLine(1, "a1", "dropped", "flow=x kind=packet_outdated")
		for _, c := range []struct {
			name, text     string
			rows, unparsed int
		}{
			{"an empty log", "", 0, 0},
			{"a line that was cut", good + good[:len(good)/8], 1, 1},
			{"text of something else", "panic: no\n\n" + good, 1, 2},
			{"a line that is too long", good + "time=" + strings.Repeat("x", 3<<20) + "\n" + good, 1, 1},
			{"a line of an older release, without fields that came later", "time=" + second(1) + " level=info op=flow event=reset flow=x\n", 1, 0},
			{"bytes that are no text", "\xff\xfe\x00\n" + good, 1, 1},
		} {
			Convey(c.name, func() {
				table := tableOf(c.text)
				So(table.Rows(), ShouldHaveLength, c.rows)
				So(table.Unparsed, ShouldEqual, c.unparsed)
				So(table.Write(&strings.Builder{}, 10), ShouldBeNil)
			})
		}
	})
	Convey("Rows are bounded, and what is beyond the bound is counted", t, func() {
		var table Table
		for i := range maxRows + 50 {
			line := flowtrace.Line{Time: time.Unix(int64(i), 0), Entry: fmt.Sprint("e", i), Op: "flow", Event: "reset"}
			table.Add(&line)
		}
		So(table.Rows(), ShouldHaveLength, maxRows)
		So(table.LeftOut, ShouldEqual, 50)
		So(len(table.entries), ShouldEqual, maxEntries)
		var out strings.Builder
		So(table.Write(&out, 3), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "50 lines beyond the bound")
	})
}
