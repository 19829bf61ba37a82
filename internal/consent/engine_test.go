package consent

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
)

var (
	zoneA   = netip.MustParseAddrPort("10.1.0.1:8166")
	zoneB   = netip.MustParseAddrPort("10.1.0.2:8166")
	further = netip.MustParseAddrPort("10.2.0.1:8166")
	start   = time.Unix(5000, 0)
)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestConfirmation(t *testing.T) {
	const old = time.Minute
	yes := func(from netip.AddrPort, ms int) answerAt {
		return answerAt{from, ms, Answer{Reach: old, InZone: 3, Later: []bool{false, false}}}
	}
	with := func(a answerAt, change func(*Answer)) answerAt {
		change(&a.Answer)
		return a
	}
	for _, c := range []struct {
		name    string
		answers []answerAt
		// at is when the result is asked for; want are the flows that are confirmed, nil if the question is open or was given
		// up.
		at   int
		want []flow.LastPacket
	}{
		{"all answer", []answerAt{yes(zoneA, 5), yes(zoneB, 6), yes(further, 20)}, 20, twoFlows},
		{"a daemon of the zone does not answer", []answerAt{yes(zoneA, 5), yes(further, 20)}, 190, nil},
		{"it answers too late", []answerAt{yes(zoneA, 5), yes(further, 20), yes(zoneB, 201)}, 201, nil},
		{"one answers twice", []answerAt{yes(zoneA, 5), yes(zoneA, 6), yes(further, 20)}, 100, nil},
		{"a daemon of another zone does not answer yet", []answerAt{yes(zoneA, 5), yes(zoneB, 6)}, 59, nil},
		{"a daemon of another zone does not answer", []answerAt{yes(zoneA, 5), yes(zoneB, 6)}, 60, twoFlows},
		{"one daemon received later packets of a flow", []answerAt{yes(zoneA, 5), with(yes(zoneB, 6), func(a *Answer) { a.Later = []bool{true, false} }), yes(further, 9)}, 9, twoFlows[1:]},
		{"one daemon of another zone did", []answerAt{yes(zoneA, 5), yes(zoneB, 6), with(yes(further, 9), func(a *Answer) { a.Later = []bool{false, true} })}, 9, twoFlows[:1]},
		{"one daemon has started after the last packet of a flow", []answerAt{yes(zoneA, 5), with(yes(zoneB, 6), func(a *Answer) { a.Reach = 2 * time.Second }), yes(further, 9)}, 9, twoFlows[:1]},
		{"one daemon knows a further one of the zone", []answerAt{yes(zoneA, 5), with(yes(zoneB, 6), func(a *Answer) { a.InZone = 4 }), yes(further, 9)}, 60, nil},
		{"an answer does not fit the question", []answerAt{yes(zoneA, 5), with(yes(zoneB, 6), func(a *Answer) { a.Later = a.Later[:1] }), yes(further, 9)}, 60, nil},
	} {
		Convey("When "+c.name, t, func() {
			e := NewEngine(7)
			questions := e.Ask(start, Request{Target: 1, At: start, Flows: twoFlows}, Others{Zone: []netip.AddrPort{zoneA, zoneB}, Further: []netip.AddrPort{further}})
			So(questions, ShouldResemble, []Question{{ID: 8, Flows: twoFlows}})
			So(e.Waits(start, 1), ShouldBeTrue)
			So(e.Waits(start, 2), ShouldBeFalse)
			for _, a := range c.answers {
				a.ID = 8
				e.HandleAnswer(after(a.ms), a.from, a.Answer)
			}
			confirmed := e.Confirmed(after(c.at))
			if c.want == nil {
				So(confirmed, ShouldBeEmpty)
				return
			}
			So(confirmed, ShouldResemble, []Request{{Target: 1, At: start, Flows: c.want}})
			So(e.Confirmed(after(c.at)), ShouldBeEmpty)
			So(e.Waits(after(c.at), 1), ShouldBeFalse)
		})
	}
}

type answerAt struct {
	from netip.AddrPort
	ms   int
	Answer
}

var twoFlows = []flow.LastPacket{{Flow: 11, Ack: 500, Since: time.Second}, {Flow: 12, Ack: 600, Since: 3 * time.Second}}

func TestQuestions(t *testing.T) {
	Convey("Many flows are split into questions that fit a frame, and answers to an earlier process or a cancelled question have no effect", t, func() {
		flows := make([]flow.LastPacket, MaxFlows+1)
		e := NewEngine(1 << 20)
		questions := e.Ask(start, Request{Target: 1, At: start, Flows: flows}, Others{Zone: []netip.AddrPort{zoneA}})
		So(questions, ShouldHaveLength, 2)
		const frame = 1400
		So(len(questions[0].AppendTo(nil)), ShouldBeLessThan, frame)
		answer := Answer{Reach: time.Hour, InZone: 2, Later: make([]bool, MaxFlows)}
		e.HandleAnswer(after(1), zoneA, answer)
		So(e.Confirmed(after(1)), ShouldBeEmpty)
		e.Cancel()
		answer.ID = questions[0].ID
		e.HandleAnswer(after(1), zoneA, answer)
		So(e.Confirmed(after(1)), ShouldBeEmpty)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add((&Question{ID: 1, Flows: twoFlows}).AppendTo(nil))
	f.Add((&Answer{ID: 1, Reach: time.Second, InZone: 3, Later: []bool{true, false}}).AppendTo(nil))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, body []byte) {
		if q, kind := DecodeQuestion(body); kind == errkind.None && string(q.AppendTo(nil)) != string(body) {
			t.Fatalf("%x decodes to %+v", body, q)
		}
		if a, kind := DecodeAnswer(body); kind == errkind.None && string(a.AppendTo(nil)) != string(body) {
			t.Fatalf("%x decodes to %+v", body, a)
		}
	})
}
