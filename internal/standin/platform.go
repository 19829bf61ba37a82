package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// ListName is the name of a published list.
type ListName string

// The published lists.
const (
	ListCustomers ListName = "customers"
	ListPlans     ListName = "plans"
	ListMachines  ListName = "machines"
)

var listNames = [...]ListName{ListCustomers, ListPlans, ListMachines}

// maxWatch bounds the wait of a watch call.
const maxWatch = time.Minute

// PlatformFault describes how the platform's service misbehaves.
type PlatformFault struct {
	// Down answers every call with 503.
	Down bool
	// Delay is added to each response.
	Delay time.Duration
	// StaleShare is the share of reads, 0 to 1, that are answered with the previous version of the document, as by a
	// stale replica.
	StaleShare float64
	// TruncatedShare is the share of reads, 0 to 1, whose body is cut off in the middle.
	TruncatedShare float64
}

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// CallsPerSecond is the rate limit over all clients; default 2000.
	CallsPerSecond int
	// Lag is the delay from Publish until a document can be read; default 0.
	Lag time.Duration
	// Rand is the random source; required.
	Rand *rand.Rand
}

// version is one published state of a list.
type version struct {
	revision uint64
	data     []byte
}

// PlatformCounts holds the platform's counters since its start. OverBudget counts the calls refused by the rate
// limit.
type PlatformCounts struct {
	Calls, Reads, Watches, OverBudget int
}

// Platform simulates the platform's read-and-watch service.
//
//	GET /v1/lists/{customers|plans|machines}
//	GET /v1/watch?customers=N&plans=N&machines=N&wait=30s
//
// It holds three documents in memory. A watch counts as one call against the rate limit, however long it waits.
type Platform struct {
	cfg    PlatformConfig
	budget *rate.Limiter
	mux    *http.ServeMux

	mu       sync.Mutex
	current  map[ListName]version
	previous map[ListName]version
	changed  chan struct{}
	fault    PlatformFault
	counts   PlatformCounts
}

// NewPlatform returns a platform without documents.
func NewPlatform(cfg PlatformConfig) *Platform {
	cfg.CallsPerSecond = cmp.Or(cfg.CallsPerSecond, 2000)
	p := &Platform{
		cfg:      cfg,
		budget:   rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.CallsPerSecond),
		mux:      http.NewServeMux(),
		current:  make(map[ListName]version),
		previous: make(map[ListName]version),
		changed:  make(chan struct{}),
	}
	p.mux.HandleFunc("GET /v1/lists/{name}", p.serveList)
	p.mux.HandleFunc("GET /v1/watch", p.serveWatch)
	return p
}

// Publish makes a document readable after the configured lag.
func (p *Platform) Publish(name ListName, revision uint64, data []byte) {
	if p.cfg.Lag == 0 {
		p.apply(name, version{revision: revision, data: data})
		return
	}
	time.AfterFunc(p.cfg.Lag, func() { p.apply(name, version{revision: revision, data: data}) })
}

func (p *Platform) apply(name ListName, v version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.previous[name] = p.current[name]
	p.current[name] = v
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetFault replaces the current fault of the service.
func (p *Platform) SetFault(f PlatformFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Counts returns the counters since the start.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// ServeHTTP serves one call. It answers with 503 while the service is down or the rate limit is exceeded.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault, allowed := p.admit(time.Now())
	if fault.Delay > 0 && !sleep(r, fault.Delay) {
		return
	}
	if fault.Down || !allowed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over budget or down", http.StatusServiceUnavailable)
		return
	}
	p.mux.ServeHTTP(w, r)
}

// admit counts a call and checks the rate limit; it also returns the current fault.
func (p *Platform) admit(now time.Time) (PlatformFault, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Calls++
	allowed := p.budget.AllowN(now, 1)
	if !allowed {
		p.counts.OverBudget++
	}
	return p.fault, allowed
}

// sleep waits for d; false if the client disconnects first.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	v, truncated := p.read(ListName(r.PathValue("name")))
	if v.revision == 0 {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set("Content-Length", strconv.Itoa(len(v.data)))
	w.Header().Set("X-Revision", strconv.FormatUint(v.revision, 10))
	if !truncated {
		_, _ = w.Write(v.data)
		return
	}
	_, _ = w.Write(v.data[:len(v.data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// read returns the version of a document to answer with, and whether to cut its body off in the middle.
func (p *Platform) read(name ListName) (v version, truncated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	v = p.current[name]
	if old := p.previous[name]; old.revision > 0 && p.cfg.Rand.Float64() < p.fault.StaleShare {
		v = old
	}
	return v, p.cfg.Rand.Float64() < p.fault.TruncatedShare
}

// watchResponse is the response body of a watch: the current revisions.
type watchResponse struct {
	Customers uint64 `json:"customers"`
	Plans     uint64 `json:"plans"`
	Machines  uint64 `json:"machines"`
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	known, wait, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	expired := time.After(wait)
	for {
		current, changed := p.revisions()
		if current.newerThan(known) {
			writeJSON(w, current)
			return
		}
		select {
		case <-changed:
		case <-expired:
			writeJSON(w, current)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) revisions() (watchResponse, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return watchResponse{
		Customers: p.current[ListCustomers].revision,
		Plans:     p.current[ListPlans].revision,
		Machines:  p.current[ListMachines].revision,
	}, p.changed
}

func (r watchResponse) newerThan(known watchResponse) bool {
	return r.Customers > known.Customers || r.Plans > known.Plans || r.Machines > known.Machines
}

// parseWatch parses the revisions that the client knows and its wait time.
func parseWatch(r *http.Request) (known watchResponse, wait time.Duration, err error) {
	fields := [...]*uint64{&known.Customers, &known.Plans, &known.Machines}
	for i, name := range listNames {
		text := r.FormValue(string(name))
		if text == "" {
			continue
		}
		if *fields[i], err = strconv.ParseUint(text, 10, 64); err != nil {
			return known, 0, fmt.Errorf("read revision of %s: %w", name, err)
		}
	}
	wait = 30 * time.Second
	if text := r.FormValue("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return known, 0, fmt.Errorf("read wait: %w", err)
		}
	}
	return known, min(wait, maxWatch), nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
