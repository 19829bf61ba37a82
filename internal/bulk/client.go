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
	// maxMessageBytes bounds one message: a list of 1 MB with its envelope.
	maxMessageBytes = 2 << 20
	// idleConnTimeout closes connections to peers that are not asked again.
	idleConnTimeout = 30 * time.Second
)

// Client calls other daemons. Timeouts come from the context of each call. It is safe for concurrent
// use.
type Client struct {
	http   *http.Client
	scheme string
}

// NewClient returns a client. Without a TLS config it speaks in the clear.
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

// FetchSnapshots asks a peer for its own log, and with all for every copy that it holds.
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
		return listsource.Digest{}, fmt.Errorf("ask %v for its lists: %w", peer, err)
	}
	d, ok := listsource.DecodeDigest(r.Msg.Digest)
	if !ok {
		return listsource.Digest{}, fmt.Errorf("ask %v for its lists: the digest cannot be decoded", peer)
	}
	return d, nil
}

// ListBody implements listsource.Peers.
func (c *Client) ListBody(ctx context.Context, peer netip.AddrPort, kind lists.Kind) (listsource.Version, []byte, error) {
	r, err := c.service(peer).ListBody(ctx, connect.NewRequest(&bulkpb.ListBodyRequest{Kind: uint32(kind)}))
	if err != nil {
		return listsource.Version{}, nil, fmt.Errorf("ask %v for the list of %v: %w", peer, kind, err)
	}
	return listsource.VersionOf(r.Msg.Revision, r.Msg.Body), r.Msg.Body, nil
}
