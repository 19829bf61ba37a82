package main

import (
	"bufio"
	"context"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/daemon"
	"github.com/fireflypin/fireflypin/internal/settings"
)

const validSettings = `name: e
region: r
zone: a
data: 127.0.0.1:1
peer: 127.0.0.1:2
bulk: 127.0.0.1:3
egress: 127.0.0.1:4
platform: {url: "http://127.0.0.1:5"}
`

func TestReloadOnSignal(t *testing.T) {
	Convey("Each signal reloads the file; an invalid file does not end the loop", t, func() {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		So(os.WriteFile(path, []byte(validSettings), 0o600), ShouldBeNil)
		s, err := settings.Load(path)
		So(err, ShouldBeNil)
		read, write := io.Pipe()
		p, err := daemon.NewProcess(daemon.Options{Settings: s, LogTo: write, Now: time.Now()})
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		signals, done := make(chan os.Signal), make(chan struct{})
		go func() {
			defer close(done)
			reloadOn(ctx, signals, p, path)
		}()
		lines := bufio.NewScanner(read)
		for _, step := range []struct{ extra, want string }{
			{"drain_timeout: 9s\n", "changed=drain_timeout"},
			{"colour: red\n", "event=refused"},
			{"", "changed=drain_timeout"},
		} {
			So(os.WriteFile(path, []byte(validSettings+step.extra), 0o600), ShouldBeNil)
			signals <- syscall.SIGHUP
			So(lines.Scan(), ShouldBeTrue)
			So(lines.Text(), ShouldContainSubstring, step.want)
		}
		cancel()
		<-done
	})
}
