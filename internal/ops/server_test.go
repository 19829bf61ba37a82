package ops

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/metrics"
)

type fakeDaemon struct {
	ready  error
	status any
}

func (d *fakeDaemon) Ready() error { return d.ready }
func (d *fakeDaemon) Status() any  { return d.status }

func newTestServer(d *fakeDaemon, profiles bool) *Server {
	set := metrics.NewSet()
	set.Counter(metrics.Family{Name: "fireflypin_flows_total", Help: "Flows."}).Inc(3)
	return NewServer(Config{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Metrics: set, Ready: d, Status: d, EnablePprof: profiles})
}

func TestRoutes(t *testing.T) {
	type status struct {
		Flows int `json:"flows"`
	}
	cases := []struct {
		name, method, path string
		daemon             fakeDaemon
		profiles           bool
		code               int
		body               string
	}{
		{name: "text", path: "/metrics", code: 200, body: "fireflypin_flows_total 3\n"},
		{name: "json", path: "/metrics.json", code: 200, body: `"fireflypin_flows_total":{"count":3}`},
		{name: "health", path: "/healthz", code: 200, body: "ok\n"},
		{name: "ready", path: "/readyz", code: 200, body: "ready\n"},
		{name: "not ready", path: "/readyz", daemon: fakeDaemon{ready: errors.New("no lists yet")}, code: 503, body: "no lists yet"},
		{name: "status", path: "/status", daemon: fakeDaemon{status: status{5}}, code: 200, body: `"flows": 5`},
		{name: "bad status", path: "/status", daemon: fakeDaemon{status: make(chan int)}, code: 500, body: "encode status"},
		{name: "post", method: "POST", path: "/status", code: 405},
		{name: "unknown", path: "/other", code: 404},
		{name: "no profiles", path: "/debug/pprof/", code: 404},
		{name: "profiles", path: "/debug/pprof/", profiles: true, code: 200, body: "goroutine"},
	}
	Convey("Each route responds", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := newTestServer(&c.daemon, c.profiles)
				rec := httptest.NewRecorder()
				s.Handler().ServeHTTP(rec, httptest.NewRequest(c.method, c.path, nil))
				So(rec.Code, ShouldEqual, c.code)
				So(rec.Body.String(), ShouldContainSubstring, c.body)
			})
		}
	})
}

func TestListenAndShutdown(t *testing.T) {
	Convey("The server responds until it is shut down", t, func() {
		s := newTestServer(&fakeDaemon{}, false)
		So(s.Listen(), ShouldBeNil)
		So(s.Addr().Port(), ShouldNotEqual, 0)
		res, err := http.Get("http://" + s.Addr().String() + "/healthz")
		So(err, ShouldBeNil)
		body, err := io.ReadAll(res.Body)
		So(err, ShouldBeNil)
		So(res.Body.Close(), ShouldBeNil)
		So(string(body), ShouldEqual, "ok\n")
		So(s.Shutdown(context.Background()), ShouldBeNil)
		_, err = http.Get("http://" + s.Addr().String() + "/healthz")
		So(err, ShouldNotBeNil)
	})
	Convey("The second address serves the same routes", t, func() {
		s := newTestServer(&fakeDaemon{}, false)
		So(s.ListenSecond(), ShouldBeNil)
		So(s.SecondAddr().IsValid(), ShouldBeFalse)
		s.cfg.SecondListenAddr = netip.MustParseAddrPort("127.0.0.1:0")
		So(s.Listen(), ShouldBeNil)
		So(s.ListenSecond(), ShouldBeNil)
		for _, a := range []netip.AddrPort{s.Addr(), s.SecondAddr()} {
			res, err := http.Get("http://" + a.String() + "/metrics")
			So(err, ShouldBeNil)
			So(res.StatusCode, ShouldEqual, http.StatusOK)
			So(res.Body.Close(), ShouldBeNil)
		}
		So(s.Shutdown(context.Background()), ShouldBeNil)
		_, err := http.Get("http://" + s.SecondAddr().String() + "/metrics")
		So(err, ShouldNotBeNil)
	})
	Convey("Listening on an address in use fails with an error that names the address", t, func() {
		s := newTestServer(&fakeDaemon{}, false)
		So(s.Listen(), ShouldBeNil)
		defer s.Shutdown(context.Background())
		other := NewServer(Config{Addr: s.Addr(), Metrics: metrics.NewSet()})
		err := other.Listen()
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, s.Addr().String())
	})
}
