package owners

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// takeOverExceptions takes over the exceptions in other owners' logs whose flows this daemon owns now, so
// that its own log is complete for the flows that it owns. An exception is a flow whose target is not its
// default one.
func (e *Engine) takeOverExceptions(now time.Time, rs *routingState) {
	var owned []model.FlowHash
	e.replicas.Each(func(h model.FlowHash) {
		if e.mustTakeOver(rs, h) {
			owned = append(owned, h)
		}
	})
	for _, h := range owned {
		e.takeOverException(now, rs, h)
	}
}

// takeOverRecords takes over the exceptions among log records that have just arrived.
func (e *Engine) takeOverRecords(now time.Time, rs *routingState, records []wire.Record) {
	for _, r := range records {
		if !r.Remove && e.mustTakeOver(rs, r.Hash) {
			e.takeOverException(now, rs, r.Hash)
		}
	}
}

func (e *Engine) mustTakeOver(rs *routingState, h model.FlowHash) bool {
	owner := rs.owner(h)
	if owner == nil || owner.ID != e.cfg.Self {
		return false
	}
	_, known := e.table.Get(h)
	return !known
}

func (e *Engine) takeOverException(now time.Time, rs *routingState, h model.FlowHash) {
	target, ok := e.replicas.Find(h, e.rank(rs, h))
	if !ok {
		return
	}
	e.placementMu.RLock()
	defer e.placementMu.RUnlock()
	if _, added := e.table.Insert(now, h, flow.Entry{Target: target, State: flow.StateOpen, Exception: true}); !added {
		return
	}
	e.loads.Opened(target)
	e.log.Add(h, target)
}
