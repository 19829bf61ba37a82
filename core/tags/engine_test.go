package tags

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/admission"
	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
	"github.com/fireflypin/fireflypin/placement"
)

var (
	safeAddr   = netip.MustParseAddrPort("198.18.0.1:8443")
	unsafeAddr = netip.MustParseAddrPort("198.18.0.1:8080")
	splitAddr  = netip.MustParseAddrPort("198.18.0.2:8443")
)

// tagSite holds the published lists and the clock of a test.
type tagSite struct {
	directory *directory.Directory
	now       time.Time
	port      uint16
}

func newTagSite(targets int) *tagSite {
	s := &tagSite{directory: directory.New(directory.Config{}), now: time.Unix(5000, 0), port: 1024}
	one := func(name string) []directory.ShareSpec { return []directory.ShareSpec{{Service: name, Weight: 1}} }
	s.directory.SetPlan(&directory.Plan{
		Version:  1,
		Services: []directory.ServiceSpec{{Name: "booking", MaxConnections: 2000}, {Name: "brochure", MaxConnections: 2000}},
		Routes: []directory.RouteSpec{
			{Name: "safe", Address: safeAddr, Kind: model.RequestSafe, Shares: one("booking")},
			{Name: "unsafe", Address: unsafeAddr, Kind: model.RequestUnsafe, Shares: one("booking")},
			{Name: "split", Address: splitAddr, Kind: model.RequestSafe, Shares: []directory.ShareSpec{{Service: "booking", Weight: 90}, {Service: "brochure", Weight: 10}}},
		},
	})
	for i := range targets {
		s.register("booking", i)
		s.register("brochure", i)
	}
	return s
}

func (s *tagSite) register(service string, i int) {
	s.directory.Register(s.now, s.registration(service, i))
}

func (s *tagSite) registration(service string, i int) directory.Registration {
	last := byte(i)
	if service == "brochure" {
		last += 100
	}
	return directory.Registration{
		Name:      fmt.Sprintf("%s-%02x", service, i),
		Service:   service,
		Zone:      "a",
		Address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, last}), 8080),
		Slots:     3,
		StartedAt: time.UnixMilli(int64(1000 + i)),
	}
}

// engine returns the engine of a daemon that has just started with the current lists.
func (s *tagSite) engine() *Engine { return s.engineIn("a", nil) }

// engineIn returns the engine of a daemon in a zone; requestProbe receives its probe requests.
func (s *tagSite) engineIn(zone string, requestProbe func(*model.Target)) *Engine {
	e := New(Config{
		Policy:       placement.NewNearest(placement.NearestConfig{Zone: model.Zone{Name: zone}}),
		Epoch:        s.now,
		RequestProbe: requestProbe,
	})
	s.publish(e)
	e.SetCurrent(true)
	return e
}

func (s *tagSite) publish(e *Engine) {
	lists := s.directory.Snapshot(s.now)
	e.ApplyLists(s.now, lists, admission.NewTable(lists))
}

// tick runs two ticks close together, since a single tick after a long gap checks no half-open flows.
func (s *tagSite) tick(e *Engine) []FlowReset {
	resets := s.tickAt(e, s.now.Add(-stalledTickGap/2))
	return append(resets, s.tickAt(e, s.now)...)
}

// tickAt runs a tick and returns the resets of a daemon whose peers have received no later packets. Nothing happens between the
// question and the answers, so all candidates have to be reset: what must not be reset must be no candidate either.
func (s *tagSite) tickAt(e *Engine, now time.Time) []FlowReset {
	var resets []FlowReset
	for _, id := range e.Tick(now) {
		request := e.ResetCandidates(now, id)
		confirmed := e.ResetConfirmed(now, request)
		So(len(confirmed), ShouldEqual, len(request.Flows))
		resets = append(resets, confirmed...)
	}
	return resets
}

// caller is the client side of a flow.
type caller struct {
	site     *tagSite
	src, dst netip.AddrPort
	seq, ack uint32
	tag      flowtag.Tag
	target   model.TargetID
}

func (s *tagSite) caller(dst netip.AddrPort) *caller {
	s.port++
	return &caller{site: s, src: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), s.port), dst: dst, seq: 1000, ack: 0}
}

func (c *caller) meta(flags packet.Flags, data int) *packet.Meta {
	return &packet.Meta{Src: c.src, Dst: c.dst, Flags: flags, Seq: c.seq, Ack: c.ack, PayloadLen: data}
}

// syn sends the flow's first SYN or a duplicate of it.
func (c *caller) syn(e *Engine) Verdict {
	v := e.FromCaller(c.site.now, c.meta(packet.SYN, 0), flowtag.None)
	if v.Op == core.OpForward {
		c.tag, c.target = v.Tag, v.Target.ID
	}
	return v
}

// open opens the flow; the target answers at once.
func (c *caller) open(e *Engine) *caller {
	c.syn(e)
	return c.finishHandshake(e)
}

// finishHandshake acknowledges the target's answer to the SYN.
func (c *caller) finishHandshake(e *Engine) *caller {
	c.seq++
	c.ack = 5000
	c.site.now = c.site.now.Add(2 * time.Millisecond)
	c.send(e, 0)
	return c
}

// send sends a packet of the open flow with data bytes of payload.
func (c *caller) send(e *Engine, data int) Verdict {
	return e.FromCaller(c.site.now, c.meta(packet.ACK, data), c.tag)
}

// request sends a request, which the target answers after 40 ms, and acknowledges the answer.
func (c *caller) request(e *Engine) Verdict {
	v := c.send(e, 100)
	c.seq += 100
	c.ack += 2000
	c.site.now = c.site.now.Add(40 * time.Millisecond)
	c.send(e, 0)
	return v
}

func TestTagsSteerWithoutRecord(t *testing.T) {
	Convey("A daemon that has just started steers the packets of open flows to their targets", t, func() {
		s := newTagSite(14)
		first := s.engine()
		for range 200 {
			c := s.caller(safeAddr).open(first)
			v := c.send(s.engine(), 100)
			So(v.Op, ShouldEqual, core.OpForward)
			So(v.Target.ID, ShouldEqual, c.target)
			So(v.Tag, ShouldEqual, c.tag)
		}
	})
	Convey("A flow stays with its target", t, func() {
		for _, c := range []struct {
			name   string
			change func(s *tagSite, r directory.Registration)
		}{
			{"that is draining", func(s *tagSite, r directory.Registration) {
				r.Draining = true
				s.directory.Register(s.now, r)
			}},
			{"whose registration ended", func(s *tagSite, r directory.Registration) {
				s.directory.EndRegistration(s.now, r.Name)
			}},
			{"whose registration ended long ago", func(s *tagSite, r directory.Registration) {
				s.directory.EndRegistration(s.now, r.Name)
				s.now = s.now.Add(30 * time.Second)
			}},
			{"that was started again under the same name", func(s *tagSite, r directory.Registration) {
				r.StartedAt = r.StartedAt.Add(time.Hour)
				s.directory.Register(s.now, r)
			}},
			{"whose address was reassigned to another service", func(s *tagSite, r directory.Registration) {
				s.directory.EndRegistration(s.now, r.Name)
				other := s.registration("brochure", 77)
				other.Address = r.Address
				s.directory.Register(s.now, other)
			}},
			{"while other targets join", func(s *tagSite, _ directory.Registration) {
				for i := 20; i < 60; i++ {
					s.register("booking", i)
				}
			}},
		} {
			Convey(c.name, func() {
				s := newTagSite(4)
				known := s.engine()
				flow := s.caller(safeAddr).open(known)
				for i := range 4 {
					if r := s.registration("booking", i); s.directory.ID(r.Name) == flow.target {
						c.change(s, r)
					}
				}
				s.publish(known)
				for _, e := range []*Engine{known, s.engine()} {
					v := flow.send(e, 100)
					So(v.Op, ShouldEqual, core.OpForward)
					So(v.Target.ID, ShouldEqual, flow.target)
				}
			})
		}
	})
	Convey("A packet with an unknown tag or none is dropped and not reset, since its target may live", t, func() {
		s := newTagSite(4)
		e := s.engine()
		c := s.caller(safeAddr)
		for _, tag := range []flowtag.Tag{flowtag.None, 1, 0xffffffff} {
			c.tag = tag
			v := c.send(e, 100)
			So(v.Op, ShouldEqual, core.OpDrop)
			So(v.Kind, ShouldEqual, errkind.TargetLost)
		}
	})
}

func TestTagsAdmission(t *testing.T) {
	Convey("A flow to an address without a route is refused", t, func() {
		s := newTagSite(4)
		v := s.caller(netip.MustParseAddrPort("198.18.0.9:1")).syn(s.engine())
		So(v.Op, ShouldEqual, core.OpReset)
		So(v.Kind, ShouldEqual, errkind.NoSuchService)
	})
	Convey("A daemon whose lists may be outdated opens no flow but steers open ones", t, func() {
		s := newTagSite(4)
		e := s.engine()
		open := s.caller(safeAddr).open(e)
		e.SetCurrent(false)
		So(s.caller(safeAddr).syn(e).Op, ShouldEqual, core.OpDrop)
		So(open.send(e, 10).Op, ShouldEqual, core.OpForward)
		So(e.Ready(), ShouldBeFalse)
	})
	Convey("New flows are split by weight, and all daemons choose the same service for a flow", t, func() {
		s := newTagSite(8)
		a, b := s.engine(), s.engine()
		brochures := 0
		const flows = 10_000
		for range flows {
			c := s.caller(splitAddr)
			v := c.syn(a)
			So(c.syn(b).Target.Service, ShouldEqual, v.Target.Service)
			if v.Target.Service == "brochure" {
				brochures++
			}
		}
		So(float64(brochures)/flows, ShouldBeBetween, 0.08, 0.12)
	})
	Convey("A draining or unregistered target gets no new flow", t, func() {
		s := newTagSite(3)
		r := s.registration("booking", 0)
		r.Draining = true
		s.directory.Register(s.now, r)
		s.directory.EndRegistration(s.now, s.registration("booking", 1).Name)
		e := s.engine()
		for range 200 {
			So(s.caller(safeAddr).syn(e).Target.Name, ShouldEqual, "booking-02")
		}
	})
}

func TestTagsDuplicateSYN(t *testing.T) {
	Convey("A duplicate SYN", t, func() {
		s := newTagSite(8)
		e := s.engine()
		c := s.caller(safeAddr)
		first := c.syn(e)
		Convey("goes to the same target while that one answers other flows", func() {
			s.now = s.now.Add(100 * time.Millisecond)
			e.Loads().Alive(s.now, first.Target.ID)
			s.now = s.now.Add(100 * time.Millisecond)
			again := c.syn(e)
			So(again.Reason, ShouldEqual, Repeated)
			So(again.Target.ID, ShouldEqual, first.Target.ID)
			Convey("and so does the second duplicate: the first target may only be slow to answer, and then two targets would answer the flow", func() {
				s.now = s.now.Add(400 * time.Millisecond)
				So(c.syn(e).Target.ID, ShouldEqual, first.Target.ID)
			})
		})
		Convey("goes to the same target while that one is unresponsive", func() {
			s.now = s.now.Add(200 * time.Millisecond)
			So(c.syn(e).Target.ID, ShouldEqual, first.Target.ID)
		})
		Convey("goes to the same target after a probe did not find that one, which may have got the first SYN before", func() {
			e.Probed(s.now.Add(100*time.Millisecond), first.Target.ID, placement.ProbeNoAnswer)
			s.now = s.now.Add(200 * time.Millisecond)
			again := c.syn(e)
			So(again.Reason, ShouldEqual, Repeated)
			So(again.Target.ID, ShouldEqual, first.Target.ID)
		})
		Convey("that reached another target, by a daemon of an earlier release, does not take the flow there", func() {
			c.tag, c.seq, c.ack = first.Tag, c.seq+1, 700
			So(c.send(e, 0).Target.ID, ShouldEqual, first.Target.ID)
			// After the second target's answer the caller returns that one's tag.
			for _, svc := range e.Lists().Services {
				for _, t := range svc.Targets {
					if t.Service == first.Target.Service && t.ID != first.Target.ID {
						c.tag = e.activeLists.Load().tags.Tag(t.ID)
					}
				}
			}
			So(c.tag, ShouldNotEqual, first.Tag)
			v := c.send(e, 100)
			So(v.Target.ID, ShouldEqual, first.Target.ID)
			So(v.Tag, ShouldEqual, first.Tag)
		})
		Convey("goes to the same target through another daemon", func() {
			So(c.syn(s.engine()).Target.ID, ShouldEqual, first.Target.ID)
		})
	})
	Convey("A SYN with another sequence number on the same ports opens a new flow", t, func() {
		s := newTagSite(8)
		e := s.engine()
		c := s.caller(safeAddr).open(e)
		c.seq += 100_000
		So(c.syn(e).Reason, ShouldEqual, Placed)
		So(e.OpenFlows(), ShouldEqual, 1)
	})
}

// failedTargetSite is a site with open flows, one of whose targets has failed without notice.
type failedTargetSite struct {
	*tagSite
	engine *Engine
	flows  []*caller
	failed model.TargetID
}

// newFailedTargetSite opens flows to dst. The target of the first one is the failed target.
func newFailedTargetSite(dst netip.AddrPort, flows int) *failedTargetSite {
	s := &failedTargetSite{tagSite: newTagSite(4)}
	s.engine = s.tagSite.engine()
	for range flows {
		s.flows = append(s.flows, s.caller(dst).open(s.engine))
	}
	s.failed = s.flows[0].target
	return s
}

// answerOthers lets the flows of the targets that have not failed send requests, which are answered.
func (s *failedTargetSite) answerOthers() {
	for _, c := range s.flows {
		if c.target != s.failed {
			c.request(s.engine)
		}
	}
}

func (s *failedTargetSite) flowsOfFailed() []*caller {
	var out []*caller
	for _, c := range s.flows {
		if c.target == s.failed {
			out = append(out, c)
		}
	}
	return out
}

// retransmitTwice makes n flows of the failed target send data and retransmit it twice; it returns the last verdict
// on each.
func (s *failedTargetSite) retransmitTwice(n int) []Verdict {
	waiting := s.flowsOfFailed()[:n]
	out := make([]Verdict, n)
	for _, c := range waiting {
		c.send(s.engine, 100)
	}
	for _, wait := range []time.Duration{200, 400} {
		start := s.now
		s.answerOthers()
		s.now = start.Add(wait * time.Millisecond)
		for i, c := range waiting {
			out[i] = c.send(s.engine, 100)
		}
	}
	return out
}

func TestUnresponsiveTarget(t *testing.T) {
	Convey("Callers of a failed target are reset in time", t, func() {
		Convey("An idempotent request is reset at its retransmission, and idle flows at the next tick", func() {
			s := newFailedTargetSite(safeAddr, 40)
			failed := len(s.flowsOfFailed())
			last := s.retransmitTwice(3)
			So(last[2].Op, ShouldEqual, core.OpReset)
			So(last[2].Kind, ShouldEqual, errkind.TargetLost)
			resets := s.tickAt(s.engine, s.now)
			So(len(resets), ShouldBeBetween, failed-4, failed)
			for _, r := range resets {
				So(r.Target, ShouldEqual, s.failed)
				So(r.Service, ShouldEqual, safeAddr)
			}
			So(s.tickAt(s.engine, s.now), ShouldBeEmpty)
		})
		Convey("A request that is not idempotent is not reset while the target is registered; idle flows are", func() {
			s := newFailedTargetSite(unsafeAddr, 40)
			failed := len(s.flowsOfFailed())
			for _, v := range s.retransmitTwice(3) {
				So(v.Op, ShouldEqual, core.OpForward)
			}
			So(len(s.tickAt(s.engine, s.now)), ShouldEqual, failed-3)
			Convey("and is reset after the registration has ended", func() {
				s.directory.EndRegistration(s.now, s.engine.Target(s.failed).Name)
				s.publish(s.engine)
				s.answerOthers()
				s.now = s.now.Add(700 * time.Millisecond)
				s.answerOthers()
				So(s.flowsOfFailed()[0].send(s.engine, 100).Op, ShouldEqual, core.OpReset)
			})
		})
	})
	Convey("No flow is reset", t, func() {
		for _, c := range []struct {
			name string
			run  func(s *failedTargetSite)
		}{
			{"if only one flow retransmits", func(s *failedTargetSite) { s.retransmitTwice(1); s.retransmitTwice(1) }},
			{"if the target answers any flow", func(s *failedTargetSite) {
				waiting := s.flowsOfFailed()
				for range 4 {
					waiting[0].send(s.engine, 100)
					waiting[1].send(s.engine, 100)
					s.now = s.now.Add(200 * time.Millisecond)
					s.answerOthers()
					waiting[2].request(s.engine)
				}
			}},
			{"if a slow target makes callers retransmit once", func(s *failedTargetSite) {
				for _, c := range s.flowsOfFailed() {
					c.send(s.engine, 100)
				}
				start := s.now
				s.answerOthers()
				s.now = start.Add(200 * time.Millisecond)
				for _, c := range s.flowsOfFailed() {
					c.send(s.engine, 100)
				}
			}},
			{"if no target answers, since the fault is then likely to be at this daemon", func(s *failedTargetSite) {
				for _, c := range s.flows {
					c.send(s.engine, 100)
				}
				for _, wait := range []time.Duration{200, 400, 800} {
					s.now = s.now.Add(wait * time.Millisecond)
					for _, c := range s.flows {
						So(c.send(s.engine, 100).Op, ShouldEqual, core.OpForward)
					}
				}
			}},
		} {
			Convey(c.name, func() {
				s := newFailedTargetSite(safeAddr, 40)
				c.run(s)
				So(s.tickAt(s.engine, s.now), ShouldBeEmpty)
			})
		}
	})
}

// cutSite is a daemon in zone a that has flows to targets of zones a and b.
type cutSite struct {
	*tagSite
	engine *Engine
	// near and far are flows to targets of the daemon's own zone and of the other zone.
	near, far []*caller
}

func newCutSite(dst netip.AddrPort) *cutSite {
	s := &cutSite{tagSite: newTagSite(6)}
	for i := 20; i < 32; i++ {
		r := s.registration("booking", i)
		r.Zone = "b"
		s.directory.Register(s.now, r)
	}
	remote := s.engineIn("b", nil)
	s.engine = s.tagSite.engine()
	for range 40 {
		if c := s.caller(dst).open(s.engine); s.engine.Target(c.target).Zone.Name == "a" {
			s.near = append(s.near, c)
		}
		if c := s.caller(dst).open(remote); remote.Target(c.target).Zone.Name == "b" {
			c.request(s.engine)
			s.far = append(s.far, c)
		}
	}
	return s
}

// cut makes the far flows send data and retransmit it until they are reset, while probes of their targets fail. It
// returns the last verdict on each.
func (s *cutSite) cut(nearAnswers bool) []Verdict {
	s.now = s.now.Add(time.Second)
	out := make([]Verdict, len(s.far))
	for _, wait := range []time.Duration{0, 200, 400, 800} {
		s.now = s.now.Add(wait * time.Millisecond)
		for _, c := range s.near {
			if nearAnswers {
				c.request(s.engine)
			} else {
				c.send(s.engine, 100)
			}
		}
		for i, c := range s.far {
			if out[i].Op != core.OpReset {
				out[i] = c.send(s.engine, 100)
				s.engine.Probed(s.now, c.target, placement.ProbeNoAnswer)
			}
		}
	}
	return out
}

func TestZoneCutOff(t *testing.T) {
	Convey("While a zone is cut off, callers of flows across the cut are reset in time", t, func() {
		Convey("if their requests are idempotent", func() {
			s := newCutSite(safeAddr)
			So(len(s.far), ShouldBeGreaterThan, 12)
			for _, v := range s.cut(true) {
				So(v.Op, ShouldEqual, core.OpReset)
			}
		})
		Convey("but not if a request that is not idempotent may have run", func() {
			s := newCutSite(unsafeAddr)
			for _, v := range s.cut(true) {
				So(v.Op, ShouldEqual, core.OpForward)
			}
		})
		Convey("but not while the targets of the daemon's own zone don't answer either", func() {
			s := newCutSite(safeAddr)
			for _, v := range s.cut(false) {
				So(v.Op, ShouldEqual, core.OpForward)
			}
		})
	})
}

func TestRefusingTarget(t *testing.T) {
	Convey("A target whose machine refuses callers' new flows is suspected and probed; after a failed probe its flows are reset and it gets no new ones", t, func() {
		s := newTagSite(4)
		var probeRequests []string
		e := s.engineIn("a", func(t *model.Target) { probeRequests = append(probeRequests, t.Name) })
		var flows []*caller
		for range 40 {
			flows = append(flows, s.caller(unsafeAddr).open(e))
		}
		s.now = s.now.Add(time.Second)
		s.tick(e)
		So(probeRequests, ShouldBeEmpty)

		refused := s.caller(safeAddr)
		refused.syn(e)
		failed := refused.target
		start := s.now
		for _, c := range flows {
			if c.target != failed {
				c.request(e)
			}
		}
		s.now = start.Add(130 * time.Millisecond)
		So(s.tick(e), ShouldBeEmpty)
		So(probeRequests, ShouldResemble, []string{e.Target(failed).Name})
		e.Probed(s.now, failed, placement.ProbeNoAnswer)
		resets := s.tick(e)
		So(len(resets), ShouldBeGreaterThan, 5)
		for _, r := range resets {
			So(r.Target, ShouldEqual, failed)
		}
		for range 50 {
			c := s.caller(safeAddr)
			c.syn(e)
			So(c.target, ShouldNotEqual, failed)
		}
	})
}

func TestLateHandshakesEverywhere(t *testing.T) {
	newEngine := func() (*tagSite, *Engine, *[]string) {
		s := newTagSite(14)
		probeRequests := new([]string)
		e := s.engineIn("a", func(t *model.Target) { *probeRequests = append(*probeRequests, t.Name) })
		return s, e, probeRequests
	}
	completeHandshakes := func(s *tagSite, e *Engine) {
		for range 30 {
			s.caller(safeAddr).open(e)
		}
		s.now = s.now.Add(time.Second)
		s.tick(e)
	}
	Convey("When a third of the handshakes are late after a power outage, no target is probed", t, func() {
		s, e, probeRequests := newEngine()
		for range 20 {
			for i := range 3 {
				c := s.caller(safeAddr)
				c.syn(e)
				if i > 0 {
					c.finishHandshake(e)
				}
			}
			s.now = s.now.Add(100 * time.Millisecond)
			s.tick(e)
		}
		So(*probeRequests, ShouldBeEmpty)
		Convey("until handshakes complete in time again", func() {
			completeHandshakes(s, e)
			*probeRequests = nil
			c := s.caller(safeAddr)
			c.syn(e)
			s.now = s.now.Add(130 * time.Millisecond)
			s.tick(e)
			So(*probeRequests, ShouldResemble, []string{e.Target(c.target).Name})
		})
	})
	Convey("When a tenth of the targets fail at once, all failed ones that new flows went to are probed", t, func() {
		s, e, probeRequests := newEngine()
		completeHandshakes(s, e)
		failed := map[model.TargetID]bool{s.directory.ID("booking-00"): true, s.directory.ID("booking-01"): true}
		probeExpected := make(map[string]bool)
		for range 40 {
			c := s.caller(safeAddr)
			c.syn(e)
			if failed[c.target] {
				probeExpected[e.Target(c.target).Name] = true
			} else {
				c.finishHandshake(e)
			}
			s.now = s.now.Add(10 * time.Millisecond)
		}
		s.now = s.now.Add(130 * time.Millisecond)
		s.tick(e)
		So(probeExpected, ShouldNotBeEmpty)
		So(len(*probeRequests), ShouldEqual, len(probeExpected))
	})
}

func TestStalledDaemonSkipsHandshakeCheck(t *testing.T) {
	Convey("Half-open flows are not checked at the first tick after a stall, since the callers' packets may be unread in the socket", t, func() {
		s := newTagSite(4)
		probeRequests := 0
		e := s.engineIn("a", func(*model.Target) { probeRequests++ })
		for range 30 {
			s.caller(safeAddr).open(e)
		}
		s.now = s.now.Add(time.Second)
		s.tick(e)
		late, unanswered := s.caller(safeAddr), s.caller(safeAddr)
		late.syn(e)
		unanswered.syn(e)
		s.now = s.now.Add(300 * time.Millisecond)
		e.Tick(s.now)
		So(probeRequests, ShouldEqual, 0)
		late.finishHandshake(e)
		s.now = s.now.Add(stalledTickGap / 2)
		e.Tick(s.now)
		So(probeRequests, ShouldEqual, 1)
	})
}

func TestSlowHandshakeTimeout(t *testing.T) {
	Convey("A target with slow handshakes gets a longer handshake timeout, a target with fast ones does not", t, func() {
		for _, c := range []struct {
			handshake, waited time.Duration
			probeRequests     int
		}{
			{2 * time.Millisecond, 70 * time.Millisecond, 1},
			{20 * time.Millisecond, 70 * time.Millisecond, 0},
			{20 * time.Millisecond, 130 * time.Millisecond, 1},
			{40 * time.Millisecond, 130 * time.Millisecond, 0},
		} {
			s := newTagSite(1)
			probeRequests := 0
			e := s.engineIn("a", func(*model.Target) { probeRequests++ })
			for range 30 {
				flow := s.caller(safeAddr)
				flow.syn(e)
				s.now = s.now.Add(c.handshake - 2*time.Millisecond)
				flow.finishHandshake(e)
				s.tick(e)
			}
			s.now = s.now.Add(time.Second)
			s.tick(e)
			s.caller(safeAddr).syn(e)
			for range 3 {
				s.now = s.now.Add(c.waited / 3)
				s.tick(e)
			}
			So(probeRequests, ShouldEqual, c.probeRequests)
		}
	})
}

// TestHandshakeThroughOtherDaemon guards against the time that a flow spent at another daemon being taken for its target's
// handshake.
func TestHandshakeThroughOtherDaemon(t *testing.T) {
	Convey("A flow whose handshake and first request passed another daemon says nothing about its target's handshakes", t, func() {
		s := newTagSite(1)
		e, other := s.engine(), s.engine()
		usual := s.caller(safeAddr).open(e)
		handshake := e.Loads().Handshake(usual.target)
		moved := s.caller(safeAddr)
		moved.syn(e)
		moved.finishHandshake(other)
		moved.request(other)
		s.now = s.now.Add(2 * time.Second)
		So(moved.send(e, 100).Target.ID, ShouldEqual, usual.target)
		So(e.Loads().Handshake(usual.target), ShouldEqual, handshake)
	})
}

func TestTargetReportedAbsent(t *testing.T) {
	Convey("A target that another daemon and a probe of this one did not find gets no new flow, and its idle flows are reset", t, func() {
		s := newFailedTargetSite(safeAddr, 40)
		idle := len(s.flowsOfFailed())
		start := s.now
		s.answerOthers()
		s.now = start.Add(500 * time.Millisecond)
		s.answerOthers()
		s.engine.NotFound(s.now, s.failed, placement.ProbeNoAnswer)
		So(len(s.tickAt(s.engine, s.now)), ShouldEqual, idle)
		for range 50 {
			So(s.caller(safeAddr).syn(s.engine).Target.ID, ShouldNotEqual, s.failed)
		}
		Convey("until it answers", func() {
			s.engine.Loads().Alive(s.now, s.failed)
			used := false
			for range 50 {
				used = used || s.caller(safeAddr).syn(s.engine).Target.ID == s.failed
			}
			So(used, ShouldBeTrue)
		})
	})
	Convey("If no other target has answered since, nothing is reset, since the fault may be at this daemon", t, func() {
		s := newFailedTargetSite(safeAddr, 40)
		s.now = s.now.Add(time.Second)
		s.engine.NotFound(s.now, s.failed, placement.ProbeNoAnswer)
		So(s.tickAt(s.engine, s.now), ShouldBeEmpty)
	})
}

func TestTagRecords(t *testing.T) {
	Convey("Records are removed after their flows close or become idle, and the flow counts drop with them", t, func() {
		s := newTagSite(1)
		e := s.engine()
		id := s.directory.ID("booking-00")
		closing, idle := s.caller(safeAddr).open(e), s.caller(safeAddr).open(e)
		So(e.Loads().Open(id), ShouldEqual, 2)
		e.FromCaller(s.now, closing.meta(packet.FIN|packet.ACK, 0), closing.tag)
		So(e.Loads().Open(id), ShouldEqual, 1)
		tick := func(d time.Duration) {
			s.now = s.now.Add(d)
			for range 16 {
				e.Tick(s.now)
			}
		}
		tick(3 * time.Second)
		So(e.OpenFlows(), ShouldEqual, 1)
		tick(20 * time.Second)
		So(e.OpenFlows(), ShouldEqual, 0)
		So(e.Loads().Open(id), ShouldEqual, 0)
		Convey("and a flow that sends again continues", func() {
			v := idle.send(e, 10)
			So(v.Op, ShouldEqual, core.OpForward)
			So(v.Target.ID, ShouldEqual, id)
			So(e.Loads().Open(id), ShouldEqual, 1)
		})
	})
	Convey("Flows beyond the maximum number of records are steered without a record", t, func() {
		s := newTagSite(4)
		e := New(Config{Policy: placement.NewNearest(placement.NearestConfig{}), Epoch: s.now, MaxFlows: 10})
		s.publish(e)
		e.SetCurrent(true)
		for range 50 {
			c := s.caller(safeAddr).open(e)
			So(c.send(e, 10).Target.ID, ShouldEqual, c.target)
		}
		So(e.OpenFlows(), ShouldEqual, 10)
	})
}

func BenchmarkTagSteer(b *testing.B) {
	s := newTagSite(14)
	e := s.engine()
	flows := make([]*caller, 1000)
	for i := range flows {
		flows[i] = s.caller(safeAddr).open(e)
	}
	b.ReportAllocs()
	for i := range b.N {
		c := flows[i%len(flows)]
		m := packet.Meta{Src: c.src, Dst: c.dst, Flags: packet.ACK, Seq: c.seq, Ack: c.ack}
		e.FromCaller(s.now, &m, c.tag)
	}
}

func TestTagSteeringAllocatesNothing(t *testing.T) {
	Convey("Steering a packet of an open flow does not allocate", t, func() {
		s := newTagSite(14)
		e := s.engine()
		c := s.caller(safeAddr).open(e)
		m := c.meta(packet.ACK, 100)
		So(testing.AllocsPerRun(1000, func() { e.FromCaller(s.now, m, c.tag) }), ShouldEqual, 0)
	})
}
