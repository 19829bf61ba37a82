package core

import (
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// delegation holds the flows that this daemon owns and does not know while a change of the members
// settles. Their packets go to the former owners; the flows are taken in when the change has settled.
type delegation struct {
	mu     sync.Mutex
	active bool
	flows  map[model.FlowHash]packet.FlowKey
}

// delegate notes a packet that is left to the flow's former owner. It returns false where the daemon
// has to decide itself.
func (e *Engine) delegate(a *arrival) bool {
	if !e.fresh(a.now) {
		return true
	}
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	if !e.delegated.active {
		return false
	}
	e.delegated.flows[a.hash] = a.meta.Key()
	return true
}

// unsettle starts the time in which unknown flows are left to their former owners.
func (e *Engine) unsettle(now time.Time) {
	e.settled.Store(int64(now.Add(e.cfg.SettleTime).Sub(e.cfg.Epoch)))
	e.log.SetEchoing(false)
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	if !e.delegated.active {
		e.delegated.active = true
		e.delegated.flows = make(map[model.FlowHash]packet.FlowKey)
	}
}

// settle takes in the delegated flows once a change of the members has settled, and lets peers rely on
// the log again.
func (e *Engine) settle(now time.Time) {
	if now.Before(e.settledAt()) {
		return
	}
	e.delegated.mu.Lock()
	flows, active := e.delegated.flows, e.delegated.active
	e.delegated.active, e.delegated.flows = false, nil
	e.delegated.mu.Unlock()
	if !active {
		return
	}
	w := e.world.Load()
	for h, key := range flows {
		e.takeIn(w, now, h, key)
	}
	e.log.SetEchoing(true)
}

// takeIn adopts one delegated flow if it is still this daemon's.
func (e *Engine) takeIn(w *world, now time.Time, h model.FlowHash, key packet.FlowKey) {
	if owner := w.owner(h); owner == nil || owner.ID != e.cfg.Self {
		return
	}
	if _, known := e.table.Get(h); known {
		return
	}
	meta := packet.Meta{Src: key.Caller, Dst: key.Service, Flags: packet.ACK}
	a := arrival{now: now, meta: &meta, hash: h}
	t := e.resolve(w, &a)
	if t == nil {
		return
	}
	e.placing.RLock()
	defer e.placing.RUnlock()
	e.enter(w, &a, t, flow.StateOpening)
}

// inherit takes in every exception of other logs whose flow is this daemon's now, so that its own log
// is complete for the flows that it owns.
func (e *Engine) inherit(now time.Time, w *world) {
	var mine []model.FlowHash
	e.copies.Each(func(h model.FlowHash) {
		if e.inherits(w, h) {
			mine = append(mine, h)
		}
	})
	for _, h := range mine {
		e.inheritFlow(now, w, h)
	}
}

// inheritRecords does the same for records that have just arrived.
func (e *Engine) inheritRecords(now time.Time, w *world, records []wire.Record) {
	for _, r := range records {
		if !r.Remove && e.inherits(w, r.Hash) {
			e.inheritFlow(now, w, r.Hash)
		}
	}
}

func (e *Engine) inherits(w *world, h model.FlowHash) bool {
	owner := w.owner(h)
	if owner == nil || owner.ID != e.cfg.Self {
		return false
	}
	_, known := e.table.Get(h)
	return !known
}

func (e *Engine) inheritFlow(now time.Time, w *world, h model.FlowHash) {
	target, ok := e.copies.Find(h, e.rank(w, h))
	if !ok {
		return
	}
	e.placing.RLock()
	defer e.placing.RUnlock()
	if _, added := e.table.Insert(now, h, flow.Entry{Target: target, State: flow.StateOpen, Exception: true}); !added {
		return
	}
	e.loads.Opened(target)
	e.log.Add(h, target)
}
