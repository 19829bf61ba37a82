package bench

import (
	"context"
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/internal/fleet"
	"github.com/fireflypin/fireflypin/internal/scenario"
	"github.com/fireflypin/fireflypin/internal/standin"
	"github.com/fireflypin/fireflypin/model"
)

// changePollInterval is the interval at which the members' list revisions are compared with the published ones.
const changePollInterval = 10 * time.Millisecond

// ChangeLatency is the time from the publication of a list revision until every ready member had applied it.
type ChangeLatency struct {
	List     string  `json:"list"`
	Revision uint64  `json:"revision"`
	Seconds  float64 `json:"seconds"`
	// Complete is false if the run ended before all ready members had applied the revision. Seconds is then
	// the time until the end of the run.
	Complete bool `json:"complete"`
}

// changeWatcher tracks published changes until every ready member has applied them.
type changeWatcher struct {
	site  *scenario.Site
	fleet *fleet.Fleet

	mu      sync.Mutex
	tracked int
	done    []ChangeLatency
	pending []scenario.Change
}

// watchChanges starts tracking the changes that are published from now on, until ctx is done.
func watchChanges(ctx context.Context, site *scenario.Site, f *fleet.Fleet) *changeWatcher {
	w := &changeWatcher{site: site, fleet: f, tracked: len(site.Changes())}
	go w.run(ctx)
	return w
}

func (w *changeWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(changePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.poll(now)
		}
	}
}

func (w *changeWatcher) poll(now time.Time) {
	changes := w.site.Changes()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, changes[w.tracked:]...)
	w.tracked = len(changes)
	if len(w.pending) == 0 {
		return
	}
	lowest := lowestRevisions(w.fleet.Status())
	var waiting []scenario.Change
	for _, c := range w.pending {
		if revisionOf(lowest, c.List) < c.Revision {
			waiting = append(waiting, c)
			continue
		}
		w.done = append(w.done, changeLatency(c, now, true))
	}
	w.pending = waiting
}

func changeLatency(c scenario.Change, now time.Time, complete bool) ChangeLatency {
	return ChangeLatency{List: string(c.List), Revision: c.Revision, Seconds: now.Sub(c.At).Seconds(), Complete: complete}
}

// measured returns all changes tracked so far. Changes that are still pending are incomplete as of now.
func (w *changeWatcher) measured(now time.Time) []ChangeLatency {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := append([]ChangeLatency(nil), w.done...)
	for _, c := range w.pending {
		out = append(out, changeLatency(c, now, false))
	}
	return out
}

// lowestRevisions returns the lowest revision of each list among the ready members.
func lowestRevisions(members []fleet.Status) model.Revisions {
	var lowest model.Revisions
	first := true
	for _, m := range members {
		if m.State != fleet.StateReady {
			continue
		}
		if first {
			lowest, first = m.Revisions, false
			continue
		}
		lowest.Customers = min(lowest.Customers, m.Revisions.Customers)
		lowest.Plans = min(lowest.Plans, m.Revisions.Plans)
		lowest.Machines = min(lowest.Machines, m.Revisions.Machines)
	}
	return lowest
}

func revisionOf(r model.Revisions, list standin.ListName) uint64 {
	switch list {
	case standin.ListCustomers:
		return r.Customers
	case standin.ListPlans:
		return r.Plans
	default:
		return r.Machines
	}
}
