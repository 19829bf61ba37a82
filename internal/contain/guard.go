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
	// shownInputBytes is how much of an input that ended in a panic is written to the log: a packet's header and the
	// start of its data.
	shownInputBytes = 96
	// faultLinesPerSecond bounds the lines on contained faults, faultLineBurst those at once: an input that comes again
	// and again ends in the same panic each time.
	faultLinesPerSecond = 1
	faultLineBurst      = 5
	// readRetry is the wait after a failed read of a socket, so that an error that stays costs no processor.
	readRetry = 10 * time.Millisecond
)

// Guard contains what goes wrong inside a daemon, and notes it. It is safe for concurrent use.
type Guard struct {
	// panics counts the inputs whose handling ended in a panic, readErrors the failed reads of sockets.
	panics, readErrors gometrics.Counter
	log                *log.Logger
	lines              *rate.Limiter
}

// NewGuard returns a Guard that counts in a set of metrics and writes to a log.
func NewGuard(s *metrics.Set, l *log.Logger) *Guard {
	counter := func(name, help string) gometrics.Counter {
		return s.Counter(metrics.Family{Name: name, Help: help})
	}
	return &Guard{
		panics:     counter("fireflypin_contained_panics_total", "Inputs whose handling ended in a panic."),
		readErrors: counter("fireflypin_read_errors_total", "Failed reads of sockets."),
		log:        l,
		lines:      rate.NewLimiter(faultLinesPerSecond, faultLineBurst),
	}
}

// Contain runs the handling of one input, of which raw is shown in the log where it ends in a panic.
func (g *Guard) Contain(where string, raw []byte, do func()) error {
	err := Run(do)
	if err != nil {
		g.Note(where, raw, err)
	}
	return err
}

// Note counts and logs a contained panic.
func (g *Guard) Note(where string, raw []byte, err error) {
	g.panics.Inc(1)
	if !g.lines.Allow() {
		return
	}
	var stack []byte
	if p := new(Panic); errors.As(err, &p) {
		stack = p.Stack
	}
	g.log.Error("the handling of an input was ended by a panic", "op", "fault", "event", "contained", "where", where, "err", err,
		"input", hex.EncodeToString(raw[:min(len(raw), shownInputBytes)]), "bytes", len(raw), "stack", string(stack))
}

// closed reports whether a read failed since its socket was closed. It notes any other failure and waits a moment, so that
// the reader tries again: the system reports passing shortages there.
func (g *Guard) closed(where string, err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	g.readErrors.Inc(1)
	if g.lines.Allow() {
		g.log.Error("a socket could not be read", "op", "fault", "event", "read_failed", "where", where, "err", err)
	}
	time.Sleep(readRetry)
	return false
}

// Read reads until something came; false means that the socket was closed.
func (g *Guard) Read(where string, conn udpio.Conn, in []udpio.Message) (int, bool) {
	for {
		n, err := conn.ReadBatch(in)
		if err == nil {
			return n, true
		}
		if g.closed(where, err) {
			return 0, false
		}
	}
}
