package core

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// inherit takes over the exceptions in other owners' logs whose flows this daemon owns now, so that its own
// log is complete for the flows that it owns. An exception is a flow whose target is not its default one.
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

// inheritRecords takes over the exceptions among log records that have just arrived.
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
