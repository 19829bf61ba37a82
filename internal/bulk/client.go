package bulk

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/fireflypin/fireflypin/internal/bulk/bulkpb"
	"github.com/fireflypin/fireflypin/internal/bulk/bulkpb/bulkpbconnect"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/internal/listsource"
	"github.com/fireflypin/fireflypin/model"
)

const (
	// maxMessageBytes is the maximum size of one message, enough for a list of 1 MiB and its envelope.
	maxMessageBytes = 2 << 20
	// idleConnTimeout is the time after which an unused connection to a peer is closed.
	idleConnTimeout = 30 * time.Second
)

// Client calls other daemons. Timeouts are set by the context of each call. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	scheme string
}

// NewClient returns a Client. If tlsConfig is nil, it uses unencrypted HTTP.
func NewClient(tlsConfig *tls.Config) *Client {
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	return &Client{
		scheme: scheme,
		http: &http.Client{Transport: &http.Transport{
			TLSClientConfig:     tlsConfig,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idleConnTimeout,
		}},
	}
}

func (c *Client) service(peer netip.AddrPort) bulkpbconnect.BulkServiceClient {
	return bulkpbconnect.NewBulkServiceClient(c.http, c.scheme+"://"+peer.String(), connect.WithReadMaxBytes(maxMessageBytes))
}

// FetchSnapshots returns a snapshot of a peer's own exception log. If all is true, it also returns snapshots
// of every replica of another daemon's log that the peer holds.
func (c *Client) FetchSnapshots(ctx context.Context, from *model.EntryVM, all bool) ([]flow.Snapshot, error) {
	stream, err := c.service(from.Bulk).FetchSnapshots(ctx, connect.NewRequest(&bulkpb.FetchSnapshotsRequest{All: all}))
	if err != nil {
		return nil, fmt.Errorf("fetch snapshots from %s: %w", from.Name, err)
	}
	defer stream.Close()
	var a assembler
	for stream.Receive() {
		if err := a.add(stream.Msg()); err != nil {
			return nil, fmt.Errorf("fetch snapshots from %s: %w", from.Name, err)
		}
	}
	if err := stream.Err(); err != nil {
		return nil, fmt.Errorf("fetch snapshots from %s: %w", from.Name, err)
	}
	return a.finish()
}

// ListDigest implements listsource.Peers.
func (c *Client) ListDigest(ctx context.Context, peer netip.AddrPort) (listsource.Digest, error) {
	r, err := c.service(peer).ListDigest(ctx, connect.NewRequest(&bulkpb.ListDigestRequest{}))
	if err != nil {
		return listsource.Digest{}, fmt.Errorf("request to %v for its list digest: %w", peer, err)
	}
	d, ok := listsource.DecodeDigest(r.Msg.Digest)
	if !ok {
		return listsource.Digest{}, fmt.Errorf("request to %v for its list digest: malformed digest", peer)
	}
	return d, nil
}

// ListBody implements listsource.Peers.
func (c *Client) ListBody(ctx context.Context, peer netip.AddrPort, kind lists.Kind) (listsource.Version, []byte, error) {
	r, err := c.service(peer).ListBody(ctx, connect.NewRequest(&bulkpb.ListBodyRequest{Kind: uint32(kind)}))
	if err != nil {
		return listsource.Version{}, nil, fmt.Errorf("request to %v for the list of %v: %w", peer, kind, err)
	}
	return listsource.VersionOf(r.Msg.Revision, r.Msg.Body), r.Msg.Body, nil
}
