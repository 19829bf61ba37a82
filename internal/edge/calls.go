package edge

import (
	"context"
	"errors"
	"time"

	"github.com/fireflypin/fireflypin/internal/news"
)

func (c *controlLoop) logReachable(a news.Reachable) {
	if a.Reachable {
		c.d.log.Info("platform is reachable", "op", "platform", "event", "reached")
		return
	}
	c.d.log.Warn("platform is unreachable", "op", "platform", "event", "lost", "err", a.Err)
}

// call starts a call to the platform in its own goroutine, with a timeout. c.cancel ends it early.
func (c *controlLoop) call(ctx context.Context, limit time.Duration, do func(ctx context.Context)) {
	callCtx, cancel := context.WithTimeout(ctx, limit)
	c.cancel = cancel
	go func() {
		defer cancel()
		do(callCtx)
	}()
}

func (c *controlLoop) cancelCall() {
	if c.cancel != nil {
		c.cancel()
	}
	c.d.store.Reset()
}

func (c *controlLoop) readAll(ctx, callCtx context.Context, a news.ReadAll) {
	c.d.metrics.storeReads.Inc(1)
	var items []news.Item
	var asOf news.Position
	err := c.callContained(func() (err error) {
		items, asOf, err = c.d.store.ReadAll(callCtx, a.Stale, func(targets []news.Item) {
			c.d.post(ctx, func(now time.Time) []news.Action { return c.news.HandleTargets(now, a.Call, targets) })
		})
		return err
	})
	c.handleResponse(ctx, a.Call, asOf.Era, err, func(now time.Time) []news.Action { return c.news.HandleRead(now, a.Call, items, asOf) })
}

// callContained runs a call to the platform. A panic in the call is returned as its error.
func (c *controlLoop) callContained(call func() error) error {
	var err error
	if fault := c.d.guard.Contain("platform", nil, func() { err = call() }); fault != nil {
		return fault
	}
	return err
}

// handleResponse passes the outcome of a call to the platform to the control loop, with the era of the answer. A panic while the response is
// handled counts as a failed call, so that the next call backs off as after any failure.
func (c *controlLoop) handleResponse(ctx context.Context, call, era uint64, err error, handler func(now time.Time) []news.Action) {
	c.d.post(ctx, func(now time.Time) (actions []news.Action) {
		if err == nil {
			err = c.d.guard.Contain("platform", nil, func() { actions = handler(now) })
		}
		if err != nil {
			return c.handleFailure(now, call, era, err)
		}
		return actions
	})
}

func (c *controlLoop) watch(ctx, callCtx context.Context, a news.Watch) {
	c.d.metrics.storeWatches.Inc(1)
	var items []news.Item
	var asOf news.Position
	err := c.callContained(func() (err error) {
		items, asOf, err = c.d.store.Watch(callCtx, a.After, a.Wait)
		return err
	})
	c.handleResponse(ctx, a.Call, asOf.Era, err, func(now time.Time) []news.Action { return c.news.HandleWatch(now, a.Call, items, asOf) })
}

func (c *controlLoop) handleFailure(now time.Time, call, era uint64, err error) []news.Action {
	c.d.metrics.storeFailures.Inc(1)
	undecodable := errors.Is(err, ErrUndecodable)
	if undecodable {
		c.d.metrics.storeUndecodable.Inc(1)
		if c.d.stateLogLimit.allow(now, responseUndecodable) {
			c.d.log.Warn("response of the platform cannot be used", "op", "platform", "event", "undecodable", "revision", c.news.Complete(), "err", err)
		}
	}
	return c.news.HandleFailure(now, call, news.Failure{Err: err, Compacted: errors.Is(err, ErrCompacted), Undecodable: undecodable, Era: era})
}

func (c *controlLoop) fetch(ctx context.Context, a news.Fetch) {
	c.d.metrics.fetches.Inc(1)
	go func() {
		f := news.Fetched{From: a.From}
		if err := c.d.guard.Contain("fetch", nil, func() { f = c.d.fetcher.Fetch(ctx, a.From, a.Have) }); err != nil {
			f.Err = err
		}
		c.d.post(ctx, func(now time.Time) []news.Action {
			if f.Err != nil {
				c.d.log.Warn("fetching items from a peer failed", "op", "peers", "event", "fetch_failed", "peer", a.From, "err", f.Err)
			}
			return c.news.HandleFetched(now, f)
		})
	}()
}
