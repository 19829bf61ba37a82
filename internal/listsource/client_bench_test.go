package listsource_test

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/internal/listsource"
	"github.com/fireflypin/fireflypin/internal/standin"
)

// BenchmarkPublishToActive8Clients measures the time from the publication of a list until it is active in 8
// clients that read over HTTP.
func BenchmarkPublishToActive8Clients(b *testing.B) {
	const size = 8
	service := standin.NewPlatform(standin.PlatformConfig{Rand: rand.New(rand.NewPCG(1, 1))})
	server := httptest.NewServer(service)
	defer server.Close()
	for i, kind := range lists.Kinds() {
		service.Publish(standin.ListName(kind.String()), 1, []byte(texts[i]))
	}
	type activation struct {
		revision uint64
		at       time.Time
	}
	all := make(chan activation, 64)
	for range size {
		httpClient := listsource.NewHTTP(server.URL)
		defer httpClient.Close()
		applied, stop := run(newClient(listsource.ClientConfig{Platform: httpClient, Reader: listsource.Config{CallsPerSecond: 1000}}))
		defer stop()
		go func() {
			for s := range applied {
				all <- activation{s.Revisions.Customers, time.Now()}
			}
		}()
	}
	await := func(revision uint64, since time.Time, times []time.Duration) []time.Duration {
		for n := 0; n < size; {
			if a := <-all; a.revision == revision {
				times = append(times, a.at.Sub(since))
				n++
			}
		}
		return times
	}
	await(1, time.Now(), nil)
	var times []time.Duration
	revision := uint64(1)
	for b.Loop() {
		revision++
		body := fmt.Sprintf("kind: customers\nrevision: %d\ncustomers: []\n", revision)
		published := time.Now()
		service.Publish(standin.ListCustomers, revision, []byte(body))
		times = await(revision, published, times)
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "max-ms")
}
