// Package stall ends HTTP calls whose response does not begin in time or makes no progress, whatever their whole
// duration is.
//
// Load pattern: a large response over a slow or busy link. A limit on the whole call would end it each time before the
// response is complete, and the caller would never get it.
package stall

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrStalled is the cause of a call that the Transport ended.
var ErrStalled = errors.New("response did not begin in time or made no progress")

// Transport limits the calls of another one.
type Transport struct {
	Base http.RoundTripper
	// Begin bounds the time until a response begins, and Stall the time without any byte of one that has begun.
	Begin, Stall time.Duration
}

// beginKey is the key of the context value that WithBegin sets.
type beginKey struct{}

// WithBegin returns a context for calls whose response must begin within the time begin, in place of Transport.Begin.
func WithBegin(ctx context.Context, begin time.Duration) context.Context {
	return context.WithValue(ctx, beginKey{}, begin)
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	begin := t.Begin
	if d, ok := r.Context().Value(beginKey{}).(time.Duration); ok {
		begin = d
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	timer := time.AfterFunc(begin, func() { cancel(ErrStalled) })
	resp, err := t.Base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, err
	}
	timer.Reset(t.Stall)
	resp.Body = &body{ReadCloser: resp.Body, timer: timer, stall: t.Stall, cancel: cancel}
	return resp, nil
}

// body restarts the timer with each read that returns data.
type body struct {
	io.ReadCloser
	timer  *time.Timer
	stall  time.Duration
	cancel context.CancelCauseFunc
}

// progressBytes is the number of bytes that count as progress: a response body may fill the whole buffer before it
// returns.
const progressBytes = 1024

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), progressBytes)])
	if n > 0 {
		b.timer.Reset(b.stall)
	}
	return n, err
}

func (b *body) Close() error {
	b.timer.Stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
