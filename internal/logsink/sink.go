package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultBytes bounds the lines that wait for the output: about a second of a busy daemon's lines.
	DefaultBytes = 64 << 10
	// reportEvery is the least time between two lines that tell what was left out.
	reportEvery = time.Second
)

// Sink is an io.Writer of whole lines. It is safe for concurrent use.
type Sink struct {
	out   io.Writer
	limit int

	mu      sync.Mutex
	waiting []byte
	omitted int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a sink that writes to out, with at most limit bytes waiting; 0 means DefaultBytes.
func New(out io.Writer, limit int) *Sink {
	if limit <= 0 {
		limit = DefaultBytes
	}
	s := &Sink{out: out, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes a line, or counts it as left out. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	switch {
	case s.closed:
	case len(s.waiting)+len(line) > s.limit:
		s.omitted++
	default:
		s.waiting = append(s.waiting, line...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what waits and ends the sink. It gives the output at most the given time.
func (s *Sink) Close(patience time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.done:
	case <-time.After(patience):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	var spare []byte
	var reported time.Time
	for range s.wake {
		for {
			lines, omitted, closed := s.take(spare[:0], reported)
			if omitted > 0 {
				reported = time.Now()
				lines = fmt.Appendf(lines, "op=log event=left_out lines=%d\n", omitted)
			}
			spare = lines
			if len(lines) == 0 {
				if closed {
					return
				}
				break
			}
			// A refused write has nowhere to be reported; the next line tries again.
			_, _ = s.out.Write(lines)
		}
	}
}

// take returns what waits and, where a report is due, the number of lines left out.
func (s *Sink) take(spare []byte, reported time.Time) (lines []byte, omitted int, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, s.waiting = s.waiting, spare
	if s.omitted > 0 && (s.closed || time.Since(reported) >= reportEvery) {
		omitted, s.omitted = s.omitted, 0
	}
	return lines, omitted, s.closed
}
