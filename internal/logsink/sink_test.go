package logsink

import (
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// blockingWriter is an output whose writes block until it is opened.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

func (w *blockingWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

func TestSink(t *testing.T) {
	Convey("Lines are written complete and in order", t, func() {
		out := &blockingWriter{open: make(chan struct{})}
		close(out.open)
		s := New(out, 0)
		for range 100 {
			_, err := s.Write([]byte("line\n"))
			So(err, ShouldBeNil)
		}
		s.Close(time.Minute)
		So(out.String(), ShouldEqual, strings.Repeat("line\n", 100))
	})
	Convey("A blocked output does not block Write, and dropped lines are counted", t, func() {
		out := &blockingWriter{open: make(chan struct{})}
		s := New(out, 50)
		for range 1000 {
			n, err := s.Write([]byte("0123456789\n"))
			So(n, ShouldEqual, 11)
			So(err, ShouldBeNil)
		}
		close(out.open)
		s.Close(time.Minute)
		lines := strings.Count(out.String(), "0123456789\n")
		So(lines, ShouldBeLessThan, 20)
		So(out.String(), ShouldContainSubstring, "event=left_out lines=")
	})
	Convey("A full pipe without a reader blocks neither Write nor Close", t, func() {
		r, w, err := os.Pipe()
		So(err, ShouldBeNil)
		s := New(w, 1<<20)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 10_000 {
			_, _ = s.Write(line)
		}
		s.Close(time.Millisecond)
		So(r.Close(), ShouldBeNil)
		So(w.Close(), ShouldBeNil)
	})
}
