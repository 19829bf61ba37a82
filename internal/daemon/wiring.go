package daemon

import (
	"crypto/tls"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/do/v2"

	"github.com/fireflypin/fireflypin/internal/assembly"
	"github.com/fireflypin/fireflypin/internal/bulk"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/ops"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/wire"
)

// Options are the inputs of Wire.
type Options struct {
	Settings *settings.Settings
	// LogTo receives the log lines.
	LogTo io.Writer
	// Network replaces the system's sockets if it is not nil.
	Network udpio.Network
	// Now is the start time of the process.
	Now time.Time
}

// Wire returns a dependency injector with one constructor for each module of the process.
func Wire(o Options) do.Injector {
	i := do.New()
	do.ProvideValue(i, o)
	do.ProvideValue(i, o.Settings)
	do.ProvideValue(i, metrics.NewSet())
	do.ProvideValue(i, assembly.Logger(o.LogTo, o.Settings))
	do.Provide(i, newNetwork)
	do.Provide(i, assembly.Keys)
	do.Provide(i, assembly.TLS)
	do.Provide(i, newBulk)
	do.Provide(i, newBulkServer)
	do.Provide(i, newLists)
	do.Provide(i, newDaemon)
	do.Provide(i, newOps)
	return i
}

func newNetwork(i do.Injector) (udpio.Network, error) {
	o := do.MustInvoke[Options](i)
	if o.Network != nil {
		return o.Network, nil
	}
	return assembly.Network(i, workerCount(o.Settings)), nil
}

func newDaemon(i do.Injector) (*Daemon, error) {
	o := do.MustInvoke[Options](i)
	client, err := do.Invoke[*bulk.Client](i)
	if err != nil {
		return nil, err
	}
	lists, err := do.Invoke[Lists](i)
	if err != nil {
		return nil, err
	}
	keys, err := do.Invoke[*wire.KeyStore](i)
	if err != nil {
		return nil, err
	}
	d := New(Deps{
		Settings: o.Settings,
		Network:  do.MustInvoke[udpio.Network](i),
		Bulk:     client,
		Lists:    lists,
		Keys:     keys,
		Metrics:  do.MustInvoke[*metrics.Set](i),
		Log:      do.MustInvoke[*log.Logger](i),
		Now:      o.Now,
		Probe:    true,
	})
	registerEngine(do.MustInvoke[*metrics.Set](i), d.engine)
	return d, nil
}

// newBulkServer returns the server for bulk calls from other daemons.
func newBulkServer(i do.Injector) (*bulk.Server, error) {
	d, err := do.Invoke[*Daemon](i)
	if err != nil {
		return nil, err
	}
	return bulk.NewServer(d.engine, d.lists, do.MustInvoke[*tls.Config](i)), nil
}

func newOps(i do.Injector) (*ops.Server, error) {
	d, err := do.Invoke[*Daemon](i)
	if err != nil {
		return nil, err
	}
	return assembly.Ops(i, d), nil
}
