package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	// flowInterval is the interval at which targets are evaluated by their flows: about the interval at which callers
	// retry when the machine of a failed target refuses them.
	flowInterval = 50 * time.Millisecond
	// flowLooks is the number of flow evaluations per tick of the news engine, which so comes every 0.1 s.
	flowLooks = 2
	// firstListsLook is the interval at which the daemon checks whether the first lists can be applied.
	firstListsLook = 10 * time.Millisecond
	// adoptDelay is the delay that collects changes which arrive together into one set of lists.
	adoptDelay = 20 * time.Millisecond
	// adoptPerTarget is added to adoptDelay for each target: about ten times what a target costs when lists are
	// built.
	adoptPerTarget = 50 * time.Microsecond
	// readLimit is the timeout for reading all items, which are tens of pages at a large site.
	readLimit = 10 * time.Second
	// relearnTime is how long a daemon waits for a datagram of another daemon after a pause before it places flows
	// again.
	relearnTime = 600 * time.Millisecond
	// answerSlack is added to the wait of a watch to get the timeout of the call.
	answerSlack = 700 * time.Millisecond
	// reportEvery is the interval at which the status for operators is updated.
	reportEvery = time.Second
	// logLeftOutEvery is the minimum time between two reports of omitted log lines.
	logLeftOutEvery = time.Second
)

// control is the control loop: one goroutine that owns all state except that of the packet path.
type control struct {
	d         *Daemon
	news      *news.Engine
	directory *directory.Directory
	status    atomic.Pointer[Status]

	// adoptAt is when collected changes are applied; zero if there are none.
	adoptAt time.Time
	// steering is true once packets are forwarded.
	steering bool
	// adoptAgain is the earliest time of the next attempt after applying lists panicked.
	adoptAgain time.Time
	// cancel ends the open call to the platform.
	cancel context.CancelFunc
	// pausedAt is when a pause was detected; zero while the lists are current.
	pausedAt time.Time
	lastLine time.Time
	reported time.Time
}

func (c *control) run(ctx context.Context) error {
	c.d.pauses.start()
	c.status.Store(c.report(time.Now()))
	c.d.engine.SetCurrent(true)
	c.handle(ctx, c.news.Start)
	ticker := time.NewTicker(flowInterval)
	defer ticker.Stop()
	looks := 0
	soon := time.NewTimer(0)
	defer soon.Stop()
	for {
		var do func()
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.d.events:
			do = func() { c.take(ctx, e) }
		case s := <-c.d.seeds:
			do = func() {
				c.handle(ctx, func(now time.Time) []news.Action { return c.news.SetSeeds(now, s.Seeds) })
			}
		case <-ticker.C:
			looks++
			do = func() { c.look(ctx, looks%flowLooks == 0) }
		case <-soon.C:
			do = func() { c.handle(ctx, c.news.Tick) }
		}
		_ = c.d.faults.Contain("control", nil, do) // logged by Contain; the event is dropped
		now := time.Now()
		c.adoptContained(now)
		c.arm(now, soon)
	}
}

// look evaluates the flows. With all it also runs the tick of the news engine, the directory and the status.
func (c *control) look(ctx context.Context, all bool) {
	c.tickFlows()
	if all {
		c.tick(ctx)
	}
}

// arm sets the timer for what is due before the next tick.
func (c *control) arm(now time.Time, soon *time.Timer) {
	due := c.adoptAt
	if next, ok := c.news.NextTick(); ok && (due.IsZero() || next.Before(due)) {
		due = next
	}
	if c.d.engine.Lists() == nil && c.news.Filled() && c.news.Outdated(now) {
		due = now.Add(firstListsLook)
	}
	if !due.IsZero() {
		soon.Reset(due.Sub(now))
	}
}

// suspected handles another daemon's report that it did not find targets, whose registrations may have ended. Targets
// with flows here are probed, since only this daemon's own probe may lead to resets; the others are avoided for new
// flows.
func (c *control) suspected(now time.Time, names []string) {
	for _, name := range names {
		t := c.d.engine.Target(model.TargetIDOf(name))
		switch {
		case t == nil:
		case c.d.engine.Loads().Open(t.ID) > 0:
			c.d.probes.put(suspect{target: t, why: suspectTold})
		default:
			c.d.engine.Told(now, t.ID)
		}
	}
}

func (c *control) take(ctx context.Context, e event) {
	if e.datagram == nil {
		c.handle(ctx, e.handle)
		return
	}
	c.handle(ctx, func(now time.Time) []news.Action {
		return c.news.HandleDatagram(now, e.from, *e.datagram)
	})
	c.heardAgain()
}

// heardAgain ends the state after a pause: the lists count as current again, since a datagram of another daemon was
// handled or relearnTime has passed.
func (c *control) heardAgain() {
	if c.pausedAt.IsZero() {
		return
	}
	c.pausedAt = time.Time{}
	c.d.engine.SetCurrent(true)
	c.d.log.Info("lists are current again", "op", "pause", "event", "ended")
}

// tickFlows evaluates targets by their flows and resets the flows of unresponsive ones.
func (c *control) tickFlows() {
	now := time.Now()
	c.noticePause(now)
	c.reset(now, c.d.engine.Tick(now))
}

// noticePause stops new flows after a pause, until the lists are known to be current or relearnTime has passed.
func (c *control) noticePause(now time.Time) {
	if gap := c.d.pauses.look(); gap > 0 {
		c.pausedAt = now
		c.d.engine.SetCurrent(false)
		c.d.store.Reset()
		c.d.log.Warn("process was paused", "op", "pause", "event", "noticed", "for_ms", gap.Milliseconds())
	}
	if !c.pausedAt.IsZero() && now.Sub(c.pausedAt) >= relearnTime {
		c.heardAgain()
	}
}

func (c *control) tick(ctx context.Context) {
	now := time.Now()
	c.handle(ctx, c.news.Tick)
	if c.news.Confirmed() {
		c.d.confirmedAt.Store(now.Add(-c.news.Age(now)).UnixNano())
	}
	if next, ok := c.directory.NextChange(now); ok && !now.Before(next) {
		c.adoptAt = now
	}
	if now.Sub(c.reported) >= reportEvery {
		c.reported = now
		c.status.Store(c.report(now))
	}
	c.reportOmitted(now)
}

// reset sends resets to the callers of flows.
func (c *control) reset(now time.Time, flows []core.TagReset) {
	if len(flows) == 0 {
		return
	}
	out := make([]udpio.Message, 0, len(flows))
	for _, f := range flows {
		m := packet.Meta{Src: f.Caller, Dst: f.Service, Ack: f.Ack}
		raw := c.d.transport.AppendReset(nil, &m)
		out = append(out, udpio.Message{Buf: raw, N: len(raw), Addr: c.d.transport.CallerAddr(&m)})
		c.d.noteReset(now, &f, "silent")
	}
	if n, err := c.d.data.WriteBatch(out); err != nil {
		c.d.metrics.sendErrors.Inc(int64(len(out) - n))
		c.d.log.Warn("sending resets failed", "op", "flow", "event", "send_failed", "err", err)
	}
}

func (c *control) reportOmitted(now time.Time) {
	if now.Sub(c.lastLine) < logLeftOutEvery {
		return
	}
	for _, b := range []*lineBudget{c.d.flowLines, c.d.stateLines} {
		if n, byEvent := b.take(); n > 0 {
			c.lastLine = now
			c.d.log.Warn("log lines were omitted", "op", "log", "event", "left_out", "lines", n, "by_event", byEvent)
		}
	}
}

// handle passes an event to the news engine and executes the actions that it returns.
func (c *control) handle(ctx context.Context, e func(now time.Time) []news.Action) {
	now := time.Now()
	for _, a := range c.decide(now, e) {
		c.perform(ctx, now, a)
	}
}

func (c *control) decide(now time.Time, e func(now time.Time) []news.Action) []news.Action {
	c.d.answers.Lock()
	defer c.d.answers.Unlock()
	return e(now)
}

func (c *control) perform(ctx context.Context, now time.Time, a news.Action) {
	switch a := a.(type) {
	case news.Send:
		if len(a.To) == 0 {
			return
		}
		if err := c.d.peers.send(a.To, a.Datagram); err != nil {
			c.d.log.Error("encoding a datagram failed", "op", "peers", "event", "send_failed", "err", err)
		}
	case news.Changed:
		c.changed(now, a.Items)
	case news.Suspected:
		c.suspected(now, a.Targets)
	case news.ReadAll:
		c.call(ctx, readLimit, func(callCtx context.Context) { c.readAll(ctx, callCtx, a) })
	case news.Watch:
		c.call(ctx, a.Wait+answerSlack, func(callCtx context.Context) { c.watch(ctx, callCtx, a) })
	case news.Abandon:
		c.abandon()
	case news.Fetch:
		c.fetch(ctx, a)
	case news.Reachable:
		c.logReachable(a)
	case news.Reading:
		c.d.log.Info("daemon started or stopped reading the platform", "op", "platform", "event", "reading", "reads", a.Reading,
			"before", a.Position, "age_ms", a.Age.Milliseconds())
	case news.PeerChanged:
		if c.d.stateLines.allow(now, peerChanged) {
			c.d.log.Info("peer changed", "op", "peers", "event", "peer", "peer", a.Member.Addr, "zone", a.Member.Zone, "up", a.Up)
		}
	}
}

// send passes a function to the control loop, unless ctx ends first.
func (d *Daemon) send(ctx context.Context, handle func(now time.Time) []news.Action) {
	select {
	case d.events <- event{handle: handle}:
	case <-ctx.Done():
	}
}
