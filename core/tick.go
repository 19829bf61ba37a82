package core

import (
	"time"
)

// Tick performs all time-driven work. Call it about every 100 ms: a longer gap than
// Config.Members.PauseLimit counts as a pause of the process.
func (e *Engine) Tick(now time.Time) []Action {
	e.control.Lock()
	defer e.control.Unlock()
	out := e.handleMembers(now, e.members.Tick(now))
	if e.world.Load() == nil {
		return out
	}
	e.lastTick = now
	if e.doubting.Swap(false) {
		e.unsettle(now, ownersChange{})
	}
	e.judgeLate(now, e.world.Load())
	e.settle(now)
	if !now.Before(e.nextLog) {
		e.nextLog = now.Add(e.cfg.LogInterval)
		e.mark.Add(1)
		out = append(out, e.syncPeers(now)...)
	}
	out = append(out, e.fetchMissing(now)...)
	out = append(out, e.judgeReady(now)...)
	e.expire(now)
	return out
}

// expire removes idle flows, one shard per tick, and expired replicas. While a zone is unreachable, open
// flows are kept, since their packets may arrive on the other side of the partition.
func (e *Engine) expire(now time.Time) {
	e.turn++
	keepOpen := e.world.Load().hidden != nil
	for _, x := range e.table.Expire(now, e.turn, keepOpen) {
		e.ended(now, x.Hash, x.Entry)
	}
	e.copies.Expire(now)
}
