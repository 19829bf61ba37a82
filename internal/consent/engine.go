package consent

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

const (
	// AnswerTimeout is how long a daemon waits for the answers of its zone, several round trips, and optionalTimeout how long
	// for those of other zones.
	AnswerTimeout   = 200 * time.Millisecond
	optionalTimeout = 60 * time.Millisecond
	// YieldTime is how long a daemon that has answered forwards no packet of the flows: AnswerTimeout, and the time that a
	// reset takes to its caller.
	YieldTime = 400 * time.Millisecond
	// MaxFlows is the maximum number of flows of a question, which has to fit into an Ethernet frame.
	MaxFlows = 64
)

// Request is a set of flows of one target that are to be reset.
type Request struct {
	Target model.TargetID
	// At is the time at which Flows holds.
	At    time.Time
	Flows []flow.LastPacket
}

// Engine collects the answers to this daemon's questions. It is not safe for concurrent use.
type Engine struct {
	lastID uint64
	rounds map[uint64]*round
}

// round is a question that is not fully answered yet.
type round struct {
	request Request
	// inZone is the number of daemons of the asker's zone that it knows, itself included.
	inZone int
	// required and optional are the daemons that have not answered.
	required, optional map[netip.AddrPort]bool
	// denied is true for the flows that another daemon received later packets of, or may have.
	denied []bool
}

// NewEngine returns an engine whose questions have ids above firstID. Answers to the questions of an earlier process of the
// same daemon must not match, so firstID has to be different in each process.
func NewEngine(firstID uint64) *Engine {
	return &Engine{lastID: firstID, rounds: make(map[uint64]*round)}
}

// Waits reports whether answers about flows of a target are still expected.
func (e *Engine) Waits(now time.Time, target model.TargetID) bool {
	e.expire(now)
	for _, r := range e.rounds {
		if r.request.Target == target {
			return true
		}
	}
	return false
}

// Others are the daemons that may have received packets of the asker's flows.
type Others struct {
	// Zone are the daemons of the asker's zone, all of which have to answer.
	Zone []netip.AddrPort
	// Further are daemons of other zones. Those that answer in time are heeded.
	Further []netip.AddrPort
}

// All returns all daemons to ask.
func (o Others) All() []netip.AddrPort {
	return append(append([]netip.AddrPort(nil), o.Zone...), o.Further...)
}

// Ask returns the questions to send to the other daemons, of which there is at least one.
func (e *Engine) Ask(now time.Time, request Request, others Others) []Question {
	e.expire(now)
	var questions []Question
	for _, flows := range lo.Chunk(request.Flows, MaxFlows) {
		e.lastID++
		e.rounds[e.lastID] = &round{
			request:  Request{Target: request.Target, At: request.At, Flows: flows},
			inZone:   len(others.Zone) + 1,
			required: setOf(others.Zone),
			optional: setOf(others.Further),
			denied:   make([]bool, len(flows)),
		}
		questions = append(questions, Question{ID: e.lastID, Flows: flows})
	}
	return questions
}

// HandleAnswer records the answer of another daemon.
func (e *Engine) HandleAnswer(now time.Time, from netip.AddrPort, a Answer) {
	e.expire(now)
	r := e.rounds[a.ID]
	if r == nil || !r.required[from] && !r.optional[from] {
		return
	}
	if a.InZone > r.inZone || len(a.Later) != len(r.request.Flows) {
		// The sender knows a daemon of the zone that was not asked, or its answer is not to this question.
		delete(e.rounds, a.ID)
		return
	}
	delete(r.required, from)
	delete(r.optional, from)
	elapsed := now.Sub(r.request.At)
	for i, f := range r.request.Flows {
		r.denied[i] = r.denied[i] || a.Later[i] || f.Since+elapsed > a.Reach
	}
}

// Confirmed returns the flows of which this daemon received the last packet, for the questions that are answered.
func (e *Engine) Confirmed(now time.Time) []Request {
	e.expire(now)
	var out []Request
	for id, r := range e.rounds {
		if len(r.required) > 0 || len(r.optional) > 0 && now.Sub(r.request.At) < optionalTimeout {
			continue
		}
		delete(e.rounds, id)
		confirmed := r.request
		confirmed.Flows = lo.Filter(r.request.Flows, func(_ flow.LastPacket, i int) bool { return !r.denied[i] })
		out = append(out, confirmed)
	}
	return out
}

// Cancel forgets all questions. It is called after a pause of the process, in which other daemons may have resumed
// forwarding.
func (e *Engine) Cancel() {
	clear(e.rounds)
}

func (e *Engine) expire(now time.Time) {
	for id, r := range e.rounds {
		if now.Sub(r.request.At) > AnswerTimeout {
			delete(e.rounds, id)
		}
	}
}

func setOf(addrs []netip.AddrPort) map[netip.AddrPort]bool {
	return lo.SliceToMap(addrs, func(a netip.AddrPort) (netip.AddrPort, bool) { return a, true })
}
