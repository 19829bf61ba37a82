package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultBufferBytes is the default size of the buffer of lines that wait for the output. It holds about one second
	// of a busy daemon's lines.
	DefaultBufferBytes = 64 << 10
	// reportInterval is the shortest interval between two lines that report the number of dropped lines.
	reportInterval = time.Second
)

// Sink is an io.Writer for log lines. Each call of Write must pass one or more complete lines. It is safe for
// concurrent use.
type Sink struct {
	out   io.Writer
	limit int

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a sink that writes to out and buffers at most limit bytes. A limit of 0 or less means DefaultBufferBytes.
func New(out io.Writer, limit int) *Sink {
	if limit <= 0 {
		limit = DefaultBufferBytes
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
	case len(s.pending)+len(line) > s.limit:
		s.dropped++
	default:
		s.pending = append(s.pending, line...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the buffered lines and stops the sink. It waits at most the given time for the output.
func (s *Sink) Close(timeout time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	var spare []byte
	var reported time.Time
	for range s.wake {
		for {
			lines, dropped, closed := s.takePending(spare[:0], reported)
			if dropped > 0 {
				reported = time.Now()
				lines = fmt.Appendf(lines, "op=log event=left_out lines=%d\n", dropped)
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

// takePending returns the buffered lines and, if a report is due, the number of dropped lines.
func (s *Sink) takePending(spare []byte, reported time.Time) (lines []byte, dropped int, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, s.pending = s.pending, spare
	if s.dropped > 0 && (s.closed || time.Since(reported) >= reportInterval) {
		dropped, s.dropped = s.dropped, 0
	}
	return lines, dropped, s.closed
}
