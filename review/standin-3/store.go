//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store: items, revisions and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

const pageItems = 500

func newStore() *store {
	return &store{revision: 100, items: make(map[string]storeItem), changed: make(chan struct{})}
}

// put writes an item; a nil value removes it.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, known := s.items[key]
	if value == nil && !known {
		return
	}
	s.revision++
	it := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Removed: value == nil}
	if known {
		it.Created = previous.Created
	}
	if value == nil {
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/kv-range":
		reply(w, s.page(q.Get("prefix"), q.Get("after")))
	case "/-/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		reply(w, s.watch(r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond))
	default:
		http.NotFound(w, r)
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller has gone
}

func (s *store) page(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	truncated := len(keys) > pageItems
	items := make([]storeItem, 0, len(keys))
	for _, k := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[k])
	}
	return map[string]any{"items": items, "truncated": truncated, "as_of": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) any {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		events, asOf, changed := s.since(prefix, after)
		if len(events) > 0 {
			return map[string]any{"events": events, "as_of": asOf}
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return nil
		case <-end.C:
			return map[string]any{"events": []storeItem{}, "as_of": asOf}
		}
	}
}

func (s *store) since(prefix string, after uint64) (events []storeItem, asOf uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, s.changed
}
