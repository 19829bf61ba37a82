package edge

import (
	"encoding/hex"
	"errors"
	"net"
	"time"

	"golang.org/x/time/rate"

	"github.com/fireflypin/fireflypin/internal/contain"
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

// faults notes what went wrong inside the daemon and was contained. It is safe for concurrent use.
type faults struct {
	d     *Daemon
	lines *rate.Limiter
}

func newFaults(d *Daemon) *faults {
	return &faults{d: d, lines: rate.NewLimiter(faultLinesPerSecond, faultLineBurst)}
}

// contain runs the handling of one input, of which raw is shown in the log where it ends in a panic.
func (f *faults) contain(where string, raw []byte, do func()) error {
	err := contain.Run(do)
	if err != nil {
		f.note(where, raw, err)
	}
	return err
}

// note counts and logs a contained panic.
func (f *faults) note(where string, raw []byte, err error) {
	f.d.metrics.panics.Inc(1)
	if !f.lines.Allow() {
		return
	}
	var stack []byte
	if p := new(contain.Panic); errors.As(err, &p) {
		stack = p.Stack
	}
	f.d.log.Error("the handling of an input was ended by a panic", "op", "fault", "event", "contained", "where", where, "err", err,
		"input", hex.EncodeToString(raw[:min(len(raw), shownInputBytes)]), "bytes", len(raw), "stack", string(stack))
}

// closed reports whether a read failed since its socket was closed. It notes any other failure and waits a moment, so that
// the reader tries again: the system reports passing shortages there.
func (f *faults) closed(where string, err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	f.d.metrics.readErrors.Inc(1)
	if f.lines.Allow() {
		f.d.log.Error("a socket could not be read", "op", "fault", "event", "read_failed", "where", where, "err", err)
	}
	time.Sleep(readRetry)
	return false
}

// read reads until something came; false means that the socket was closed.
func (f *faults) read(where string, conn udpio.Conn, in []udpio.Message) (int, bool) {
	for {
		n, err := conn.ReadBatch(in)
		if err == nil {
			return n, true
		}
		if f.closed(where, err) {
			return 0, false
		}
	}
}
