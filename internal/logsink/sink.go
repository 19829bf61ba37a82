package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultBytes is the default size of the buffer of lines that wait for the output. It holds about one second
	// of a busy daemon's lines.
	DefaultBytes = 64 << 10
	// reportEvery is the shortest interval between two lines that report the number of dropped lines.
	reportEvery = time.Second
)

// Sink is an io.Writer for log lines. Each call of Write must pass one or more complete lines. It is safe for
// concurrent use.
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

// New returns a sink that writes to out and buffers at most limit bytes. A limit of 0 or less means DefaultBytes.
func New(out io.Writer, limit int) *Sink {
	if limit <= 0 {
		limit = DefaultBytes
	}
	s := &Sink{out: out, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers a line, or counts it as dropped if the buffer is full. After Close it discards the line. It never
// returns an error.
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

// Close writes the buffered lines and stops the sink. It waits at most the given time for the output.
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
			// There is nowhere to report a write error. The lines are lost, and later lines are still written.
			_, _ = s.out.Write(lines)
		}
	}
}

// take returns the buffered lines and, if a report is due, the number of dropped lines.
func (s *Sink) take(spare []byte, reported time.Time) (lines []byte, omitted int, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, s.waiting = s.waiting, spare
	if s.omitted > 0 && (s.closed || time.Since(reported) >= reportEvery) {
		omitted, s.omitted = s.omitted, 0
	}
	return lines, omitted, s.closed
}
