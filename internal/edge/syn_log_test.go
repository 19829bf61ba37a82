package edge_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// lineBuffer collects log lines. It is safe for concurrent use.
type lineBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// line returns the first line that contains all parts.
func (b *lineBuffer) line(parts ...string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
next:
	for line := range strings.Lines(b.buf.String()) {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue next
			}
		}
		return line
	}
	return ""
}

// TestSYNLogLines guards against log lines from which it cannot be told how old a placed SYN was, where it waited, and why a
// copy of it was dropped.
func TestSYNLogLines(t *testing.T) {
	runOneTarget(t, func(ctx context.Context, o *oneTarget) {
		logs, started := new(lineBuffer), time.Now()
		o.logs = logs
		o.store.set(true, false)
		a := o.start(ctx, 1)
		time.Sleep(10 * time.Millisecond)
		So(o.sendSYN(a, 2999), ShouldEqual, 0)
		time.Sleep(200 * time.Millisecond)
		o.store.set(false, false)
		for a.daemon.Ready() != nil {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		waited := logs.line("event=placed", ":2999>", "copy=false", "waited_ms=")
		So(waited, ShouldNotBeBlank)
		So(waited, ShouldNotContainSubstring, "waited_in=none")
		So(waited, ShouldNotContainSubstring, "waited_ms=0")

		So(o.target.take(), ShouldHaveLength, 1)
		So(o.sendSYN(a, 3000), ShouldEqual, 1)
		So(logs.line("event=placed", ":3000>", "waited_in=none", "waited_ms=0"), ShouldNotBeBlank)
		o.caller.send(a, o.caller.packetOf(3000, 1, wireSYN, 100, 1, 0, 0))
		o.caller.send(a, o.caller.packetOf(3001, 1, wireSYN, 100, 2, 0, 0))
		time.Sleep(5 * time.Millisecond)
		So(logs.line("event=repeated", ":3000>", "copy=true", "first_syn_ms=200"), ShouldNotBeBlank)
		So(logs.line("event=dropped", ":3001>", "cause=first_syn_unseen", "copy=true", "first_syn_ms=600"), ShouldNotBeBlank)

		time.Sleep(5*time.Second + 20*time.Millisecond - time.Since(started)) // between two checks of the clock
		o.target.take()
		o.suspend(a, 600*time.Millisecond)
		So(o.sendSYN(a, 3002), ShouldEqual, 0)
		So(logs.line("event=dropped", ":3002>", "cause=waited", "waited_in=stall", "waited_ms=-1"), ShouldNotBeBlank)
	})
}
