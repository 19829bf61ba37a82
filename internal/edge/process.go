package edge

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/do/v2"

	"github.com/fireflypin/fireflypin/internal/assembly"
	"github.com/fireflypin/fireflypin/internal/logsink"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/internal/ops"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/wire"
)

const (
	// opsShutdownTimeout bounds the wait for pending operator requests at shutdown.
	opsShutdownTimeout = 200 * time.Millisecond
	// logFlushTimeout bounds the wait for the last log lines to be written.
	logFlushTimeout = 200 * time.Millisecond
	// settingsCheckInterval is the interval at which the settings file is checked; it may change without a signal.
	settingsCheckInterval = 5 * time.Second
)

// Options configure a Process besides the settings.
type Options struct {
	Settings *settings.Settings
	// Path is the settings file, which is read again when it changes.
	Path string
	// LogTo receives the log lines.
	LogTo io.Writer
	// Now is the start time of the process.
	Now time.Time
	// Adapter provides the Transport, the Store, the Interpreter and the Prober.
	Adapter func(i do.Injector)
}

// Process is a daemon with its operators' server, its log output and the reloading of its settings.
type Process struct {
	options Options
	daemon  *Daemon
	ops     *ops.Server
	sink    *logsink.Sink
	log     *log.Logger
	reload  chan struct{}
}

// NewProcess builds all modules of a process. It opens no sockets.
func NewProcess(o Options) (*Process, error) {
	i := do.New()
	sink := logsink.New(o.LogTo, 0)
	do.ProvideValue(i, o.Settings)
	do.ProvideValue(i, metrics.NewSet())
	do.ProvideValue(i, assembly.Logger(sink, o.Settings))
	do.Provide(i, func(i do.Injector) (udpio.Network, error) { return assembly.Network(i, 0), nil })
	do.Provide(i, assembly.Keys)
	do.Provide(i, assembly.TLS)
	o.Adapter(i)
	do.Provide(i, func(i do.Injector) (*Daemon, error) { return newDaemon(i, o.Now) })
	do.Provide(i, newOps)
	d, err := do.Invoke[*Daemon](i)
	if err != nil {
		return nil, err
	}
	return &Process{
		options: o,
		daemon:  d,
		ops:     do.MustInvoke[*ops.Server](i),
		sink:    sink,
		log:     do.MustInvoke[*log.Logger](i),
		reload:  make(chan struct{}, 1),
	}, nil
}

func newDaemon(i do.Injector, now time.Time) (*Daemon, error) {
	keys, err := do.Invoke[*wire.KeyStore](i)
	if err != nil {
		return nil, err
	}
	config, err := do.Invoke[*tls.Config](i)
	if err != nil {
		return nil, err
	}
	return New(Deps{
		Settings:    do.MustInvoke[*settings.Settings](i),
		Network:     do.MustInvoke[udpio.Network](i),
		Transport:   do.MustInvoke[Transport](i),
		Store:       do.MustInvoke[Store](i),
		Interpreter: do.MustInvoke[Interpreter](i),
		Prober:      do.MustInvoke[Prober](i),
		Keys:        keys,
		Fetcher:     news.NewFetcher(config),
		System:      HostSystem(config),
		Metrics:     do.MustInvoke[*metrics.Set](i),
		Log:         do.MustInvoke[*log.Logger](i),
		Now:         now,
	}), nil
}

func newOps(i do.Injector) (*ops.Server, error) {
	return assembly.Ops(i, do.MustInvoke[*Daemon](i)), nil
}

// Run serves until ctx ends and returns after the graceful stop.
func (p *Process) Run(ctx context.Context) error {
	defer p.sink.Close(logFlushTimeout)
	if err := p.ops.Listen(); err != nil {
		return err
	}
	if err := p.ops.ListenSecond(); err != nil {
		p.log.Warn("metrics are only served at the ops address", "op", "start", "event", "no_metrics_address", "err", err)
	}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go p.watchSettings(watchCtx)
	err := p.daemon.Run(ctx)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), opsShutdownTimeout)
	defer cancel()
	if stopErr := p.ops.Shutdown(shutdownCtx); stopErr != nil {
		p.log.Warn("operators' server did not shut down cleanly", "op", "stop", "event", "cut", "err", stopErr)
	}
	return err
}

// Reload requests that the settings are read again now.
func (p *Process) Reload() {
	select {
	case p.reload <- struct{}{}:
	default:
		// A reload is already pending.
	}
}

// watchSettings reloads the settings on request and when the file has changed.
func (p *Process) watchSettings(ctx context.Context) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	loaded, err := os.ReadFile(p.options.Path)
	if err != nil {
		p.log.Error("reading the settings file failed", "op", "reload", "event", "refused", "err", err)
	}
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-p.reload:
			requested = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(p.options.Path)
		if err == nil && string(data) == string(loaded) && !requested {
			continue
		}
		loaded = data
		p.applySettings(err)
	}
}

func (p *Process) applySettings(err error) {
	var s *settings.Settings
	if err == nil {
		s, err = settings.Load(p.options.Path)
	}
	if err != nil {
		p.log.Error("settings reload failed", "op", "reload", "event", "refused", "err", err)
		return
	}
	if s.Steering != settings.SteerTags {
		p.log.Error("settings reload failed", "op", "reload", "event", "refused", "err", errSteering)
		return
	}
	changed, restart := settings.ChangedKeys(p.options.Settings, s)
	p.daemon.ApplySettings(s)
	p.log.Info("settings reloaded", "op", "reload", "event", "reloaded", "changed", fmt.Sprint(changed), "need_restart", fmt.Sprint(restart))
}

var errSteering = errors.New("steering: cannot be changed while the daemon runs")
