package ops

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/metrics"
)

// DefaultAddr is the address that the server listens on by default.
var DefaultAddr = netip.MustParseAddrPort("127.0.0.1:9650")

const (
	// headerTimeout is the timeout for reading a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle keep-alive connection stays open.
	idleTimeout = 2 * time.Minute
)

// Readiness reports whether the daemon is ready to receive packets.
type Readiness interface {
	// Ready returns nil if the daemon is ready, or an error that says what is missing.
	Ready() error
}

// StatusSource provides the daemon's status.
type StatusSource interface {
	// Status returns a value that encoding/json can encode.
	Status() any
}

// Config holds the settings of a Server.
type Config struct {
	// Addr is the address that Listen opens. The zero value means DefaultAddr; port 0 picks a free port.
	Addr netip.AddrPort
	// SecondListenAddr is the address that ListenSecond opens, with the same routes. The zero value means none.
	SecondListenAddr netip.AddrPort
	// Metrics are served at /metrics and /metrics.json.
	Metrics *metrics.Set
	// Ready determines the response of /readyz.
	Ready Readiness
	// Status is served at /status.
	Status StatusSource
	// EnablePprof enables /debug/pprof/.
	EnablePprof bool
}

// Server is the operators' HTTP server.
type Server struct {
	cfg        Config
	server     *http.Server
	localAddr  netip.AddrPort
	secondAddr netip.AddrPort
}

// NewServer returns a server that does not listen until Listen is called.
func NewServer(cfg Config) *Server {
	if !cfg.Addr.IsValid() {
		cfg.Addr = DefaultAddr
	}
	s := &Server{cfg: cfg, localAddr: cfg.Addr}
	s.server = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	return s
}

// Handler returns the HTTP handler with all routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.serveText)
	mux.HandleFunc("GET /metrics.json", s.serveJSON)
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /status", s.serveStatus)
	if s.cfg.EnablePprof {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
		mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	}
	return mux
}

// Listen listens on Config.Addr and serves in the background until Shutdown.
func (s *Server) Listen() error {
	var err error
	s.localAddr, err = s.listen(s.cfg.Addr)
	return err
}

// ListenSecond listens on Config.SecondListenAddr, if it is set, and serves in the background until Shutdown. After an
// error the server continues with only the first address.
func (s *Server) ListenSecond() error {
	if !s.cfg.SecondListenAddr.IsValid() {
		return nil
	}
	var err error
	s.secondAddr, err = s.listen(s.cfg.SecondListenAddr)
	return err
}

func (s *Server) listen(addr netip.AddrPort) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return addr, fmt.Errorf("listen for operator requests on %v: %w", addr, err)
	}
	go s.server.Serve(l) // returns after Shutdown
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.localAddr
}

// SecondAddr returns the second address that the server listens on. It is the zero value if there is none.
func (s *Server) SecondAddr() netip.AddrPort {
	return s.secondAddr
}

// Shutdown stops listening and waits for requests in progress. When ctx ends first, it closes their connections
// and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("shut down operator HTTP server: %w", err), s.server.Close())
	}
	return nil
}

func (s *Server) serveText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", metrics.TextContentType)
	s.cfg.Metrics.WriteText(w)
}

func (s *Server) serveJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	s.cfg.Metrics.WriteJSON(w)
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.cfg.Ready.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	data, err := json.MarshalIndent(s.cfg.Status.Status(), "", "  ")
	if err != nil {
		http.Error(w, fmt.Sprintf("encode status: %v", err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(data, '\n'))
}
