package tags

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
	"github.com/fireflypin/fireflypin/placement"
)

// eventRecorder records the events of flows.
type eventRecorder struct {
	sent  []FlowEvent
	after []time.Duration
	bytes []uint32
	ended []FlowEnd
}

func (r *eventRecorder) RequestSent(_ time.Time, f FlowEvent) { r.sent = append(r.sent, f) }

func (r *eventRecorder) ResponseBegan(_ time.Time, _ FlowEvent, after time.Duration, bytes uint32) {
	r.after, r.bytes = append(r.after, after), append(r.bytes, bytes)
}

func (r *eventRecorder) FlowEnded(_ time.Time, _ FlowEvent, end FlowEnd) {
	r.ended = append(r.ended, end)
}

// answerAll is a gate that gives each attempt the same answer.
type answerAll struct {
	decision Decision
	attempts []Attempt
	placed   []model.TargetID
	gaveUp   int
}

func (g *answerAll) Admit(_ time.Time, a *Attempt) Decision {
	g.attempts = append(g.attempts, *a)
	return g.decision
}
func (g *answerAll) GiveUp(time.Time, *Attempt) { g.gaveUp++ }
func (g *answerAll) Placed(_ time.Time, id model.TargetID, _ flow.PackedAddrPort) {
	g.placed = append(g.placed, id)
}

func (s *tagSite) engineWith(o Observer, g Gate) *Engine {
	e := New(Config{Policy: placement.NewNearest(placement.NearestConfig{Zone: model.Zone{Name: "a"}}), Epoch: s.now, Observer: o, Gate: g})
	s.publish(e)
	e.SetCurrent(true)
	return e
}

func TestObserver(t *testing.T) {
	Convey("An observer is notified of a flow's requests", t, func() {
		s, r := newTagSite(3), &eventRecorder{}
		e := s.engineWith(r, nil)
		c := s.caller(safeAddr).open(e)
		data := func() {
			c.send(e, 300)
			c.seq += 300
		}
		So(r.sent, ShouldBeEmpty)
		data()
		So(r.sent, ShouldHaveLength, 1)
		So(r.sent[0].Target, ShouldEqual, c.target)
		So(r.sent[0].Opened, ShouldBeTrue)
		So(r.sent[0].Requests, ShouldEqual, 1)
		Convey("and not of a request's further packets or retransmissions", func() {
			data()
			s.now = s.now.Add(300 * time.Millisecond)
			m := c.meta(packet.ACK, 300)
			m.Seq -= 300
			e.FromCaller(s.now, m, c.tag)
			So(r.sent, ShouldHaveLength, 1)
		})
		Convey("of the first acknowledged bytes of a response", func() {
			s.now = s.now.Add(70 * time.Millisecond)
			c.ack += 1200
			c.send(e, 0)
			c.ack += 800
			c.send(e, 0)
			So(r.after, ShouldResemble, []time.Duration{70 * time.Millisecond})
			So(r.bytes, ShouldResemble, []uint32{1200})
			Convey("also together with the next request", func() {
				data()
				s.now = s.now.Add(5 * time.Millisecond)
				c.ack += 100
				data()
				So(r.sent, ShouldHaveLength, 3)
				So(r.sent[2].Requests, ShouldEqual, 3)
				So(r.bytes, ShouldResemble, []uint32{1200, 100})
			})
		})
		Convey("and of the flow's end, once", func() {
			s.now = s.now.Add(10 * time.Millisecond)
			for range 2 {
				e.FromCaller(s.now, c.meta(packet.ACK|packet.FIN, 0), c.tag)
			}
			So(r.ended, ShouldHaveLength, 1)
			So(r.ended[0].Pending, ShouldBeTrue)
			So(r.ended[0].Closed, ShouldBeTrue)
			So(r.ended[0].SinceRequest, ShouldEqual, 10*time.Millisecond)
		})
		Convey("and of the end of a flow that its caller left", func() {
			s.now = s.now.Add(time.Minute)
			for range 16 {
				e.Tick(s.now)
			}
			So(r.ended, ShouldHaveLength, 1)
			So(r.ended[0].Closed, ShouldBeFalse)
		})
	})
	Convey("A flow that another daemon opened is observed from its first packet here", t, func() {
		s, r := newTagSite(3), &eventRecorder{}
		c := s.caller(safeAddr).open(s.engine())
		c.send(s.engineWith(r, nil), 300)
		So(r.sent, ShouldHaveLength, 1)
		So(r.sent[0].Opened, ShouldBeFalse)
	})
}

// TestFlowsClosedDuringOutage replays what a daemon sees after an outage of the whole fleet: callers gave up meanwhile and
// repeat their last data with a FIN, which targets answer with theirs.
func TestFlowsClosedDuringOutage(t *testing.T) {
	Convey("A packet that closes a flow is no request, and the target's FIN no response", t, func() {
		s, r := newTagSite(3), &eventRecorder{}
		opener, e := s.engine(), s.engineWith(r, nil)
		for range 50 {
			c := s.caller(safeAddr).open(opener)
			e.FromCaller(s.now, c.meta(packet.ACK|packet.FIN, 300), c.tag)
			c.seq, c.ack = c.seq+301, c.ack+1
			c.send(e, 0)
		}
		So(r.sent, ShouldBeEmpty)
		So(r.bytes, ShouldBeEmpty)
		Convey("nor if the daemon saw the flow before", func() {
			c := s.caller(safeAddr).open(e)
			e.FromCaller(s.now, c.meta(packet.ACK|packet.FIN, 300), c.tag)
			c.seq, c.ack = c.seq+301, c.ack+1
			c.send(e, 0)
			So(r.sent, ShouldBeEmpty)
			So(r.bytes, ShouldBeEmpty)
		})
	})
}

func TestGate(t *testing.T) {
	Convey("A gate decides on new flows only", t, func() {
		s, g := newTagSite(3), &answerAll{}
		e := s.engineWith(nil, g)
		c := s.caller(safeAddr)
		open := c.open(e)
		So(g.attempts, ShouldHaveLength, 1)
		So(g.attempts[0].Route.Name, ShouldEqual, "safe")
		So(g.attempts[0].Service.Name, ShouldEqual, "booking")
		So(g.placed, ShouldResemble, []model.TargetID{open.target})
		open.send(e, 300)
		So(g.attempts, ShouldHaveLength, 1)
		Convey("which it refuses truthfully", func() {
			g.decision = Decision{Answer: Refuse}
			v := s.caller(safeAddr).syn(e)
			So(v.Op, ShouldEqual, core.OpReset)
			So(v.Kind, ShouldEqual, errkind.ServiceShort)
			So(v.RetryAfter, ShouldBeGreaterThan, 0)
			So(g.placed, ShouldHaveLength, 1)
			So(e.OpenFlows(), ShouldEqual, 1)
		})
		Convey("which it keeps back", func() {
			g.decision = Decision{Answer: Wait, MaxWait: time.Second, Level: 1}
			c := s.caller(safeAddr)
			v := c.syn(e)
			So(v.Op, ShouldEqual, core.OpDrop)
			So(v.MaxWait, ShouldEqual, time.Second)
			So(v.Level, ShouldEqual, 1)
			m := c.meta(packet.SYN, 0)
			Convey("and whose copies it drops meanwhile, so that they reach no other target", func() {
				copied := *m
				copied.DuplicateSYN = true
				So(e.FromCaller(s.now, &copied, flowtag.None).Cause, ShouldEqual, CauseFirstSYNUnseen)
				g.decision = Decision{}
				So(e.FromCaller(s.now, &copied, flowtag.None).Cause, ShouldEqual, CauseFirstSYNUnseen)
				placed := e.FromWaiting(s.now, m)
				So(placed.Reason, ShouldEqual, Placed)
				So(e.FromCaller(s.now, &copied, flowtag.None).Target.ID, ShouldEqual, placed.Target.ID)
			})
			Convey("and places later", func() {
				g.decision = Decision{}
				v := e.FromWaiting(s.now, m)
				So(v.Op, ShouldEqual, core.OpForward)
				So(g.attempts[2].Waited, ShouldBeTrue)
			})
			Convey("or gives up", func() {
				So(e.GiveUp(s.now, m).Op, ShouldEqual, core.OpReset)
				So(g.gaveUp, ShouldEqual, 1)
			})
		})
		Convey("or keeps away from some zones", func() {
			g.decision = Decision{Full: []model.Zone{e.Target(open.target).Zone}}
			v := s.caller(safeAddr).syn(e)
			So(v.Op, ShouldEqual, core.OpReset)
			So(v.Kind, ShouldEqual, errkind.NoTargetReachable)
		})
	})
	Convey("A duplicate SYN goes to the flow's target whatever the gate says", t, func() {
		s, g := newTagSite(3), &answerAll{}
		e := s.engineWith(nil, g)
		c := s.caller(safeAddr)
		first := c.syn(e).Target.ID
		g.decision = Decision{Answer: Refuse}
		s.now = s.now.Add(200 * time.Millisecond)
		So(c.syn(e).Target.ID, ShouldEqual, first)
	})
}
