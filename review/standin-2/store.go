//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store or its removal, as answers carry it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store plays the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

// storeAnswerTime is how long the store takes to answer.
const storeAnswerTime = 4 * time.Millisecond

func startStore(at netip.AddrPort) (*store, error) {
	s := &store{revision: 100, items: make(map[string]item), changed: make(chan struct{})}
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	go http.Serve(l, mux) // until the process ends
	return s, nil
}

// put writes an item; a nil value removes it. The return is the store's ack.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.items[key]
	if value == nil && !exists {
		return
	}
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Removed: value == nil}
	if exists {
		it.Created = old.Created
	}
	if it.Removed {
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// pageItems is the most items of a page.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	s.mu.Lock()
	page := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			page = append(page, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	truncated := len(page) > pageItems
	if truncated {
		page = page[:pageItems]
	}
	answer(w, map[string]any{"items": page, "truncated": truncated, "as_of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("wait_ms"))
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		events, asOf, changed := s.since(after)
		if len(events) > 0 || !waiting {
			answer(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(after uint64) (events []item, asOf uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []item{}
	for _, it := range s.history {
		if it.Revision > after {
			events = append(events, it)
		}
	}
	return events, s.revision, s.changed
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails if the daemon has closed the connection
}
