package owners

import (
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// HandleLists puts a set of published lists into effect. It rejects a set in which any list is older than
// the current one and then returns false.
func (e *Engine) HandleLists(now time.Time, s *model.Snapshot, a core.Admitter) ([]Action, bool) {
	e.controlMu.Lock()
	defer e.controlMu.Unlock()
	old := e.routingState.Load()
	if old != nil && !s.Revisions.Covers(old.snapshot.Revisions) {
		return nil, false
	}
	actions := e.members.SetPublished(now, s.Entries)
	e.members.SetRevisions(s.Revisions)
	e.applyLists(now, s, a)
	out := e.handleMembers(now, actions)
	if !e.inTransition.Load() {
		e.switchGeneration(s.Generation())
	}
	return out, true
}

func (e *Engine) applyLists(now time.Time, s *model.Snapshot, a core.Admitter) {
	base := e.routingState.Load()
	if base == nil {
		base = &routingState{view: e.members.View()}
		e.firstListsAt = now
	}
	next := base.withLists(s, a)
	e.loads.SetTable(now, next.newestResolver().table)
	e.routingState.Store(next)
	if base.admitter != nil {
		e.revoke(now, base, next)
	}
}

// switchGeneration makes flows without a record in the log resolve to the default targets of a generation.
// It first adds a record for every flow whose default target changes, so that a peer resolves every flow
// correctly at any position of the log. No flow is placed in the meantime.
func (e *Engine) switchGeneration(g model.Generation) {
	e.placementMu.Lock()
	defer e.placementMu.Unlock()
	rs := e.routingState.Load()
	resolver := rs.resolverOf(g)
	if resolver == nil || e.log.Generation() == g {
		return
	}
	var newExceptions, oldExceptions []model.FlowHash
	e.table.Each(func(h model.FlowHash, entry flow.Entry) {
		t := resolver.defaultTarget(entry.Service.AddrPort(), h)
		isDefault := t != nil && t.ID == entry.Target
		switch {
		case !isDefault && !entry.Exception:
			newExceptions = append(newExceptions, h)
			e.log.Add(h, entry.Target)
		case isDefault && entry.Exception:
			oldExceptions = append(oldExceptions, h)
		}
	})
	e.log.SetGeneration(g)
	for _, h := range newExceptions {
		e.table.SetException(h, true)
	}
	for _, h := range oldExceptions {
		e.log.ClearException(h)
		e.table.SetException(h, false)
	}
}
