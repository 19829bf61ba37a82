// The gate that new flows pass while the targets of their service cannot serve all requests.

package tags

import (
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
	"github.com/fireflypin/fireflypin/placement"
)

// Gate decides which new flows are placed. It must be safe for concurrent use.
type Gate interface {
	// Admit decides on an attempt.
	Admit(now time.Time, a *Attempt) Decision
	// GiveUp reports that an attempt no longer waits and was not admitted.
	GiveUp(now time.Time, a *Attempt)
	// Placed reports that a flow to an address was sent to a target.
	Placed(now time.Time, target model.TargetID, address flow.PackedAddrPort)
}

// Attempt is a caller's attempt to open a flow.
type Attempt struct {
	Route   *model.Route
	Service *model.Service
	// Caller is the caller's end.
	Caller flow.PackedAddrPort
	Hash   model.FlowHash
	// Waited is true for an attempt that was told to wait before.
	Waited bool
}

// Answer says what becomes of an attempt.
type Answer uint8

// The answers.
const (
	// Admit places the flow.
	Admit Answer = iota
	// Wait keeps the SYN back for at most Decision.MaxWait; the attempt is then decided on again.
	Wait
	// Refuse resets the attempt.
	Refuse
)

// Decision is the answer to an attempt.
type Decision struct {
	Answer Answer
	// Full holds the zones whose targets are not chosen.
	Full []model.Zone
	// MaxWait and Level, the importance of the attempt from 0 for the highest, are set with Wait.
	MaxWait time.Duration
	Level   int
}

// admit asks the gate about an attempt. A verdict other than OpForward is final; else the flow is placed by means of
// the returned loads.
func (e *Engine) admit(now time.Time, a *Attempt) (Verdict, placement.Loads) {
	if e.cfg.Gate == nil {
		return Verdict{Op: core.OpForward}, e.loads
	}
	switch d := e.cfg.Gate.Admit(now, a); {
	case d.Answer == Wait:
		return Verdict{Op: core.OpDrop, Kind: errkind.ServiceShort, MaxWait: d.MaxWait, Level: d.Level, Route: a.Route}, nil
	case d.Answer == Refuse:
		v := refuseTagged(errkind.ServiceShort, a.Hash)
		v.Route = a.Route
		return v, nil
	case len(d.Full) > 0:
		return Verdict{Op: core.OpForward}, loadsWithoutZones{Loads: e.loads, targets: e.activeLists.Load().targets, zones: d.Full}
	}
	return Verdict{Op: core.OpForward}, e.loads
}

// FromWaiting decides again on the SYN of an attempt that waits.
func (e *Engine) FromWaiting(now time.Time, m *packet.Meta) Verdict {
	lists := e.activeLists.Load()
	if lists == nil {
		return dropTagged(errkind.NotReady)
	}
	return e.open(lists, now, m.Key().Hash(), m, true)
}

// GiveUp ends the wait of an attempt and returns the verdict on its SYN.
func (e *Engine) GiveUp(now time.Time, m *packet.Meta) Verdict {
	lists := e.activeLists.Load()
	if lists == nil || e.cfg.Gate == nil {
		return dropTagged(errkind.NotReady)
	}
	h := m.Key().Hash()
	v := refuseTagged(errkind.ServiceShort, h)
	if v.Route = lists.snapshot.RouteAt(m.Dst); v.Route != nil {
		e.cfg.Gate.GiveUp(now, attempt(h, m, v.Route, true))
	}
	return v
}

func attempt(h model.FlowHash, m *packet.Meta, route *model.Route, waited bool) *Attempt {
	return &Attempt{Route: route, Service: route.ServiceOf(h), Caller: flow.PackAddrPort(m.Src), Hash: h, Waited: waited}
}

// loadsWithoutZones presents loads with the targets of some zones marked as down.
type loadsWithoutZones struct {
	placement.Loads
	targets map[model.TargetID]*model.Target
	zones   []model.Zone
}

// Observe implements placement.Loads.
func (l loadsWithoutZones) Observe(now time.Time, id model.TargetID) placement.Observation {
	o := l.Loads.Observe(now, id)
	if t := l.targets[id]; t != nil {
		for _, z := range l.zones {
			o.Down = o.Down || z == t.Zone
		}
	}
	return o
}
