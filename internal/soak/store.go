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
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact discards the change history.
func (s *Store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
}

// ItemsAfter returns the current items whose keys sort after a key, in key order, and the store's revision.
func (s *Store) ItemsAfter(after string) ([]Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Item
	for key, it := range s.items {
		if key > after {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision
}

// WaitForChanges waits up to wait for changes after a revision, and returns them with the store's revision; false if
// the history after that revision was discarded.
func (s *Store) WaitForChanges(ctx context.Context, revision uint64, wait time.Duration) ([]Item, uint64, bool) {
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

// changesSince returns the changes after a revision, the current revision, a channel that is closed at the next change,
// and whether the history after the revision is still available.
func (s *Store) changesSince(revision uint64) (items []Item, current uint64, changed chan struct{}, available bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.compactedRevision {
		return nil, s.revision, nil, false
	}
	for _, it := range s.history {
		if it.Revision > revision {
			items = append(items, it)
		}
	}
	return items, s.revision, s.changed, true
}
