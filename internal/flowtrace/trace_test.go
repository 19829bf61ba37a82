package flowtrace

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const logA = `time=2026-01-01T00:00:01.000Z level=info msg="flow placed" entry=a1 op=flow event=placed flow=100.64.0.1:5>198.18.0.1:443/0000abcd target=t1 open=3
time=2026-01-01T00:00:01.100Z level=info msg="flow placed" entry=a1 op=flow event=placed flow=100.64.0.1:5>198.18.0.1:443/0000ffff target=t9
   12.5 a1 time=2026-01-01T00:00:03.000Z level=info msg="target probed" entry=a1 op=targets event=probed target=t1 connected=false took_ms=130
time=2026-01-01T00:00:03.050Z level=info msg="flow reset" entry=a1 op=flow event=reset flow=100.64.0.1:5>198.18.0.1:443/0000abcd kind=target_lost cause=repeat target=t1 misses=4
time=2026-01-01T00:00:03.500Z level=warn msg="lines on flows were left out" entry=a1 op=log event=left_out lines=17
not a line of a daemon
`

const logB = `time=2026-01-01T00:00:02.000Z level=info msg="flow learned" entry=b1 op=flow event=learned flow=100.64.0.1:5>198.18.0.1:443/- target=t1
time=2026-01-01T00:00:02.500Z level=info msg="target probed" entry=b1 op=targets event=probed target=t7 connected=true
`

const logC = `time=2026-01-01T01:00:00.000Z level=info msg="daemon serves" entry=c1 op=start event=started
`

func readTexts(texts ...string) *Log {
	l := &Log{}
	for _, text := range texts {
		So(l.Read(strings.NewReader(text)), ShouldBeNil)
	}
	return l
}

func TestTrace(t *testing.T) {
	Convey("A flow's history has the lines of all daemons in order, those about its target, and the gaps", t, func() {
		h := readTexts(logA, logB, logC).Trace("100.64.0.1:5>198.18.0.1:443/0000abcd")
		var events []string
		for _, line := range h.Lines {
			events = append(events, line.Entry+" "+line.Event)
		}
		So(events, ShouldResemble, []string{"a1 placed", "b1 learned", "a1 probed", "a1 reset"})
		So(h.Targets, ShouldResemble, []string{"t1"})
		So(h.OmittedLines["a1"], ShouldEqual, 17)
		So(h.WithoutLines, ShouldResemble, []string{"c1"})
		var out strings.Builder
		So(h.Write(&out), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "a1 flow/reset flow=100.64.0.1:5>198.18.0.1:443/0000abcd kind=target_lost cause=repeat target=t1 misses=4")
		So(out.String(), ShouldContainSubstring, "missing: a1 left out 17 lines")
		So(out.String(), ShouldContainSubstring, "missing: c1 has no line")
	})
	Convey("An id without a number matches every flow between these ports", t, func() {
		h := readTexts(logA).Trace("100.64.0.1:5>198.18.0.1:443")
		So(h.Targets, ShouldResemble, []string{"t1", "t9"})
	})
	Convey("A target's history has its state at the daemons and the flows that they ended because of it", t, func() {
		h := readTexts(logA, logB, logC).TraceTarget("t1")
		var events []string
		for _, line := range h.Lines {
			events = append(events, line.Entry+" "+line.Event)
		}
		So(events, ShouldResemble, []string{"a1 probed", "a1 reset"})
		So(h.OmittedLines["a1"], ShouldEqual, 17)
		So(h.WithoutLines, ShouldResemble, []string{"c1"})
	})
	Convey("The output says if no daemon has a line about the flow", t, func() {
		h := readTexts(logA).Trace("1.2.3.4:5>6.7.8.9:1/00000001")
		var out strings.Builder
		So(h.Write(&out), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "no daemon's log has a line on it")
	})
}

func TestSummary(t *testing.T) {
	Convey("Lines are counted by event and cause", t, func() {
		s := readTexts(logA, logB).Summary()
		So(s.Outcomes["flow placed"], ShouldEqual, 2)
		So(s.Outcomes["flow reset kind=target_lost cause=repeat"], ShouldEqual, 1)
		So(s.Outcomes["targets probed connected=false"], ShouldEqual, 1)
		So(s.OmittedLines, ShouldEqual, 17)
		So(s.Unparsed, ShouldEqual, 1)
	})
}
