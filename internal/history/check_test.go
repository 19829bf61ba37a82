package history

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/packet"
)

func flowOf(port uint16) packet.FlowKey {
	return packet.FlowKey{
		Caller:  netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port),
		Service: netip.MustParseAddrPort("192.0.2.10:443"),
	}
}

// goodHistory returns the history of a request whose first attempt was refused and whose second attempt was
// answered.
func goodHistory() History {
	first := AttemptID{Request: 7, Attempt: 1}
	second := AttemptID{Request: 7, Attempt: 2}
	return History{
		Outcomes: []Outcome{
			{ID: first, Flow: flowOf(1), AttemptResult: AttemptNotRun},
			{ID: second, Flow: flowOf(2), AttemptResult: AttemptAnswered, AnswerTo: second, Complete: true},
		},
		Runs:     []Run{{ID: second, Target: "a", Flow: flowOf(2)}},
		Receipts: []Receipt{{Flow: flowOf(1), Target: "b"}, {Flow: flowOf(2), Target: "a", Bytes: 90}},
	}
}

func TestCheckFindsViolations(t *testing.T) {
	id := AttemptID{Request: 7, Attempt: 2}
	cases := []struct {
		name   string
		change func(h *History)
		want   []Rule
	}{
		{"nothing", func(*History) {}, nil},
		{"an attempt that ran on two targets", func(h *History) {
			h.Runs = append(h.Runs, Run{ID: id, Target: "b", Flow: flowOf(2)})
		}, []Rule{RuleDoubleRun, RuleAttemptTwice}},
		{"a refused attempt that ran", func(h *History) {
			h.Runs = append(h.Runs, Run{ID: AttemptID{Request: 7, Attempt: 1}, Target: "b", Flow: flowOf(1)})
		}, []Rule{RuleDoubleRun, RuleRefusedAttemptRan}},
		{"two runs of an idempotent request", func(h *History) {
			h.Outcomes[0].Idempotent, h.Outcomes[1].Idempotent = true, true
			h.Outcomes[0].AttemptResult = AttemptUnknown
			h.Runs = append(h.Runs, Run{ID: AttemptID{Request: 7, Attempt: 1}, Target: "b", Flow: flowOf(1)})
		}, nil},
		{"an answer to another request", func(h *History) { h.Outcomes[1].AnswerTo.Request = 8 }, []Rule{RuleWrongAnswer}},
		{"an incomplete answer", func(h *History) { h.Outcomes[1].Complete = false }, []Rule{RulePartialAnswer}},
		{"an answer without a run", func(h *History) { h.Runs = nil }, []Rule{RuleAnswerWithoutRun}},
		{"an answer before its run", func(h *History) {
			h.Outcomes[1].Sent, h.Outcomes[1].Done = time.Unix(10, 0), time.Unix(11, 0)
			h.Runs[0].Start = time.Unix(12, 0)
		}, []Rule{RuleOrder}},
		{"a run that began after another attempt of the request was answered", func(h *History) {
			h.Outcomes[0].AttemptResult = AttemptUnknown
			h.Outcomes[1].Sent, h.Outcomes[1].Done = time.Unix(10, 0), time.Unix(11, 0)
			h.Runs[0].Start = time.Unix(10, 5)
			h.Runs = append(h.Runs, Run{ID: AttemptID{Request: 7, Attempt: 1}, Target: "b", Flow: flowOf(1), Start: time.Unix(20, 0)})
		}, []Rule{RuleDoubleRun}},
		{"a flow that reached two targets", func(h *History) {
			h.Receipts = append(h.Receipts, Receipt{Flow: flowOf(2), Target: "b", Bytes: 1})
		}, []Rule{RuleSplitFlow}},
	}
	Convey("The check finds exactly the violations that were added", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				h := goodHistory()
				c.change(&h)
				var got []Rule
				for _, v := range Check(h) {
					got = append(got, v.Rule)
					So(v.String(), ShouldStartWith, v.Rule.String())
				}
				So(got, ShouldResemble, c.want)
			})
		}
	})
}

func TestNonLinearizableFindsViolations(t *testing.T) {
	Convey("The linearizability checker alone finds every violation on a request", t, func() {
		first, second := AttemptID{Request: 7, Attempt: 1}, AttemptID{Request: 7, Attempt: 2}
		for _, c := range []struct {
			name   string
			change func(h *History)
			want   []uint64
		}{
			{"nothing", func(*History) {}, nil},
			{"a double run", func(h *History) { h.Runs = append(h.Runs, Run{ID: second, Target: "b"}) }, []uint64{7}},
			{"a refused attempt that ran", func(h *History) { h.Runs = append(h.Runs, Run{ID: first, Target: "b"}) }, []uint64{7}},
			{"an answer without a run", func(h *History) { h.Runs = nil }, []uint64{7}},
			{"an idempotent request that ran for both attempts", func(h *History) {
				h.Outcomes[0].Idempotent, h.Outcomes[1].Idempotent = true, true
				h.Outcomes[0].AttemptResult = AttemptUnknown
				h.Runs = append(h.Runs, Run{ID: first, Target: "b"})
			}, nil},
		} {
			h := goodHistory()
			c.change(&h)
			So(nonLinearizable(h), ShouldResemble, c.want)
		}
	})
}

func TestMisrouted(t *testing.T) {
	Convey("A packet counts as misrouted if another target holds its flow", t, func() {
		h := goodHistory()
		h.UnknownFlowPackets = []UnknownFlowPacket{
			{Flow: flowOf(2), Target: "a"},
			{Flow: flowOf(2), Target: "b"},
			{Flow: flowOf(3), Target: "b"},
		}
		So(Misrouted(h), ShouldResemble, h.UnknownFlowPackets[1:2])
	})
}
