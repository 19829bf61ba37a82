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

func (g *blockingWriter) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

func (g *blockingWriter) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

func TestSink(t *testing.T) {
	Convey("Lines are written complete and in order", t, func() {
		g := &blockingWriter{open: make(chan struct{})}
		close(g.open)
		s := New(g, 0)
		for range 100 {
			_, err := s.Write([]byte("line\n"))
			So(err, ShouldBeNil)
		}
		s.Close(time.Minute)
		So(g.String(), ShouldEqual, strings.Repeat("line\n", 100))
	})
	Convey("A blocked output does not block Write, and dropped lines are counted", t, func() {
		g := &blockingWriter{open: make(chan struct{})}
		s := New(g, 50)
		for range 1000 {
			n, err := s.Write([]byte("0123456789\n"))
			So(n, ShouldEqual, 11)
			So(err, ShouldBeNil)
		}
		close(g.open)
		s.Close(time.Minute)
		lines := strings.Count(g.String(), "0123456789\n")
		So(lines, ShouldBeLessThan, 20)
		So(g.String(), ShouldContainSubstring, "event=left_out lines=")
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
