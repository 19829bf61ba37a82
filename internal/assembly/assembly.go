package assembly

import (
	"crypto/tls"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/do/v2"

	"github.com/fireflypin/fireflypin/internal/bulk"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/ops"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/wire"
)

// Logger returns a logger of logfmt lines that name the entry VM.
func Logger(to io.Writer, s *settings.Settings) *log.Logger {
	logger := log.NewWithOptions(to, log.Options{
		Level:           s.LogLevel,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.LogfmtFormatter,
	})
	return logger.With("entry", s.Name)
}

// Network returns the system's sockets and logs where a slower way is taken; 0 workers leave their number to udpio.
func Network(i do.Injector, workers int) udpio.Network {
	logger := do.MustInvoke[*log.Logger](i)
	return udpio.System(udpio.Config{
		Workers: workers,
		OnFallback: func(r udpio.Report) {
			logger.Warn("system call not available", "op", "listen", "event", "fallback",
				"fallback", r.Fallback.String(), "cause", r.Cause)
		},
	})
}

// Keys returns the keys of datagrams between daemons.
func Keys(i do.Injector) (*wire.KeyStore, error) {
	ring, err := wire.KeyringOf(do.MustInvoke[*settings.Settings](i).KeyFiles)
	if err != nil {
		return nil, err
	}
	return wire.NewKeyStore(ring), nil
}

// TLS returns the config of calls between daemons; nil where the settings name no certificate.
func TLS(i do.Injector) (*tls.Config, error) {
	files := do.MustInvoke[*settings.Settings](i).TLS
	return bulk.TLSConfig(bulk.TLSFiles{Cert: files.CertFile, Key: files.KeyFile, CA: files.CAFile})
}

// Operated is a daemon as operators see it.
type Operated interface {
	ops.Readiness
	ops.StatusSource
}

// Ops returns the operators' server of a daemon.
func Ops(i do.Injector, d Operated) *ops.Server {
	s := do.MustInvoke[*settings.Settings](i)
	set := do.MustInvoke[*metrics.Set](i)
	set.RegisterProcess()
	return ops.NewServer(ops.Config{Addr: s.Ops, Second: s.Metrics, Metrics: set, Ready: d, Status: d})
}
