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

// Logger returns a logger that writes logfmt lines with the name of the entry VM under the key entry.
func Logger(to io.Writer, s *settings.Settings) *log.Logger {
	logger := log.NewWithOptions(to, log.Options{
		Level:           s.LogLevel,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.LogfmtFormatter,
	})
	return logger.With("entry", s.Name)
}

// Network returns the network of the system's sockets and logs each fallback to a slower mode. workers is the number of
// sockets on one address; 0 means udpio's default of 1.
func Network(i do.Injector, workers int) udpio.Network {
	logger := do.MustInvoke[*log.Logger](i)
	return udpio.System(udpio.Config{
		Workers: workers,
		OnFallback: func(r udpio.FallbackReport) {
			logger.Warn("system call not available; using a slower fallback", "op", "listen", "event", "fallback",
				"fallback", r.Fallback.String(), "cause", r.Cause)
		},
	})
}

// Keys returns the key store for datagrams between daemons.
func Keys(i do.Injector) (*wire.KeyStore, error) {
	ring, err := wire.LoadKeyringOrDefault(do.MustInvoke[*settings.Settings](i).KeyFiles)
	if err != nil {
		return nil, err
	}
	return wire.NewKeyStore(ring), nil
}

// TLS returns the TLS config of calls between daemons, or nil if the settings name no certificate.
func TLS(i do.Injector) (*tls.Config, error) {
	files := do.MustInvoke[*settings.Settings](i).TLS
	return bulk.TLSConfig(bulk.TLSFiles{Cert: files.CertFile, Key: files.KeyFile, CA: files.CAFile})
}

// ObservedDaemon is a daemon whose readiness and status the operators' server reports.
type ObservedDaemon interface {
	ops.Readiness
	ops.StatusSource
}

// Ops returns the operators' server of a daemon. It serves the readiness, the status and the metrics.
func Ops(i do.Injector, d ObservedDaemon) *ops.Server {
	s := do.MustInvoke[*settings.Settings](i)
	set := do.MustInvoke[*metrics.Set](i)
	set.RegisterProcessMetrics()
	return ops.NewServer(ops.Config{Addr: s.Ops, SecondListenAddr: s.Metrics, Metrics: set, Ready: d, Status: d})
}
