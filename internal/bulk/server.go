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

// LogSource provides the exception logs that a Server serves.
type LogSource interface {
	// Snapshots returns a snapshot of the daemon's own log. If all is true, it also returns snapshots of every
	// replica that the daemon holds.
	Snapshots(all bool) []flow.Snapshot
}

// ListSource provides the published lists that a Server serves.
type ListSource interface {
	// Digest returns the versions of the stored lists.
	Digest() listsource.Digest
	// Document returns a stored list, or nil.
	Document(kind lists.Kind) *listsource.Document
}

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Server handles calls from other daemons.
type Server struct {
	bulkpbconnect.UnimplementedBulkServiceHandler
	logs       LogSource
	lists      ListSource
	server     *http.Server
	tls        *tls.Config
	listenAddr netip.AddrPort
}

// NewServer returns a Server. It does not listen before Listen. If tlsConfig is nil, it uses unencrypted HTTP.
func NewServer(logs LogSource, source ListSource, tlsConfig *tls.Config) *Server {
	s := &Server{logs: logs, lists: source, tls: tlsConfig}
	mux := http.NewServeMux()
	mux.Handle(bulkpbconnect.NewBulkServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes)))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return s
}

// Listen opens a listener at addr and serves in the background until Close.
func (s *Server) Listen(addr netip.AddrPort) error {
	l, err := Listen(addr, s.tls)
	if err != nil {
		return err
	}
	s.listenAddr = l.Addr().(*net.TCPAddr).AddrPort()
	go s.server.Serve(l)
	return nil
}

// Listen opens a listener for calls from other daemons. It uses TLS if config is not nil.
func Listen(addr netip.AddrPort, config *tls.Config) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen for bulk calls on %v: %w", addr, err)
	}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return l, nil
}

// Addr returns the address that the server listens on, with the actual port.
func (s *Server) Addr() netip.AddrPort {
	return s.listenAddr
}

// Close stops the server and aborts active calls.
func (s *Server) Close() error {
	return s.server.Close()
}

// FetchSnapshots implements bulkpbconnect.BulkServiceHandler.
func (s *Server) FetchSnapshots(_ context.Context, r *connect.Request[bulkpb.FetchSnapshotsRequest], stream *connect.ServerStream[bulkpb.SnapshotChunk]) error {
	for _, snapshot := range s.logs.Snapshots(r.Msg.All) {
		for _, chunk := range splitSnapshot(snapshot) {
			if err := stream.Send(chunk); err != nil {
				return err
			}
		}
	}
	return nil
}

// ListDigest implements bulkpbconnect.BulkServiceHandler.
func (s *Server) ListDigest(context.Context, *connect.Request[bulkpb.ListDigestRequest]) (*connect.Response[bulkpb.ListDigestResponse], error) {
	return connect.NewResponse(&bulkpb.ListDigestResponse{Digest: s.lists.Digest().AppendTo(nil)}), nil
}

// errListNotHeld is returned to a peer that requests a list that the daemon does not have.
var errListNotHeld = errors.New("the list is not held here")

// ListBody implements bulkpbconnect.BulkServiceHandler.
func (s *Server) ListBody(_ context.Context, r *connect.Request[bulkpb.ListBodyRequest]) (*connect.Response[bulkpb.ListBodyResponse], error) {
	if int(r.Msg.Kind) >= len(lists.Kinds()) {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("no list of kind %d", r.Msg.Kind))
	}
	d := s.lists.Document(lists.Kind(r.Msg.Kind))
	if d == nil {
		return nil, connect.NewError(connect.CodeNotFound, errListNotHeld)
	}
	return connect.NewResponse(&bulkpb.ListBodyResponse{Revision: d.Version.Revision, Body: d.Body}), nil
}
