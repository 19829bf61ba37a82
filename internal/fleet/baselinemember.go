package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/internal/scenario"
	"github.com/fireflypin/fireflypin/internal/standin"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/model"
)

const (
	baselineRetryInterval = 200 * time.Millisecond
	baselineWatchWait     = "5s"
	baselineCallTimeout   = 10 * time.Second
)

// baselineMember runs a Baseline with its socket and follows the platform's published lists.
type baselineMember struct {
	url    string
	node   *standin.Node
	cancel context.CancelFunc
	wg     sync.WaitGroup
	client *http.Client
	table  *Baseline

	mu        sync.Mutex
	revisions model.Revisions
}

func startBaseline(site *scenario.Site, plan scenario.EntryPlan, network udpio.Network, table bool) (member, error) {
	b := NewBaseline(BaselineConfig{Table: table, Egress: site.Egress})
	m := &baselineMember{
		url:    site.PlatformURL(plan.Zone),
		node:   standin.NewNode(network, b),
		client: &http.Client{Timeout: baselineCallTimeout},
		table:  b,
	}
	if _, err := m.node.Listen(plan.Data, nil); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.wg.Add(1)
	go m.follow(ctx)
	return m, nil
}

// follow applies the newest published lists until ctx is done.
func (m *baselineMember) follow(ctx context.Context) {
	defer m.wg.Done()
	for ctx.Err() == nil {
		if err := m.refresh(ctx); err != nil {
			select {
			case <-time.After(baselineRetryInterval):
			case <-ctx.Done():
			}
		}
	}
}

// refresh reads the lists, applies them and waits for a change.
func (m *baselineMember) refresh(ctx context.Context) error {
	var d lists.Documents
	for kind, doc := range map[lists.Kind]*lists.Document{
		lists.KindCustomers: &d.Customers,
		lists.KindPlans:     &d.Plans,
		lists.KindMachines:  &d.Machines,
	} {
		data, err := m.get(ctx, "/v1/lists/"+kind.String())
		if err != nil {
			return err
		}
		*doc = lists.Document{Name: kind.String(), Data: data}
	}
	snapshot, err := lists.Parse(d)
	if err != nil {
		return fmt.Errorf("read lists: %w", err)
	}
	m.node.Do(func(time.Time) []standin.Datagram {
		m.table.SetSnapshot(snapshot)
		return nil
	})
	m.mu.Lock()
	m.revisions = snapshot.Revisions
	m.mu.Unlock()
	return m.watch(ctx, snapshot.Revisions)
}

// watch blocks until the platform has a list that is newer than rev.
func (m *baselineMember) watch(ctx context.Context, rev model.Revisions) error {
	path := fmt.Sprintf("/v1/watch?customers=%d&plans=%d&machines=%d&wait=%s", rev.Customers, rev.Plans, rev.Machines, baselineWatchWait)
	for {
		data, err := m.get(ctx, path)
		if err != nil {
			return err
		}
		var current model.Revisions
		if err := json.Unmarshal(data, &current); err != nil {
			return fmt.Errorf("decode watch response: %w", err)
		}
		if !rev.Covers(current) {
			return nil
		}
	}
}

func (m *baselineMember) get(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, m.url+path, nil)
	if err != nil {
		return nil, fmt.Errorf("create platform request: %w", err)
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call platform: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("request %s from platform: %s", path, resp.Status)
	}
	return io.ReadAll(resp.Body)
}

// Ready reports whether lists have been applied.
func (m *baselineMember) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revisions.Machines > 0
}

// Stop stops the member at once, because a baseline has no state to hand over.
func (m *baselineMember) Stop(context.Context) error {
	m.Kill()
	return nil
}

// Kill stops the member at once.
func (m *baselineMember) Kill() {
	m.cancel()
	m.node.Close()
	m.wg.Wait()
}

// Status returns the counters and list revisions.
func (m *baselineMember) Status() Status {
	var st Status
	m.node.Do(func(time.Time) []standin.Datagram {
		st.Flows = len(m.table.flows)
		st.Packets = m.table.packets
		return nil
	})
	m.mu.Lock()
	st.Revisions = m.revisions
	m.mu.Unlock()
	return st
}
