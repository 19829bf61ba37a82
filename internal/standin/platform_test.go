package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func newTestPlatform(cfg PlatformConfig) *Platform {
	cfg.Rand = rand.New(rand.NewPCG(1, 1))
	p := NewPlatform(cfg)
	for i, name := range listNames {
		p.Publish(name, uint64(i+1), []byte("kind: "+string(name)+"\n"))
	}
	return p
}

func get(p *Platform, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

func TestPlatformRead(t *testing.T) {
	Convey("A read returns the document and its revision, and 404 for an unknown list", t, func() {
		w := get(newTestPlatform(PlatformConfig{}), "/v1/lists/plans")
		So(w.Code, ShouldEqual, http.StatusOK)
		So(w.Header().Get("X-Revision"), ShouldEqual, "2")
		So(w.Body.String(), ShouldEqual, "kind: plans\n")
		So(get(newTestPlatform(PlatformConfig{}), "/v1/lists/other").Code, ShouldEqual, http.StatusNotFound)
	})
}

func TestPlatformWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlatform(PlatformConfig{})
		start := time.Now()
		go func() {
			time.Sleep(7 * time.Second)
			p.Publish(ListPlans, 9, []byte("x"))
		}()
		w := get(p, "/v1/watch?customers=1&plans=2&machines=3&wait=30s")
		if got, want := w.Body.String(), `{"customers":1,"plans":9,"machines":3}`+"\n"; got != want {
			t.Errorf("watch answered %q, want %q", got, want)
		}
		if waited := time.Since(start); waited != 7*time.Second {
			t.Errorf("watch waited %v, want 7s", waited)
		}
		get(p, "/v1/watch?customers=1&plans=9&machines=3&wait=30s")
		if waited := time.Since(start); waited != 37*time.Second {
			t.Errorf("two watches waited %v, want 37s", waited)
		}
		if got := p.Counts(); got.Calls != 2 || got.Watches != 2 {
			t.Errorf("counters %+v, want 2 calls and 2 watches: a waiting watch counts as one call", got)
		}
	})
}

func TestPlatformBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlatform(PlatformConfig{CallsPerSecond: 100})
		refused := 0
		for range 250 {
			if get(p, "/v1/lists/plans").Code == http.StatusServiceUnavailable {
				refused++
			}
		}
		if refused != 150 || p.Counts().OverBudget != 150 {
			t.Errorf("%d calls refused, want 150; counters %+v", refused, p.Counts())
		}
		time.Sleep(time.Second)
		if code := get(p, "/v1/lists/plans").Code; code != http.StatusOK {
			t.Errorf("one second later: status %d", code)
		}
	})
}

func TestPlatformFaults(t *testing.T) {
	Convey("The platform shows the configured fault", t, func() {
		p := newTestPlatform(PlatformConfig{})
		p.Publish(ListPlans, 8, []byte("kind: plans # the newer one\n"))
		Convey("down", func() {
			p.SetFault(PlatformFault{Down: true})
			w := get(p, "/v1/lists/plans")
			So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(w.Header().Get("Retry-After"), ShouldEqual, "1")
		})
		Convey("stale", func() {
			p.SetFault(PlatformFault{StaleShare: 1})
			So(get(p, "/v1/lists/plans").Header().Get("X-Revision"), ShouldEqual, "2")
		})
		Convey("truncated body", func() {
			p.SetFault(PlatformFault{TruncatedShare: 1})
			server := httptest.NewServer(p)
			defer server.Close()
			resp, err := http.Get(server.URL + "/v1/lists/plans")
			So(err, ShouldBeNil)
			defer func() { _ = resp.Body.Close() }()
			_, err = io.ReadAll(resp.Body)
			So(err, ShouldEqual, io.ErrUnexpectedEOF)
		})
	})
}

func TestPlatformLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlatform(PlatformConfig{Lag: 3 * time.Second})
		if code := get(p, "/v1/lists/plans").Code; code != http.StatusNotFound {
			t.Errorf("before the lag is over: status %d", code)
		}
		time.Sleep(3*time.Second + time.Millisecond)
		if got := fmt.Sprint(get(p, "/v1/lists/plans").Code); got != "200" {
			t.Errorf("after the lag: status %s", got)
		}
	})
}
