package news

import (
	"errors"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// errOlderEra is the failure of a call whose answer is of an older era than one known: it was late, or comes from a
// replica of the platform that lags.
var errOlderEra = errors.New("the answer is of an older era of the platform")

// noteEra records that the platform has reached an era. from is the daemon that reported it, invalid for the platform.
// What is in force stays. The open watch is cancelled, as its revision is of an older era.
func (e *Engine) noteEra(now time.Time, era uint64, from netip.AddrPort) []Action {
	if era <= e.era {
		return nil
	}
	previous := e.era
	known := max(e.replica.complete.Revision, e.replica.highest.Revision)
	if e.lagsEra() {
		known = max(known, e.holds.knownRevision)
	}
	e.era = era
	e.holds.beginEra(now, known)
	clear(e.keptFetched)
	for _, m := range e.members.ordered {
		m.differsSince, m.keptDiffersSince = time.Time{}, time.Time{}
	}
	if !e.replica.synced {
		return nil
	}
	actions := []Action{EraBegan{From: previous, To: era, Peer: from, Complete: e.replica.complete}}
	e.reader.needsFullRead = false
	e.reader.nextCall = now.Add(e.eraReadDelay(now))
	if e.reader.openCall != callWatch {
		return actions
	}
	e.reader.openCall = callNone
	e.reader.callNumber++
	e.reader.watchLagsSince = time.Time{}
	return append(actions, CancelCall{})
}

// lagsEra reports whether the replica is not complete in the newest era, so that a watch cannot continue from it.
func (e *Engine) lagsEra() bool {
	return e.replica.complete.Era < e.era
}

// eraReadStagger is the delay between the whole reads of the first daemons of a zone after the begin of an era: several
// times a usual read and the datagrams after it.
const eraReadStagger = 100 * time.Millisecond

// probeWait is the wait of a watch that finds out whether the platform responds: its end tells soon if the call failed, and
// which era the platform is in. A watch from a revision of an older era may not end before its wait is over.
const probeWait = time.Millisecond

// eraReadDelay returns how long a daemon that would read everything in a new era leaves that to the daemons before it.
// Load pattern: the platform was away, so that many daemons of a zone call it when it returns.
func (e *Engine) eraReadDelay(now time.Time) time.Duration {
	return time.Duration(min(e.members.rank(now), leadingDaemons))*eraReadStagger + e.followerDelay(now)
}

// watchWait returns the wait of the next watch. A daemon whose last call failed, or that takes over since nobody has
// confirmed its replica for long, first finds out whether the platform responds.
func (e *Engine) watchWait(now time.Time) time.Duration {
	if e.reader.failures > 0 || e.age(now) > e.cfg.MaxAge {
		return probeWait
	}
	return e.cfg.WatchWait
}

// handleOlderEra handles an answer of an older era: as a failed call, or if a stale answer was requested, with a request
// for a current one.
func (e *Engine) handleOlderEra(now time.Time, callNumber uint64) []Action {
	if e.reader.openCall == callRead && e.reader.acceptsStale {
		e.reader.openCall = callNone
		e.reader.refuseStale = true
		e.reader.nextCall = now
		return e.step(now)
	}
	return e.HandleFailure(now, callNumber, Failure{Err: errOlderEra})
}

// dropOlderEras returns the items that are not of an older era than one known. m is the daemon that sent them, nil for
// the platform.
func (e *Engine) dropOlderEras(now time.Time, m *member, items []Item) ([]Item, []Action) {
	var actions []Action
	var from netip.AddrPort
	if m != nil {
		from = m.Addr
	}
	for i := range items {
		actions = append(actions, e.noteEra(now, items[i].Era, from)...)
	}
	current := make([]Item, 0, len(items))
	for _, it := range items {
		if it.Era == e.era {
			current = append(current, it)
		}
	}
	return current, actions
}

// applyAll applies items to the replica, and records what is to be reported of them. It returns those that changed the
// replica.
func (e *Engine) applyAll(now time.Time, items []Item) []Item {
	return e.putInForce(now, func() []Item { return e.replica.applyAll(now, items) })
}

// applyFullState is applyAll for a full state.
func (e *Engine) applyFullState(now time.Time, complete Position, items []Item, published []Version) []Item {
	return e.putInForce(now, func() []Item { return e.replica.applyFullState(now, complete, items, published) })
}

// putInForce records which of the items that apply changes in the replica are put in force.
func (e *Engine) putInForce(now time.Time, apply func() []Item) []Item {
	e.replica.replaced = e.replica.replaced[:0]
	changes := apply()
	var inForce []Item
	var reports []Action
	for i, it := range changes {
		effective, ok, report := e.holds.replaced(now, e.replica.replaced[i], it)
		if ok {
			inForce = append(inForce, effective)
		}
		if report != nil {
			reports = append(reports, report)
		}
	}
	clear(e.replica.replaced)
	if len(inForce) > 0 {
		e.pending = append(e.pending, ItemsChanged{Items: inForce})
	}
	e.pending = append(e.pending, reports...)
	return changes
}

// takePending returns what is to be reported of applied items.
func (e *Engine) takePending() []Action {
	actions := e.pending
	e.pending = nil
	return actions
}

// stepHolds ends the holds whose time is over, and puts in force what the platform publishes.
func (e *Engine) stepHolds() []Action {
	var actions []Action
	if e.lagsEra() {
		return nil
	}
	var released []Item
	for _, ended := range e.holds.expire(e.confirmed) {
		actions = append(actions, ended)
		if ended.Kind == KindConfig {
			continue
		}
		published := Item{Key: ended.Key, Era: e.replica.complete.Era, Revision: e.replica.complete.Revision, Removed: true}
		if s := e.replica.items[ended.Key]; s != nil {
			published = s.Item
		}
		ended.Published = published.Position()
		released = append(released, afterHold(ended.kept, published))
	}
	if len(released) > 0 {
		actions = append(actions, ItemsChanged{Items: released})
	}
	return actions
}

// learnKept puts in force what another daemon keeps in force and this one does not know, in place of what was to be
// reported with it.
func (e *Engine) learnKept(now time.Time, kept []Kept) {
	var reports []Action
	inForce := make(map[string]Item)
	for _, k := range kept {
		item, err := e.replica.resolve(k.Item)
		if err != nil || k.Era >= e.era {
			continue
		}
		k.Item = item
		ok, report := e.holds.learn(now, k, e.replica.items[k.Key], e.replica.synced)
		if ok {
			inForce[k.Key] = k.Item
			reports = append(reports, report)
		}
	}
	if len(inForce) == 0 {
		return
	}
	var items []Item
	for _, a := range e.pending {
		if changed, ok := a.(ItemsChanged); ok {
			items = append(items, changed.Items...)
			continue
		}
		reports = append(reports, a)
	}
	items = slices.DeleteFunc(items, func(it Item) bool { return inForce[it.Key].Key != "" })
	for _, key := range slices.Sorted(maps.Keys(inForce)) {
		items = append(items, inForce[key])
	}
	e.pending = append([]Action{ItemsChanged{Items: items}}, reports...)
}

// compareKept records whether another daemon of the same era has reported kept items that this daemon may not know.
func (e *Engine) compareKept(now time.Time, m *member) {
	kept := m.heartbeat.Kept
	if kept == 0 || kept == e.holds.digest || e.keptFetched[kept] || m.heartbeat.Era != e.era || e.replica.synced && e.lagsEra() {
		m.keptDiffersSince = time.Time{}
		return
	}
	if m.keptDiffersSince.IsZero() {
		m.keptDiffersSince = now
	}
}

// needsKept reports whether kept items are to be fetched from another daemon: at once by a daemon that has just started,
// so that it does not begin with an older copy.
func (e *Engine) needsKept(now time.Time, m *member) bool {
	if m.keptDiffersSince.IsZero() || !e.replica.synced {
		return false
	}
	return now.Sub(e.started) < initialReadTimeout || now.Sub(m.keptDiffersSince) >= e.cfg.RepairDelay
}

// noteKeptFetched records that a fetch has returned the kept items of a daemon, and with it those of all daemons that
// report the same hash.
func (e *Engine) noteKeptFetched() {
	kept := e.fetchingKept
	if kept == 0 || e.lagsEra() {
		return
	}
	e.keptFetched[kept] = true
	for _, m := range e.members.ordered {
		if m.heartbeat.Kept == kept {
			m.keptDiffersSince = time.Time{}
		}
	}
}
