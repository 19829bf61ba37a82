package edge

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/core/tags"
	"github.com/fireflypin/fireflypin/internal/consent"
	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	// flowTickInterval is the interval at which targets are evaluated by their flows: about the interval at which
	// callers retry when the machine of a failed target refuses them.
	flowTickInterval = 50 * time.Millisecond
	// flowTicksPerEngineTick is the number of flow evaluations per tick of the news engine, which therefore ticks every
	// 0.1 s.
	flowTicksPerEngineTick = 2
	// firstListsCheckInterval is the interval at which the daemon checks whether the first lists can be applied.
	firstListsCheckInterval = 10 * time.Millisecond
	// applyDelay is how long changes are collected after the first one, so that changes that arrive together are
	// applied as one set of lists.
	applyDelay = 20 * time.Millisecond
	// applyDelayPerTarget is added to applyDelay for each known target: about ten times the time per target that
	// building the lists takes.
	applyDelayPerTarget = 50 * time.Microsecond
	// readTimeout is the timeout for reading all items, which are tens of pages at a large site, and for the response
	// to a watch, which may hold the whole configuration. The store ends calls without progress sooner.
	readTimeout = 10 * time.Second
	// pauseRecoveryTimeout is how long a daemon waits at most, after a pause, for a datagram of another daemon before
	// it places flows again.
	pauseRecoveryTimeout = 600 * time.Millisecond
	// statusInterval is the interval at which the status for operators is updated.
	statusInterval = time.Second
	// omittedLogInterval is the minimum time between two reports of omitted log lines.
	omittedLogInterval = time.Second
)

// controlLoop is the control loop: one goroutine that owns all state except that of the packet path.
type controlLoop struct {
	d         *Daemon
	news      *news.Engine
	directory *directory.Directory
	// consent asks the other daemons before resets of idle flows.
	consent *consent.Engine
	// startedAt is the start of the process.
	startedAt time.Time
	status    atomic.Pointer[Status]
	// waitingForwarder places the SYNs that wait while no packet arrives.
	waitingForwarder *forwarder
	roomMeasuredAt   time.Time

	// applyAt is when collected changes are applied; zero if there are none.
	applyAt time.Time
	drains  zoneDrains
	// forwarding is true once packets are forwarded.
	forwarding bool
	// retryAt is the earliest time to apply lists again after an attempt panicked.
	retryAt time.Time
	// cancel ends the open call to the platform.
	cancel context.CancelFunc
	// seenStalls is the loop's counter for pauseDetector.newStall.
	seenStalls int64
	// pausedAt is when a pause was detected; zero while the lists are current.
	pausedAt        time.Time
	omittedLoggedAt time.Time
	statusUpdatedAt time.Time
	// used holds the names of the targets that warm up and that this daemon uses.
	used map[string]bool
	// zoneSizes holds the numbers of daemons that live daemons say they know in their zones.
	zoneSizes map[netip.AddrPort]int
}

func (c *controlLoop) run(ctx context.Context) error {
	c.d.pauses.start()
	c.status.Store(c.buildStatus(time.Now()))
	c.d.engine.SetCurrent(true)
	c.handle(ctx, c.news.Start)
	ticker := time.NewTicker(flowTickInterval)
	defer ticker.Stop()
	ticks := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var handler func()
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.d.events:
			handler = func() { c.handleEvent(ctx, e) }
		case s := <-c.d.changedSettings:
			handler = func() {
				c.handle(ctx, func(now time.Time) []news.Action { return c.news.SetSeeds(now, s.Seeds) })
			}
		case <-ticker.C:
			ticks++
			handler = func() { c.onTick(ctx, ticks%flowTicksPerEngineTick == 0) }
		case <-timer.C:
			handler = func() { c.handle(ctx, c.news.Tick) }
		}
		_ = c.d.guard.Contain("control", nil, handler) // logged by Contain; the event is dropped
		now := time.Now()
		c.applyListsContained(now)
		c.armTimer(now, timer)
	}
}

// onTick evaluates the flows. If all is true, it also ticks the news engine, checks the directory and updates the
// status.
func (c *controlLoop) onTick(ctx context.Context, all bool) {
	c.tickFlows()
	if all {
		c.tickEngines(ctx)
	}
}

// armTimer sets the timer for what is due before the next tick.
func (c *controlLoop) armTimer(now time.Time, timer *time.Timer) {
	due := c.applyAt
	if next, ok := c.news.NextTick(); ok && (due.IsZero() || next.Before(due)) {
		due = next
	}
	if c.d.engine.Lists() == nil && c.news.Synced() && c.news.Outdated(now) {
		due = now.Add(firstListsCheckInterval)
	}
	if !due.IsZero() {
		timer.Reset(due.Sub(now))
	}
}

// handleSuspected handles another daemon's report that it did not find targets, whose registrations may have ended.
// Targets that have flows of this daemon are probed, since only this daemon's own probe may lead to resets; the others
// are avoided for new flows.
func (c *controlLoop) handleSuspected(now time.Time, names []string) {
	for _, name := range names {
		t := c.d.engine.Target(c.directory.ID(name))
		switch {
		case t == nil:
		case c.d.engine.Loads().Open(t.ID) > 0:
			c.d.probeQueue.enqueue(suspect{target: t, reason: reasonReported})
		default:
			c.d.engine.PeerReportedNotFound(now, t.ID)
		}
	}
}

func (c *controlLoop) handleEvent(ctx context.Context, e controlEvent) {
	switch {
	case e.question != nil:
		c.handleQuestion(time.Now(), e.from, e.question)
		return
	case e.answer != nil:
		c.handleAnswer(time.Now(), e.from, e.answer)
		return
	case e.datagram == nil:
		c.handle(ctx, e.handle)
		return
	}
	c.handle(ctx, func(now time.Time) []news.Action {
		return c.news.HandleDatagram(now, e.from, *e.datagram)
	})
	c.endPause()
}

// endPause ends the state after a pause: the lists count as current again, since a datagram of another daemon was
// handled or pauseRecoveryTimeout has passed.
func (c *controlLoop) endPause() {
	if c.pausedAt.IsZero() {
		return
	}
	c.pausedAt = time.Time{}
	c.d.engine.SetCurrent(true)
	c.d.log.Info("lists are current again", "op", "pause", "event", "ended")
}

// tickFlows evaluates targets by their flows and resets the flows of unresponsive ones.
func (c *controlLoop) tickFlows() {
	now := time.Now()
	c.checkPause(now)
	c.resetIdleFlows(now)
	c.tickSpeeds(now)
	c.tickShortage(now)
}

// checkPause stops new flows after a pause, until the lists are known to be current or pauseRecoveryTimeout has passed.
func (c *controlLoop) checkPause(now time.Time) {
	gap := c.d.pauses.check()
	if c.d.pauses.newStall(&c.seenStalls) {
		c.d.engine.Stalled(now.Add(backlogTime))
		c.consent.Cancel()
	}
	if gap > 0 {
		c.pausedAt = now
		c.d.engine.SetCurrent(false)
		c.d.warmup.Suspend(now)
		c.d.store.Reset()
		c.d.log.Warn("process was paused", "op", "pause", "event", "noticed", "for_ms", gap.Milliseconds())
	}
	if !c.pausedAt.IsZero() && now.Sub(c.pausedAt) >= pauseRecoveryTimeout {
		c.endPause()
	}
}

func (c *controlLoop) tickEngines(ctx context.Context) {
	now := time.Now()
	c.handle(ctx, c.news.Tick)
	c.updateWarmup(now)
	if c.news.Confirmed() {
		c.d.confirmedAt.Store(now.Add(-c.news.Age(now)).UnixNano())
	}
	if next, ok := c.directory.NextChange(now); ok && !now.Before(next) {
		c.applyAt = now
	}
	if now.Sub(c.statusUpdatedAt) >= statusInterval {
		c.statusUpdatedAt = now
		c.status.Store(c.buildStatus(now))
	}
	c.logOmitted(now)
}

// sendResets sends resets to the callers of flows.
func (c *controlLoop) sendResets(now time.Time, flows []tags.FlowReset) {
	if len(flows) == 0 {
		return
	}
	out := make([]udpio.Message, 0, len(flows))
	for _, f := range flows {
		m := packet.Meta{Src: f.Caller, Dst: f.Service, Ack: f.Ack}
		raw := c.d.transport.AppendReset(nil, &m)
		out = append(out, udpio.Message{Buf: raw, N: len(raw), Addr: c.d.transport.CallerAddr(&m)})
		c.d.recordReset(now, &f, "silent")
	}
	if n, err := c.d.data.WriteBatch(out); err != nil {
		c.d.metrics.sendErrors.Inc(int64(len(out) - n))
		c.d.log.Warn("sending resets failed", "op", "flow", "event", "send_failed", "err", err)
	}
}

func (c *controlLoop) logOmitted(now time.Time) {
	if now.Sub(c.omittedLoggedAt) < omittedLogInterval {
		return
	}
	for _, l := range []*logLimiter{c.d.flowLogLimit, c.d.stateLogLimit} {
		if n, byEvent := l.takeOmitted(); n > 0 {
			c.omittedLoggedAt = now
			c.d.log.Warn("log lines were omitted", "op", "log", "event", "left_out", "lines", n, "by_event", byEvent)
		}
	}
}

// handle passes an event to the news engine and executes the actions that it returns.
func (c *controlLoop) handle(ctx context.Context, handler func(now time.Time) []news.Action) {
	now := time.Now()
	for _, a := range c.callEngine(now, handler) {
		c.execute(ctx, now, a)
	}
}

func (c *controlLoop) callEngine(now time.Time, handler func(now time.Time) []news.Action) []news.Action {
	c.d.newsMu.Lock()
	defer c.d.newsMu.Unlock()
	return handler(now)
}

func (c *controlLoop) execute(ctx context.Context, now time.Time, a news.Action) {
	switch a := a.(type) {
	case news.Send:
		if len(a.To) == 0 {
			return
		}
		if err := c.d.peers.send(a.To, a.Datagram); err != nil {
			c.d.log.Error("encoding a datagram failed", "op", "peers", "event", "send_failed", "err", err)
		}
	case news.ItemsChanged:
		c.applyItems(now, a.Items)
	case news.ReportsReceived:
		c.handleReports(a)
	case news.TargetsSuspected:
		c.handleSuspected(now, a.Targets)
	case news.ReadAll:
		c.call(ctx, readTimeout, func(callCtx context.Context) { c.readAll(ctx, callCtx, a) })
	case news.Watch:
		c.call(ctx, a.Wait+readTimeout, func(callCtx context.Context) { c.watch(ctx, callCtx, a) })
	case news.CancelCall:
		c.cancelCall()
	case news.Fetch:
		c.fetch(ctx, a)
	case news.Reachable:
		c.logReachable(a)
	case news.Reading:
		c.d.log.Info("daemon started or stopped reading the platform", "op", "platform", "event", "reading", "reads", a.Reading,
			"before", a.ReaderRank, "age_ms", a.Age.Milliseconds())
	case news.EraBegan:
		c.logEra(a)
	case *news.Held:
		c.logHeld(now, a)
	case news.PeerChanged:
		c.countDaemons(now)
		if c.d.stateLogLimit.allow(now, peerChanged) {
			c.d.log.Info("peer changed", "op", "peers", "event", "peer", "peer", a.Member.Addr, "zone", a.Member.Zone, "up", a.Up)
		}
	}
}

// post passes a function to the control loop, unless ctx ends first.
func (d *Daemon) post(ctx context.Context, handle func(now time.Time) []news.Action) {
	select {
	case d.events <- controlEvent{handle: handle}:
	case <-ctx.Done():
	}
}
