package soak

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStopOfStartingProcess guards against a daemon that counts as failed since it was asked to stop before its process was able to
// catch the signal, and against one that passes though it has run and does not catch it.
func TestStopOfStartingProcess(t *testing.T) {
	const running = ": >$0.runs; exec sleep 30"
	for _, c := range []struct {
		name string
		// program is what the process runs, a shell script that does not catch SIGTERM.
		program  string
		startAge time.Duration
		allowed  bool
	}{
		{"at once", running, 0, true},
		{"later than a start takes", running, startupTime, false},
		{"after it has logged", "echo started; " + running, 0, false},
		{"at once, and it exits with an error", "trap 'exit 1' TERM; : >$0.runs; while :; do sleep 0.02; done", 0, false},
	} {
		Convey("A process that is asked to stop "+c.name, t, func() {
			h, _ := newTestHarness()
			h.dir = t.TempDir()
			h.binary = filepath.Join(h.dir, "daemon")
			So(os.WriteFile(h.binary, []byte("#!/bin/sh\n"+c.program+"\n"), 0o755), ShouldBeNil)
			e := h.entries[0]
			So(os.WriteFile(e.logPath(), []byte("a line of an earlier process\n"), 0o644), ShouldBeNil)
			h.events = make(chan func(), 1)
			e.start()
			for {
				if _, err := os.Stat(h.binary + ".runs"); err == nil {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			e.startedAt = time.Now().Add(-c.startAge)
			So(e.stop(syscall.SIGTERM, nil), ShouldBeTrue)
			(<-h.events)()
			if c.allowed {
				So(h.violations, ShouldBeEmpty)
				return
			}
			So(h.violations, ShouldHaveLength, 1)
			So(h.violations[0].Guarantee, ShouldEqual, "runs")
		})
	}
}
