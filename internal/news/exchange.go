package news

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/news/newspb"
	"github.com/fireflypin/fireflypin/internal/news/newspb/newspbconnect"
	"github.com/fireflypin/fireflypin/internal/stall"
)

const (
	// fetchTimeout bounds the time until the response to a fetch begins, and the time without any byte of it. After it
	// the engine may fetch from another daemon.
	fetchTimeout = 800 * time.Millisecond
	// maxFetchTime bounds a whole fetch, which holds up all others.
	maxFetchTime = 5 * time.Second
	// maxFetchBytes is the maximum size of a response. The platform publishes values of up to 1 MiB.
	maxFetchBytes = 16 << 20
)

// ItemSource gives a server access to the replica. It must be safe for concurrent use.
type ItemSource interface {
	// MissingItems returns the result of Engine.FetchResponse.
	MissingItems(have []Version) Fetched
}

// NewHandler returns the path and the HTTP handler for fetches by other daemons. Response compression is turned off,
// because large values are already compressed, once for all callers.
func NewHandler(h ItemSource) (string, http.Handler) {
	return newspbconnect.NewNewsServiceHandler(&fetchServer{source: h}, connect.WithReadMaxBytes(maxFetchBytes),
		connect.WithCompressMinBytes(math.MaxInt32))
}

type fetchServer struct {
	source ItemSource
}

// FetchItems implements newspbconnect.NewsServiceHandler.
func (s *fetchServer) FetchItems(_ context.Context, r *connect.Request[newspb.FetchItemsRequest]) (*connect.Response[newspb.FetchItemsResponse], error) {
	f := s.source.MissingItems(decodeVersions(r.Msg.Have))
	return connect.NewResponse(&newspb.FetchItemsResponse{
		Era:      f.Complete.Era,
		Complete: f.Complete.Revision,
		AgeMs:    uint32(f.Age.Milliseconds()),
		Items:    lo.Map(f.Items, func(it Item, _ int) *newspb.Item { return encodeItem(it) }),
		Standing: encodeVersions(f.Standing),
		Kept:     encodeKept(f.Kept),
	}), nil
}

// Fetcher fetches items from other daemons.
type Fetcher struct {
	http   *http.Client
	scheme string
}

// NewFetcher returns a Fetcher. With a nil TLS config it uses plain HTTP. Each fetch opens its own connection, because
// fetches are rare and a kept-alive connection may have become unresponsive.
func NewFetcher(config *tls.Config) *Fetcher {
	f := &Fetcher{
		http: &http.Client{Timeout: maxFetchTime, Transport: &stall.Transport{
			Base:  &http.Transport{DisableKeepAlives: true, TLSClientConfig: config},
			Begin: fetchTimeout,
			Stall: fetchTimeout,
		}},
		scheme: "http",
	}
	if config != nil {
		f.scheme = "https"
	}
	return f
}

// Fetch requests the items that are missing from a replica with the given versions. An error is returned in
// Fetched.Err.
func (f *Fetcher) Fetch(ctx context.Context, from netip.AddrPort, have []Version) Fetched {
	client := newspbconnect.NewNewsServiceClient(f.http, f.scheme+"://"+from.String(), connect.WithReadMaxBytes(maxFetchBytes))
	r, err := client.FetchItems(ctx, connect.NewRequest(&newspb.FetchItemsRequest{Have: encodeVersions(have)}))
	if err != nil {
		return Fetched{From: from, Err: fmt.Errorf("fetch items from daemon %v: %w", from, err)}
	}
	return Fetched{
		From:     from,
		Complete: Position{Era: r.Msg.Era, Revision: r.Msg.Complete},
		Age:      time.Duration(r.Msg.AgeMs) * time.Millisecond,
		Items:    lo.Map(r.Msg.Items, func(it *newspb.Item, _ int) Item { return decodeItem(it) }),
		Standing: decodeVersions(r.Msg.Standing),
		Kept:     decodeKept(r.Msg.Kept),
	}
}
