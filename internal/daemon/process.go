package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/do/v2"

	"github.com/fireflypin/fireflypin/internal/bulk"
	"github.com/fireflypin/fireflypin/internal/ops"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/wire"
)

// opsShutdownTimeout is the longest wait for active requests to the operators' server at shutdown.
const opsShutdownTimeout = time.Second

// Process is a Daemon together with its bulk server and its operators' server.
type Process struct {
	Daemon *Daemon
	Ops    *ops.Server
	bulk   *bulk.Server

	// settings are the current settings. Only Reload replaces them.
	settings *settings.Settings
	keys     *wire.KeyStore
	log      *log.Logger
}

// NewProcess builds all modules of a process. Sockets are opened by Run.
func NewProcess(o Options) (*Process, error) {
	i := Wire(o)
	d, err := do.Invoke[*Daemon](i)
	if err != nil {
		return nil, err
	}
	return &Process{
		Daemon: d,
		Ops:    do.MustInvoke[*ops.Server](i),
		bulk:   do.MustInvoke[*bulk.Server](i),

		settings: o.Settings,
		keys:     do.MustInvoke[*wire.KeyStore](i),
		log:      do.MustInvoke[*log.Logger](i),
	}, nil
}

// Run serves until ctx ends, stops gracefully and then returns.
func (p *Process) Run(ctx context.Context) error {
	if err := p.bulk.Listen(p.Daemon.settings.Bulk); err != nil {
		return err
	}
	defer p.bulk.Close()
	if err := errors.Join(p.Ops.Listen(), p.Ops.ListenSecond()); err != nil {
		return err
	}
	err := p.Daemon.Run(ctx)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), opsShutdownTimeout)
	defer cancel()
	return errors.Join(err, p.Ops.Shutdown(shutdownCtx))
}

// Kill stops the process immediately, without a graceful stop, to simulate a crash.
func (p *Process) Kill() {
	p.bulk.Close()
	p.Daemon.Kill()
}
