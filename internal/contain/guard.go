package contain

import (
	"encoding/hex"
	"errors"
	"net"
	"time"

	"github.com/charmbracelet/log"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/udpio"
)

const (
	// loggedInputBytes is the number of bytes logged of an input that caused a panic: enough for the headers of a packet
	// and the start of its payload.
	loggedInputBytes = 96
	// logLinesPerSecond and logLineBurst are the rate limit and the burst size of log lines about panics and read
	// errors. Without a limit, an input that is repeated would log the same panic each time.
	logLinesPerSecond = 1
	logLineBurst      = 5
	// readRetryDelay is the delay after a failed socket read. It prevents a persistent error from causing a busy loop.
	readRetryDelay = 10 * time.Millisecond
)

// Guard handles panics and socket read errors of a daemon: it counts them, logs them and lets the daemon continue. It is
// safe for concurrent use.
type Guard struct {
	// panics counts the inputs whose processing panicked. readErrors counts the failed socket reads.
	panics, readErrors gometrics.Counter
	log                *log.Logger
	logLimiter         *rate.Limiter
}

// NewGuard returns a Guard that registers its counters in s and logs to l.
func NewGuard(s *metrics.Set, l *log.Logger) *Guard {
	counter := func(name, help string) gometrics.Counter {
		return s.Counter(metrics.Family{Name: name, Help: help})
	}
	return &Guard{
		panics:     counter("fireflypin_contained_panics_total", "Inputs whose handling ended in a panic."),
		readErrors: counter("fireflypin_read_errors_total", "Failed reads of sockets."),
		log:        l,
		logLimiter: rate.NewLimiter(logLinesPerSecond, logLineBurst),
	}
}

// Contain calls do, which processes one input. If do panics, it counts and logs the panic with where and the start of
// raw, and returns the *Panic.
func (g *Guard) Contain(where string, raw []byte, do func()) error {
	err := Run(do)
	if err != nil {
		g.RecordPanic(where, raw, err)
	}
	return err
}

// RecordPanic counts and logs a panic returned by Run. The log line is omitted if the rate limit is exceeded.
func (g *Guard) RecordPanic(where string, raw []byte, err error) {
	g.panics.Inc(1)
	if !g.logLimiter.Allow() {
		return
	}
	var stack []byte
	if p := new(Panic); errors.As(err, &p) {
		stack = p.Stack
	}
	g.log.Error("recovered from a panic while processing an input", "op", "fault", "event", "contained", "where", where, "err", err,
		"input", hex.EncodeToString(raw[:min(len(raw), loggedInputBytes)]), "bytes", len(raw), "stack", string(stack))
}

// handleReadError reports whether a read failed because its socket was closed. It counts and logs any other error and
// waits for readRetryDelay before it returns, so that the caller can retry: the system also reports temporary resource
// shortages as read errors.
func (g *Guard) handleReadError(where string, err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	g.readErrors.Inc(1)
	if g.logLimiter.Allow() {
		g.log.Error("socket read failed; retrying", "op", "fault", "event", "read_failed", "where", where, "err", err)
	}
	time.Sleep(readRetryDelay)
	return false
}

// Read reads a batch of datagrams from conn into in and returns their number. It retries after errors and returns false
// only if the socket was closed.
func (g *Guard) Read(where string, conn udpio.Conn, in []udpio.Message) (int, bool) {
	for {
		n, err := conn.ReadBatch(in)
		if err == nil {
			return n, true
		}
		if g.handleReadError(where, err) {
			return 0, false
		}
	}
}
