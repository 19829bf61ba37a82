package listsource_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/internal/listsource"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/standin"
	"github.com/fireflypin/fireflypin/model"
)

var texts = [3]string{
	"kind: customers\nrevision: 1\ncustomers: []\n",
	"kind: plans\nrevision: 1\nservices: []\nplans: []\n",
	"kind: machines\nrevision: 1\nentries: []\nendpoints: []\n",
}

func newClient(cfg listsource.ClientConfig) *listsource.Client {
	cfg.Reader.Rand = rand.New(rand.NewPCG(1, 1))
	cfg.Reader.BackoffMin = 10 * time.Millisecond
	cfg.Log = log.New(io.Discard)
	cfg.Metrics = listsource.NewMetrics(metrics.NewSet())
	return listsource.NewClient(cfg)
}

// run starts a client. It returns a channel of the applied snapshots and a function that stops the client.
func run(c *listsource.Client) (<-chan *model.Snapshot, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	applied := make(chan *model.Snapshot, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx, func(s *model.Snapshot) { applied <- s })
	}()
	return applied, func() {
		cancel()
		<-done
	}
}

func TestClientFollowsThePlatform(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("A client reads lists over HTTP, follows changes and tolerates a platform that has no lists or fails", t, func() {
		service := standin.NewPlatform(standin.PlatformConfig{Rand: rand.New(rand.NewPCG(1, 1))})
		server := httptest.NewServer(service)
		defer server.Close()
		httpClient := listsource.NewHTTP(server.URL)
		defer httpClient.Close()
		client := newClient(listsource.ClientConfig{Platform: httpClient, Reader: listsource.Config{CallsPerSecond: 100}})
		applied, stop := run(client)
		defer stop()

		for i, kind := range lists.Kinds() {
			service.Publish(standin.ListName(kind.String()), 1, []byte(texts[i]))
		}
		So((<-applied).Revisions, ShouldResemble, model.Revisions{Customers: 1, Plans: 1, Machines: 1})

		service.SetFault(standin.PlatformFault{Down: true})
		service.Publish(standin.ListCustomers, 2, []byte("kind: customers\nrevision: 2\ncustomers: []\n"))
		service.SetFault(standin.PlatformFault{TruncatedShare: 0.5})
		So((<-applied).Revisions, ShouldResemble, model.Revisions{Customers: 2, Plans: 1, Machines: 1})
		So(client.Status().Active.Customers, ShouldEqual, 2)
		So(client.Digest().Revisions(), ShouldResemble, model.Revisions{Customers: 2, Plans: 1, Machines: 1})
		So(string(client.Document(lists.KindPlans).Body), ShouldEqual, texts[lists.KindPlans])
	})
}

func TestClientReadsLocalFiles(t *testing.T) {
	Convey("A client reads local files at the start and on Reload", t, func() {
		dir := t.TempDir()
		var files [3]string
		for i, kind := range lists.Kinds() {
			files[i] = filepath.Join(dir, kind.String()+".yaml")
			So(os.WriteFile(files[i], []byte(texts[i]), 0o600), ShouldBeNil)
		}
		client := newClient(listsource.ClientConfig{Files: files})
		applied, stop := run(client)
		defer stop()
		So((<-applied).Revisions.Customers, ShouldEqual, 1)

		So(os.WriteFile(files[0], []byte("kind: customers\nrevision: 7\ncustomers: []\n"), 0o600), ShouldBeNil)
		So(client.Reload(context.Background()), ShouldBeNil)
		So((<-applied).Revisions.Customers, ShouldEqual, 7)
	})
	Convey("Run returns an error if a file is missing at the start", t, func() {
		client := newClient(listsource.ClientConfig{Files: [3]string{"/nonexistent/a", "/nonexistent/b", "/nonexistent/c"}})
		So(client.Run(context.Background(), func(*model.Snapshot) {}), ShouldNotBeNil)
	})
}
