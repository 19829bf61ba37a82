package listsource

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// eventQueueCapacity is the capacity of the client's event queue.
const eventQueueCapacity = 64

// Platform is the interface of the platform's service.
type Platform interface {
	// List returns a list. The error wraps a *CallError if the platform answered with a status other than 200.
	List(ctx context.Context, kind lists.Kind) (revision uint64, body []byte, err error)
	// Watch waits until a list is newer than after or until wait has passed, and returns the current
	// revisions.
	Watch(ctx context.Context, after model.Revisions, wait time.Duration) (model.Revisions, error)
}

// Peers requests lists from other daemons. A peer is identified by its bulk address.
type Peers interface {
	ListDigest(ctx context.Context, peer netip.AddrPort) (Digest, error)
	ListBody(ctx context.Context, peer netip.AddrPort, kind lists.Kind) (Version, []byte, error)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Reader configures the Reader.
	Reader Config
	// Platform is the platform's service, or nil if local files are used.
	Platform Platform
	// Files are the paths of the local lists, indexed by lists.Kind. All are empty if the platform is used.
	Files [3]string
	// Peers requests lists from other daemons; nil for none.
	Peers Peers
	// CallTimeout is the timeout of a call. The timeout of a watch is its wait plus CallTimeout. Default 5 s.
	CallTimeout time.Duration
	// Log receives one line per state change; required.
	Log *log.Logger
	// Metrics receives the counts of the client; required.
	Metrics *Metrics
}

// Client obtains lists and passes each set that becomes active to the function given to Run. It executes
// the actions of a Reader.
type Client struct {
	cfg       ClientConfig
	reader    *Reader
	events    chan event
	apply     func(*model.Snapshot)
	status    atomic.Pointer[Status]
	documents [3]atomic.Pointer[Document]
}

// event passes one input to the Reader and returns the resulting actions.
type event func(now time.Time) []Action

// NewClient returns a Client. It reads nothing before Run.
func NewClient(cfg ClientConfig) *Client {
	cfg.CallTimeout = cmp.Or(cfg.CallTimeout, 5*time.Second)
	cfg.Reader.UsePlatform = cfg.Platform != nil
	c := &Client{
		cfg:    cfg,
		reader: New(cfg.Reader),
		events: make(chan event, eventQueueCapacity),
	}
	c.status.Store(&Status{})
	return c
}

// Run obtains lists until ctx ends and calls apply, always from the same goroutine, for each set that
// becomes active. It returns an error at once if local files are used and one cannot be read.
func (c *Client) Run(ctx context.Context, apply func(*model.Snapshot)) error {
	c.apply = apply
	c.handle(ctx, c.reader.Start)
	if c.cfg.Platform == nil {
		if err := c.readFiles(ctx); err != nil {
			return err
		}
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		c.armTimer(timer)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.events:
			c.handle(ctx, e)
		case <-timer.C:
			c.handle(ctx, c.reader.Tick)
		}
	}
}

// armTimer sets the timer to the time of the reader's next tick.
func (c *Client) armTimer(timer *time.Timer) {
	timer.Stop()
	if next, ok := c.reader.NextTick(); ok {
		timer.Reset(time.Until(next))
	}
}

func (c *Client) handle(ctx context.Context, e event) {
	actions := e(time.Now())
	for _, kind := range lists.Kinds() {
		c.documents[kind].Store(c.reader.Document(kind))
	}
	status := c.reader.Status()
	c.status.Store(&status)
	for _, a := range actions {
		c.perform(ctx, a)
	}
}

// perform executes one action. Each call runs in its own goroutine, which ends within the call timeout or
// with ctx.
func (c *Client) perform(ctx context.Context, a Action) {
	switch a := a.(type) {
	case Fetch:
		go c.fetch(ctx, a)
	case Watch:
		go c.watch(ctx, a)
	case RequestDigest:
		go c.requestDigest(ctx, a)
	case RequestBody:
		go c.requestBody(ctx, a)
	case Apply:
		c.cfg.Metrics.Applied.Inc(1)
		c.apply(a.Snapshot)
	case Rejected:
		c.cfg.Metrics.rejected(a.Kind).Inc(1)
		c.cfg.Log.Warn("list rejected", "op", "lists", "event", "refused", "kind", a.Kind, "list", a.List,
			"revision", a.Revision, "source", a.Source, "err", a.Err)
	case Waiting:
		c.cfg.Log.Warn("new lists not applied because they are inconsistent with each other", "op", "lists", "event", "waiting", "err", a.Findings)
	case Reachability:
		c.logReachability(a)
	}
}

func (c *Client) logReachability(a Reachability) {
	if a.Reachable {
		c.cfg.Log.Info("platform reachable again", "op", "platform", "event", "reachable")
		return
	}
	c.cfg.Log.Warn("platform unreachable", "op", "platform", "event", "unreachable", "err", a.Err)
}

// enqueue passes an event to the loop of Run. It blocks while the queue is full.
func (c *Client) enqueue(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

func (c *Client) fetch(ctx context.Context, a Fetch) {
	c.cfg.Metrics.Calls.Inc(1)
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	revision, body, err := c.cfg.Platform.List(callCtx, a.Kind)
	c.enqueue(ctx, func(now time.Time) []Action {
		if err != nil {
			return c.handleFailure(now, err)
		}
		return c.reader.HandleList(now, a.Kind, revision, body)
	})
}

func (c *Client) watch(ctx context.Context, a Watch) {
	c.cfg.Metrics.Calls.Inc(1)
	callCtx, cancel := context.WithTimeout(ctx, a.Wait+c.cfg.CallTimeout)
	defer cancel()
	revisions, err := c.cfg.Platform.Watch(callCtx, a.After, a.Wait)
	c.enqueue(ctx, func(now time.Time) []Action {
		if err != nil {
			return c.handleFailure(now, err)
		}
		return c.reader.HandleWatch(now, revisions)
	})
}

func (c *Client) handleFailure(now time.Time, err error) []Action {
	c.cfg.Metrics.CallErrors.Inc(1)
	return c.reader.HandleFailure(now, failureOf(err))
}

func (c *Client) requestDigest(ctx context.Context, a RequestDigest) {
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	d, err := c.listDigest(callCtx, a.Peer)
	c.enqueue(ctx, func(now time.Time) []Action {
		if err != nil {
			return c.reader.HandlePeerFailure(now, a.Peer, false)
		}
		return c.reader.HandleDigest(now, a.Peer, d)
	})
}

func (c *Client) listDigest(ctx context.Context, peer netip.AddrPort) (Digest, error) {
	if c.cfg.Peers == nil {
		return Digest{}, errNoPeers
	}
	return c.cfg.Peers.ListDigest(ctx, peer)
}

func (c *Client) requestBody(ctx context.Context, a RequestBody) {
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	version, body, err := c.listBody(callCtx, a)
	c.enqueue(ctx, func(now time.Time) []Action {
		if err != nil {
			return c.reader.HandlePeerFailure(now, a.Peer, true)
		}
		c.cfg.Metrics.PeerBytes.Inc(int64(len(body)))
		return c.reader.HandleBody(now, a.Peer, a.Kind, version, body)
	})
}

func (c *Client) listBody(ctx context.Context, a RequestBody) (Version, []byte, error) {
	if c.cfg.Peers == nil {
		return Version{}, nil, errNoPeers
	}
	return c.cfg.Peers.ListBody(ctx, a.Peer, a.Kind)
}

// HandleDigest processes the list digest in a peer's heartbeat. It never blocks: if the queue is full, the
// digest is dropped, and the next heartbeat repeats it.
func (c *Client) HandleDigest(peer netip.AddrPort, d Digest) {
	select {
	case c.events <- func(now time.Time) []Action { return c.reader.HandleDigest(now, peer, d) }:
	default:
	}
}

// Reload reads the local files again. If a file cannot be read, it returns an error and changes nothing.
func (c *Client) Reload(ctx context.Context) error {
	if c.cfg.Platform != nil {
		return nil
	}
	files, err := c.loadFiles()
	if err != nil {
		return err
	}
	c.enqueue(ctx, func(now time.Time) []Action { return c.reader.HandleFiles(now, files) })
	return nil
}

func (c *Client) readFiles(ctx context.Context) error {
	files, err := c.loadFiles()
	if err != nil {
		return err
	}
	c.handle(ctx, func(now time.Time) []Action { return c.reader.HandleFiles(now, files) })
	return nil
}

func (c *Client) loadFiles() ([3]lists.Document, error) {
	var files [3]lists.Document
	for kind, path := range c.cfg.Files {
		data, err := os.ReadFile(path)
		if err != nil {
			return files, fmt.Errorf("read the local list of %s: %w", lists.Kind(kind), err)
		}
		files[kind] = lists.Document{Name: path, Data: data}
	}
	return files, nil
}

// Digest returns the versions of the newest valid lists. It is sent to peers.
func (c *Client) Digest() Digest {
	var d Digest
	for i := range c.documents {
		if doc := c.documents[i].Load(); doc != nil {
			d[i] = doc.Version
		}
	}
	return d
}

// Document returns the newest valid document of a list, or nil. It is served to peers.
func (c *Client) Document(kind lists.Kind) *Document {
	return c.documents[kind].Load()
}

// Status returns the current status of the lists.
func (c *Client) Status() Status {
	return *c.status.Load()
}
