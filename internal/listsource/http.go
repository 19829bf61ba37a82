package listsource

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// maxRetryAfter is the longest Retry-After delay that is honoured.
const maxRetryAfter = 30 * time.Second

// errNoPeers is returned for requests to peers if the client is configured without Peers.
var errNoPeers = errors.New("no client for requests to peers")

// CallError is the error of a call that the platform answered with an HTTP status other than 200.
type CallError struct {
	Status     int
	RetryAfter time.Duration
}

// Error implements error. The text contains the HTTP status.
func (e *CallError) Error() string {
	return "platform returned HTTP status " + strconv.Itoa(e.Status)
}

// failureOf converts the error of a call to a Failure for the Reader.
func failureOf(err error) Failure {
	f := Failure{Err: err}
	var callErr *CallError
	if errors.As(err, &callErr) {
		f.RetryAfter = callErr.RetryAfter
		f.Absent = callErr.Status == http.StatusNotFound
	}
	return f
}

// HTTP is a Platform that calls the platform's service over HTTP.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns a client of the platform's service at the URL base. Timeouts are set by the context of
// each call.
func NewHTTP(base string) *HTTP {
	return &HTTP{
		base: strings.TrimSuffix(base, "/"),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     time.Minute,
		}},
	}
}

// List implements Platform.
func (h *HTTP) List(ctx context.Context, kind lists.Kind) (uint64, []byte, error) {
	header, body, err := h.get(ctx, "/v1/lists/"+kind.String())
	if err != nil {
		return 0, nil, fmt.Errorf("read list of %s: %w", kind, err)
	}
	revision, err := strconv.ParseUint(header.Get("X-Revision"), 10, 63)
	if err != nil {
		return 0, nil, fmt.Errorf("read list of %s: header X-Revision: %w", kind, err)
	}
	return revision, body, nil
}

// watchResponse is the JSON body of a watch response.
type watchResponse struct {
	Customers uint64 `json:"customers"`
	Plans     uint64 `json:"plans"`
	Machines  uint64 `json:"machines"`
}

// Watch implements Platform.
func (h *HTTP) Watch(ctx context.Context, after model.Revisions, wait time.Duration) (model.Revisions, error) {
	query := url.Values{
		"customers": {strconv.FormatUint(after.Customers, 10)},
		"plans":     {strconv.FormatUint(after.Plans, 10)},
		"machines":  {strconv.FormatUint(after.Machines, 10)},
		"wait":      {wait.String()},
	}
	_, body, err := h.get(ctx, "/v1/watch?"+query.Encode())
	if err != nil {
		return model.Revisions{}, fmt.Errorf("watch lists: %w", err)
	}
	var a watchResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return model.Revisions{}, fmt.Errorf("watch lists: %w", err)
	}
	return model.Revisions{Customers: a.Customers, Plans: a.Plans, Machines: a.Machines}, nil
}

// get sends a GET request and reads the response. It reads at most lists.MaxBytes+1 bytes of the body, so
// that an oversized list is detected by its checks.
func (h *HTTP) get(ctx context.Context, path string) (http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+path, nil)
	if err != nil {
		return nil, nil, err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, nil, &CallError{Status: resp.StatusCode, RetryAfter: retryAfter(resp.Header)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, lists.MaxBytes+1))
	return resp.Header, body, err
}

// retryAfter returns the delay of a Retry-After header in seconds, or 0 for any other form.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.client.CloseIdleConnections()
}
