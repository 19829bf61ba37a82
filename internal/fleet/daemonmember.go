package fleet

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/fireflypin/fireflypin/internal/daemon"
	"github.com/fireflypin/fireflypin/internal/scenario"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/yamldoc"
)

// daemonMember is a daemon that runs in the current process.
type daemonMember struct {
	process *daemon.Process
	daemon  *daemon.Daemon
	cancel  context.CancelFunc
	done    chan struct{}
	err     error
}

// startDaemon starts the daemon with the same settings file that a separate daemon process would read.
func startDaemon(site *scenario.Site, plan scenario.EntryPlan, network udpio.Network, logTo io.Writer) (member, error) {
	text, err := site.Settings(plan, scenario.SourcePlatform)
	if err != nil {
		return nil, err
	}
	s, err := settings.Parse(yamldoc.Document{Name: plan.Name + ".yaml", Data: text})
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	p, err := daemon.NewProcess(daemon.Options{Settings: s, LogTo: logTo, Network: network, Now: time.Now()})
	if err != nil {
		return nil, fmt.Errorf("create daemon: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &daemonMember{process: p, daemon: p.Daemon, cancel: cancel, done: make(chan struct{})}
	go m.run(ctx)
	return m, nil
}

func (m *daemonMember) run(ctx context.Context) {
	defer close(m.done)
	m.err = m.process.Run(ctx)
}

// Ready reports whether the daemon is ready to serve.
func (m *daemonMember) Ready() bool { return m.daemon.Ready() == nil }

// Stop stops the daemon gracefully and waits until it has exited or ctx is done.
func (m *daemonMember) Stop(ctx context.Context) error {
	m.cancel()
	select {
	case <-m.done:
		return m.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill terminates the daemon without a graceful stop, like a crash.
func (m *daemonMember) Kill() {
	m.process.Kill()
	m.cancel()
}

// Status returns the daemon's counters and list revisions.
func (m *daemonMember) Status() Status {
	r := m.daemon.Report()
	return Status{
		Flows:        r.OwnedFlows,
		Exceptions:   r.Exceptions,
		Packets:      uint64(r.ForwardedTotal + r.ReturnedTotal + r.PeerForwardsSentTotal),
		Forwards:     uint64(r.PeerForwardsSentTotal),
		ControlBytes: uint64(r.ControlSentBytesTotal),
		Revisions:    r.Revisions,
	}
}
