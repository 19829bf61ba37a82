package soak

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is one version of a published item, or its removal.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Store is an in-memory version of the platform's metadata store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	// history holds all changes after compactedRevision, in order.
	history           []Item
	compactedRevision uint64
	changed           chan struct{}
	// era counts the returns from older copies. written holds all changes that led to the current state, for copies.
	era     uint64
	written []writtenItem
}

// writtenItem is a change and the time of its write.
type writtenItem struct {
	Item
	at time.Time
}

func newStore() *Store {
	return &Store{items: make(map[string]Item), changed: make(chan struct{})}
}

// put writes an item; a nil value removes it.
func (s *Store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := Item{Key: key, Value: value, Revision: s.revision, Removed: value == nil}
	if it.Removed {
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.history = append(s.history, it)
	s.written = append(s.written, writtenItem{it, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// returnFromCopy restores the state as of a time, in the next era. The revisions after it are given out again.
func (s *Store) returnFromCopy(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := slices.IndexFunc(s.written, func(w writtenItem) bool { return w.at.After(at) })
	if kept < 0 {
		kept = len(s.written)
	}
	kept = max(kept, 1) // the configuration was written before anything reads
	s.written = s.written[:kept:kept]
	s.items, s.revision = make(map[string]Item), s.written[kept-1].Revision
	for _, w := range s.written {
		if w.Removed {
			delete(s.items, w.Key)
		} else {
			s.items[w.Key] = w.Item
		}
	}
	s.history = slices.DeleteFunc(s.history, func(it Item) bool { return it.Revision > s.revision })
	s.compactedRevision = min(s.compactedRevision, s.revision)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// has reports whether an item exists.
func (s *Store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, exists := s.items[key]
	return exists
}

// compact discards the change history.
func (s *Store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
}

// Position is a revision of the store and the era that it belongs to.
type Position struct {
	Era, Revision uint64
}

func (p Position) before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// ItemsAfter returns the current items whose keys sort after a key, in key order, and the store's position.
func (s *Store) ItemsAfter(after string) ([]Item, Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Item
	for key, it := range s.items {
		if key > after {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return out, Position{s.era, s.revision}
}

// WaitForChanges waits up to wait for changes after a revision, and returns them with the store's position; false if
// the history after that revision was discarded, or the store does not have the revision.
func (s *Store) WaitForChanges(ctx context.Context, revision uint64, wait time.Duration) ([]Item, Position, bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		items, current, changed, available := s.changesSince(revision)
		if !available || len(items) > 0 {
			return items, current, available
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, current, true
		case <-ctx.Done():
			return nil, current, true
		}
	}
}

// changesSince returns the changes after a revision, the current position, a channel that is closed at the next change,
// and whether the history after the revision is still available.
func (s *Store) changesSince(revision uint64) (items []Item, current Position, changed chan struct{}, available bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current = Position{s.era, s.revision}
	if revision < s.compactedRevision || revision > s.revision {
		return nil, current, nil, false
	}
	for _, it := range s.history {
		if it.Revision > revision {
			items = append(items, it)
		}
	}
	return items, current, s.changed, true
}
