package fleetstatus

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/internal/daemon"
)

// Config configures a Client. Zero values take the defaults.
type Config struct {
	// Timeout limits the duration of one request; the default is 2 s.
	Timeout time.Duration
	// Parallel limits the number of concurrent requests; the default is 16.
	Parallel int
}

// maxStatusBytes limits the size of a daemon's response.
const maxStatusBytes = 8 << 20

// Client requests the status of daemons.
type Client struct {
	cfg  Config
	http *http.Client
}

// NewClient returns a client. Close releases its connections.
func NewClient(cfg Config) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = 2 * time.Second
	}
	if cfg.Parallel <= 0 {
		cfg.Parallel = 16
	}
	return &Client{cfg: cfg, http: &http.Client{Timeout: cfg.Timeout}}
}

// Response is the result of a status request to a daemon's ops address.
type Response struct {
	Ops netip.AddrPort `json:"ops"`
	// Error says why there is no report; it is empty if there is one.
	Error  string         `json:"error,omitempty"`
	Report *daemon.Report `json:"report,omitempty"`
	// Position is how far the daemon has followed the platform; nil for a daemon that steers by owners.
	Position *Position `json:"position,omitempty"`
}

// Position is a point in the platform's history.
type Position struct {
	Era uint64 `json:"era"`
	// Complete is the revision up to which the daemon has every change.
	Complete uint64 `json:"complete"`
	// Held is the number of items that the daemon keeps in force after the platform returned from an older copy.
	Held int `json:"held"`
}

// Fetch sends one request to each address and returns the responses in the same order.
func (c *Client) Fetch(ctx context.Context, ops []netip.AddrPort) []Response {
	responses := make([]Response, len(ops))
	sem := make(chan struct{}, c.cfg.Parallel)
	var wg sync.WaitGroup
	for i, addr := range ops {
		sem <- struct{}{}
		wg.Go(func() {
			responses[i] = c.fetchOne(ctx, addr)
			<-sem
		})
	}
	wg.Wait()
	return responses
}

func (c *Client) fetchOne(ctx context.Context, ops netip.AddrPort) Response {
	report, position, err := c.fetchReport(ctx, ops)
	if err != nil {
		return Response{Ops: ops, Error: err.Error()}
	}
	return Response{Ops: ops, Report: report, Position: position}
}

func (c *Client) fetchReport(ctx context.Context, ops netip.AddrPort) (*daemon.Report, *Position, error) {
	url := "http://" + ops.String() + "/status"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, nil, fmt.Errorf("create request for %s: %w", url, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, fmt.Errorf("read status: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, nil, fmt.Errorf("read status of %s: HTTP status %d", url, resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return nil, nil, fmt.Errorf("read status of %s: %w", url, err)
	}
	report, position, err := decodeReport(text)
	if err != nil {
		return nil, nil, fmt.Errorf("decode status of %s: %w", url, err)
	}
	return report, position, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
