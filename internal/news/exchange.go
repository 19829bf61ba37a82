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
)

const (
	// fetchTimeout bounds a fetch. A daemon that does not answer by then is passed over for another.
	fetchTimeout = 800 * time.Millisecond
	// maxFetchBytes bounds an answer; the platform publishes values of up to 1 MiB.
	maxFetchBytes = 16 << 20
)

// Holder is what a server tells of the copy. It must be safe for concurrent use.
type Holder interface {
	// Lacking returns the answer of Engine.Answer.
	Lacking(have []Version) (complete uint64, age time.Duration, items []Item, standing []Version)
}

// NewHandler returns the path and the handler of the calls of other daemons. Large values are compressed once for
// all callers, so answers are not compressed again.
func NewHandler(h Holder) (string, http.Handler) {
	return newspbconnect.NewNewsServiceHandler(&exchangeServer{holder: h}, connect.WithReadMaxBytes(maxFetchBytes),
		connect.WithCompressMinBytes(math.MaxInt32))
}

type exchangeServer struct {
	holder Holder
}

// FetchItems implements the service.
func (s *exchangeServer) FetchItems(_ context.Context, r *connect.Request[newspb.FetchItemsRequest]) (*connect.Response[newspb.FetchItemsResponse], error) {
	complete, age, items, standing := s.holder.Lacking(decodeVersions(r.Msg.Have))
	return connect.NewResponse(&newspb.FetchItemsResponse{
		Complete: complete,
		AgeMs:    uint32(age.Milliseconds()),
		Items:    lo.Map(items, func(it Item, _ int) *newspb.Item { return encodeItem(it) }),
		Standing: encodeVersions(standing),
	}), nil
}

// Fetcher asks other daemons for items.
type Fetcher struct {
	http   *http.Client
	scheme string
}

// NewFetcher returns a Fetcher; a nil TLS config speaks in the clear. Fetches are rare, so each has a
// connection of its own: one that is kept may have gone silent.
func NewFetcher(config *tls.Config) *Fetcher {
	f := &Fetcher{
		http:   &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: config}},
		scheme: "http",
	}
	if config != nil {
		f.scheme = "https"
	}
	return f
}

// Fetch asks a daemon for the items that a copy with the given versions lacks.
func (f *Fetcher) Fetch(ctx context.Context, from netip.AddrPort, have []Version) Fetched {
	client := newspbconnect.NewNewsServiceClient(f.http, f.scheme+"://"+from.String(), connect.WithReadMaxBytes(maxFetchBytes))
	r, err := client.FetchItems(ctx, connect.NewRequest(&newspb.FetchItemsRequest{Have: encodeVersions(have)}))
	if err != nil {
		return Fetched{From: from, Err: fmt.Errorf("fetch items from %v: %w", from, err)}
	}
	return Fetched{
		From:     from,
		Complete: r.Msg.Complete,
		Age:      time.Duration(r.Msg.AgeMs) * time.Millisecond,
		Items:    lo.Map(r.Msg.Items, func(it *newspb.Item, _ int) Item { return decodeItem(it) }),
		Standing: decodeVersions(r.Msg.Standing),
	}
}
