//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	historyTime  = 20 * time.Second
	maxPageItems = 500
	maxWatchWait = 30 * time.Second
	// notedBytes is the size from which an answer to a watch is noted in the record.
	notedBytes = 4 << 20
)

// kvItem is an item or its removal, as the store encodes it.
type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
	at       time.Time
}

// store is the platform's store: linearizable, with a history of 20 s.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]kvItem
	history  []kvItem
	dropped  uint64 // highest revision that is no longer in the history
	changed  chan struct{}
	down     bool
	handler  http.Handler
	// calls counts the calls of each machine, swallowed holds when the last one came that got no answer.
	calls     map[string]int
	swallowed map[string]time.Time
	note      func(format string, args ...any)
	// log holds all writes, for reads that accept an older state; lag is how old that state is.
	log []kvItem
	lag time.Duration
}

func newStore(addr string, note func(format string, args ...any)) *store {
	s := &store{note: note, revision: 100, dropped: 100, items: make(map[string]kvItem), calls: make(map[string]int), swallowed: make(map[string]time.Time), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	s.handler = mux
	s.listen(addr, "")
	return s
}

// listen serves the store at one more address. Calls there count as those of the named machine.
func (s *store) listen(addr, machine string) {
	l, err := net.Listen("tcp", addr)
	must(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.calls[machine]++; s.down {
			s.swallowed[machine] = time.Now()
		}
		s.mu.Unlock()
		s.handler.ServeHTTP(w, r)
	})}
	go server.Serve(l)
}

// swallowedSince returns the machines whose calls have got no answer since a time.
func (s *store) swallowedSince(at time.Time) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]bool)
	for machine, last := range s.swallowed {
		if last.After(at) {
			out[machine] = true
		}
	}
	return out
}

// callsOf returns the number of calls of a machine.
func (s *store) callsOf(machine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[machine]
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item and returns the time of the acknowledgement.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value)
	return time.Now()
}

func (s *store) write(key string, value []byte) {
	s.revision++
	it := kvItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, at: time.Now()}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	if value == nil {
		it.Removed = true
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.history = append(s.history, it)
	s.log = append(s.log, it)
	s.dropHistory()
	s.wake()
}

// dropHistory drops the changes that are older than the history; the lock must be held.
func (s *store) dropHistory() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// putEntry writes a target's entry. The item changes only if more than its sequence changes.
func (s *store) putEntry(key string, e entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.items[key]; ok {
		var was entry
		if json.Unmarshal(old.Value, &was) == nil {
			was.Sequence = e.Sequence
			if bytes.Equal(mustJSON(was), mustJSON(e)) {
				return
			}
		}
	}
	s.write(key, mustJSON(e))
}

// setLag sets how old the state is that reads with serializable=1 return.
func (s *store) setLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// olderState returns the items as of a time; the lock must be held.
func (s *store) olderState(at time.Time) (map[string]kvItem, uint64) {
	items, asOf := make(map[string]kvItem), uint64(100)
	for _, it := range s.log {
		if it.at.After(at) {
			break
		}
		if asOf = it.Revision; it.Removed {
			delete(items, it.Key)
		} else {
			items[it.Key] = it
		}
	}
	return items, asOf
}

// setDown makes the store silent, or serve again. Calls that come meanwhile, and waiting watches, are never answered.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// swallows reports whether the store is silent; it then returns only when the caller has given up.
func (s *store) swallows(r *http.Request) bool {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		<-r.Context().Done()
	}
	return down
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	if s.swallows(r) {
		return
	}
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, it)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	if s.swallows(r) {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	items, asOf := s.items, s.revision
	if q.Get("serializable") == "1" && s.lag > 0 {
		items, asOf = s.olderState(time.Now().Add(-s.lag))
	}
	out := make([]kvItem, 0)
	for k, it := range items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			out = append(out, it)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b kvItem) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(out) > maxPageItems
	if truncated {
		out = out[:maxPageItems]
	}
	reply(w, map[string]any{"items": out, "truncated": truncated, "as_of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, errWait := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(min(time.Duration(waitMS)*time.Millisecond, maxWatchWait))
	for ended := false; ; {
		s.mu.Lock()
		s.dropHistory()
		down, dropped, asOf, changed := s.down, s.dropped, s.revision, s.changed
		events := make([]kvItem, 0)
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			<-r.Context().Done()
			return
		case after < dropped || after > asOf:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ended:
			body := mustJSON(map[string]any{"events": events, "as_of": asOf})
			if len(body) > notedBytes {
				s.note("the store answers a watch from revision %d with %d changes, %d bytes", after, len(events), len(body))
			}
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// route is a route of a manifest to one service.
type route struct{ name, host, port, kind, service string }

// manifest encodes op/config.
func manifest(version int, maxConnections int, routes []route, services ...string) []byte {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": r.host, "prefix": "/" + r.port + "/", "kind": r.kind, "timeout_ms": 4000,
			"latency_goal_ms": 300, "priority": 1, "service": r.service, "max_attempts": 2,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "health_path": "/health", "max_connections": maxConnections, "protocol": "h1", "tls": false})
	}
	return mustJSON(map[string]any{"version": version, "routes": rs, "services": ss, "limits": map[string]any{"idle_timeout_ms": 15000}})
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	must(err)
	return b
}

func must(err error) {
	if err != nil {
		couldNotRun("%v", err)
	}
}
