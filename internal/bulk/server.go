package bulk

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/fireflypin/fireflypin/internal/bulk/bulkpb"
	"github.com/fireflypin/fireflypin/internal/bulk/bulkpb/bulkpbconnect"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/internal/listsource"
)

// Logs is what a server tells of exception logs.
type Logs interface {
	// Snapshots returns the state of the daemon's own log, and with all of every copy that it holds.
	Snapshots(all bool) []flow.Snapshot
}

// ListHolder is what a server tells of the published lists.
type ListHolder interface {
	// Digest returns the versions of the lists that are held.
	Digest() listsource.Digest
	// Document returns a list that is held, or nil.
	Document(kind lists.Kind) *listsource.Document
}

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Server answers the calls of other daemons.
type Server struct {
	bulkpbconnect.UnimplementedBulkServiceHandler
	logs   Logs
	lists  ListHolder
	server *http.Server
	tls    *tls.Config
	local  netip.AddrPort
}

// NewServer returns a server that does not listen yet. Without a TLS config it speaks in the clear.
func NewServer(logs Logs, holder ListHolder, tlsConfig *tls.Config) *Server {
	s := &Server{logs: logs, lists: holder, tls: tlsConfig}
	mux := http.NewServeMux()
	mux.Handle(bulkpbconnect.NewBulkServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes)))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return s
}

// Listen opens the address and serves in the background until Close.
func (s *Server) Listen(addr netip.AddrPort) error {
	l, err := Listen(addr, s.tls)
	if err != nil {
		return err
	}
	s.local = l.Addr().(*net.TCPAddr).AddrPort()
	go s.server.Serve(l)
	return nil
}

// Listen opens an address for the calls of other daemons, over TLS where a config is given.
func Listen(addr netip.AddrPort, config *tls.Config) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen for calls of other daemons on %v: %w", addr, err)
	}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return l, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.local
}

// Close ends the server and the calls under way.
func (s *Server) Close() error {
	return s.server.Close()
}

// FetchSnapshots implements the service.
func (s *Server) FetchSnapshots(_ context.Context, r *connect.Request[bulkpb.FetchSnapshotsRequest], stream *connect.ServerStream[bulkpb.SnapshotChunk]) error {
	for _, snapshot := range s.logs.Snapshots(r.Msg.All) {
		for _, chunk := range chunksOf(snapshot) {
			if err := stream.Send(chunk); err != nil {
				return err
			}
		}
	}
	return nil
}

// ListDigest implements the service.
func (s *Server) ListDigest(context.Context, *connect.Request[bulkpb.ListDigestRequest]) (*connect.Response[bulkpb.ListDigestResponse], error) {
	return connect.NewResponse(&bulkpb.ListDigestResponse{Digest: s.lists.Digest().AppendTo(nil)}), nil
}

// errNoList answers a call for a list that the daemon does not hold.
var errNoList = errors.New("the list is not held here")

// ListBody implements the service.
func (s *Server) ListBody(_ context.Context, r *connect.Request[bulkpb.ListBodyRequest]) (*connect.Response[bulkpb.ListBodyResponse], error) {
	if int(r.Msg.Kind) >= len(lists.Kinds()) {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("no list of kind %d", r.Msg.Kind))
	}
	d := s.lists.Document(lists.Kind(r.Msg.Kind))
	if d == nil {
		return nil, connect.NewError(connect.CodeNotFound, errNoList)
	}
	return connect.NewResponse(&bulkpb.ListBodyResponse{Revision: d.Version.Revision, Body: d.Body}), nil
}
