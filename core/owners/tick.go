package owners

import (
	"time"
)

// Tick performs all time-driven work. Call it about every 100 ms: a longer gap than
// Config.Members.PauseLimit counts as a pause of the process.
func (e *Engine) Tick(now time.Time) []Action {
	e.controlMu.Lock()
	defer e.controlMu.Unlock()
	out := e.handleMembers(now, e.members.Tick(now))
	if e.routingState.Load() == nil {
		return out
	}
	e.lastTick = now
	if e.logIncomplete.Swap(false) {
		e.startTransition(now, ownersChange{})
	}
	e.expireDeferred(now, e.routingState.Load())
	e.advanceTransition(now)
	if !now.Before(e.nextSync) {
		e.nextSync = now.Add(e.cfg.LogInterval)
		e.mark.Add(1)
		out = append(out, e.syncPeers(now)...)
	}
	out = append(out, e.fetchMissing(now)...)
	out = append(out, e.updateReady(now)...)
	e.expire(now)
	return out
}

// expire removes idle flows, one shard per tick, and expired replicas. While a zone is unreachable, open
// flows are kept, since their packets may arrive on the other side of the partition.
func (e *Engine) expire(now time.Time) {
	e.expiryShard++
	keepOpen := e.routingState.Load().unreachablePeers != nil
	for _, x := range e.table.Expire(now, e.expiryShard, keepOpen) {
		e.releaseFlow(now, x.Hash, x.Entry)
	}
	e.replicas.Expire(now)
}
