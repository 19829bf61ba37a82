package fleet

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/samber/do/v2"

	"github.com/fireflypin/fireflypin/internal/daemon"
	"github.com/fireflypin/fireflypin/internal/ops"
	"github.com/fireflypin/fireflypin/internal/scenario"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/yamldoc"
)

// daemonMember is a daemon that runs in this process.
type daemonMember struct {
	daemon *daemon.Daemon
	ops    *ops.Server
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// startDaemon starts the product with the settings file that a process of its own would read.
func startDaemon(site *scenario.Site, plan scenario.EntryPlan, network udpio.Network, logTo io.Writer) (member, error) {
	text, err := site.Settings(plan, scenario.SourcePlatform)
	if err != nil {
		return nil, err
	}
	s, err := settings.Parse(yamldoc.Document{Name: plan.Name + ".yaml", Data: text})
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	injector := daemon.Wire(daemon.Options{Settings: s, LogTo: logTo, Network: network, Now: time.Now()})
	d, err := do.Invoke[*daemon.Daemon](injector)
	if err != nil {
		return nil, fmt.Errorf("wire daemon: %w", err)
	}
	server, err := do.Invoke[*ops.Server](injector)
	if err != nil {
		return nil, fmt.Errorf("wire operators' server: %w", err)
	}
	if err := server.Listen(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &daemonMember{daemon: d, ops: server, cancel: cancel, done: make(chan struct{})}
	go m.run(ctx)
	return m, nil
}

func (m *daemonMember) run(ctx context.Context) {
	defer close(m.done)
	m.err = m.daemon.Run(ctx)
	ended, cancel := context.WithCancel(context.WithoutCancel(ctx))
	cancel()
	_ = m.ops.Shutdown(ended)
}

// Ready reports whether the daemon serves.
func (m *daemonMember) Ready() bool { return m.daemon.Ready() == nil }

// Stop stops the daemon gracefully.
func (m *daemonMember) Stop(ctx context.Context) error {
	m.cancel()
	select {
	case <-m.done:
		return m.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill ends the daemon. Its sockets were cut off before, so that the rest of its graceful stop, which
// runs on in the background, reaches nobody.
func (m *daemonMember) Kill() { m.cancel() }

// Status returns the daemon's counters.
func (m *daemonMember) Status() Status {
	r := m.daemon.Report()
	return Status{
		Flows:        r.OwnedFlows,
		Exceptions:   r.Exceptions,
		Packets:      uint64(r.ForwardedTotal + r.ReturnedTotal + r.HopsSentTotal),
		Hops:         uint64(r.HopsSentTotal),
		ControlBytes: uint64(r.ControlSentByte),
		Revisions:    r.Revisions,
	}
}
