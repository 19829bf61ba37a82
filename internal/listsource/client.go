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

// eventQueue bounds the events that wait for the client's loop.
const eventQueue = 64

// Platform is the platform's service as the client calls it.
type Platform interface {
	// List reads a list. A *CallError says more of a failure.
	List(ctx context.Context, kind lists.Kind) (revision uint64, body []byte, err error)
	// Watch waits until a list is newer than after, or until wait is over.
	Watch(ctx context.Context, after model.Revisions, wait time.Duration) (model.Revisions, error)
}

// Peers asks other daemons for lists. A peer is named by its bulk address.
type Peers interface {
	ListDigest(ctx context.Context, peer netip.AddrPort) (Digest, error)
	ListBody(ctx context.Context, peer netip.AddrPort, kind lists.Kind) (Version, []byte, error)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Reader configures the decisions.
	Reader Config
	// Platform is the platform's service; nil where local files are used.
	Platform Platform
	// Files are the paths of local lists, by lists.Kind; all empty where the platform is used.
	Files [3]string
	// Peers asks other daemons; nil for none.
	Peers Peers
	// CallTimeout bounds a call, in a watch on top of its wait; default 5 s.
	CallTimeout time.Duration
	// Log gets a line for each change of state; required.
	Log *log.Logger
	// Metrics counts what happens; required.
	Metrics *Metrics
}

// Client reads lists and hands each set that comes into force to its owner. It carries out what a
// Reader decides.
type Client struct {
	cfg    ClientConfig
	reader *Reader
	events chan event
	adopt  func(*model.Snapshot)
	status atomic.Pointer[Status]
	held   [3]atomic.Pointer[Document]
}

// event is one input of the Reader.
type event func(now time.Time) []Action

// NewClient returns a Client that has not read anything yet.
func NewClient(cfg ClientConfig) *Client {
	cfg.CallTimeout = cmp.Or(cfg.CallTimeout, 5*time.Second)
	cfg.Reader.UsePlatform = cfg.Platform != nil
	c := &Client{
		cfg:    cfg,
		reader: New(cfg.Reader),
		events: make(chan event, eventQueue),
	}
	c.status.Store(&Status{})
	return c
}

// Run reads until ctx ends and calls adopt, from one goroutine, for every set that comes into force.
// Local files must be readable at the start.
func (c *Client) Run(ctx context.Context, adopt func(*model.Snapshot)) error {
	c.adopt = adopt
	c.handle(ctx, c.reader.Start)
	if c.cfg.Platform == nil {
		if err := c.readFiles(ctx); err != nil {
			return err
		}
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		c.arm(timer)
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

// arm sets the timer to the reader's next tick.
func (c *Client) arm(timer *time.Timer) {
	timer.Stop()
	if next, ok := c.reader.NextTick(); ok {
		timer.Reset(time.Until(next))
	}
}

func (c *Client) handle(ctx context.Context, e event) {
	actions := e(time.Now())
	for _, kind := range lists.Kinds() {
		c.held[kind].Store(c.reader.Document(kind))
	}
	status := c.reader.Status()
	c.status.Store(&status)
	for _, a := range actions {
		c.perform(ctx, a)
	}
}

// perform carries out one action. Calls run in a goroutine of their own that ends within the call
// timeout or with ctx.
func (c *Client) perform(ctx context.Context, a Action) {
	switch a := a.(type) {
	case Fetch:
		go c.fetch(ctx, a)
	case Watch:
		go c.watch(ctx, a)
	case AskDigest:
		go c.askDigest(ctx, a)
	case AskBody:
		go c.askBody(ctx, a)
	case Apply:
		c.cfg.Metrics.Applied.Inc(1)
		c.adopt(a.Snapshot)
	case Refused:
		c.cfg.Metrics.refused(a.Kind).Inc(1)
		c.cfg.Log.Warn("list refused", "op", "lists", "event", "refused", "kind", a.Kind, "list", a.List,
			"revision", a.Revision, "source", a.Source, "err", a.Err)
	case Waiting:
		c.cfg.Log.Warn("lists do not fit each other", "op", "lists", "event", "waiting", "err", a.Findings)
	case Reachability:
		c.logReachability(a)
	}
}

func (c *Client) logReachability(a Reachability) {
	if a.Reachable {
		c.cfg.Log.Info("platform answers again", "op", "platform", "event", "reachable")
		return
	}
	c.cfg.Log.Warn("platform does not answer", "op", "platform", "event", "unreachable", "err", a.Err)
}

// post hands an event to the loop.
func (c *Client) post(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

func (c *Client) fetch(ctx context.Context, a Fetch) {
	c.cfg.Metrics.Calls.Inc(1)
	call, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	revision, body, err := c.cfg.Platform.List(call, a.Kind)
	c.post(ctx, func(now time.Time) []Action {
		if err != nil {
			return c.failed(now, err)
		}
		return c.reader.HandleList(now, a.Kind, revision, body)
	})
}

func (c *Client) watch(ctx context.Context, a Watch) {
	c.cfg.Metrics.Calls.Inc(1)
	call, cancel := context.WithTimeout(ctx, a.Wait+c.cfg.CallTimeout)
	defer cancel()
	revisions, err := c.cfg.Platform.Watch(call, a.After, a.Wait)
	c.post(ctx, func(now time.Time) []Action {
		if err != nil {
			return c.failed(now, err)
		}
		return c.reader.HandleWatch(now, revisions)
	})
}

func (c *Client) failed(now time.Time, err error) []Action {
	c.cfg.Metrics.CallErrors.Inc(1)
	return c.reader.HandleFailure(now, failureOf(err))
}

func (c *Client) askDigest(ctx context.Context, a AskDigest) {
	call, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	d, err := c.listDigest(call, a.Peer)
	c.post(ctx, func(now time.Time) []Action {
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

func (c *Client) askBody(ctx context.Context, a AskBody) {
	call, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	version, body, err := c.listBody(call, a)
	c.post(ctx, func(now time.Time) []Action {
		if err != nil {
			return c.reader.HandlePeerFailure(now, a.Peer, true)
		}
		c.cfg.Metrics.PeerBytes.Inc(int64(len(body)))
		return c.reader.HandleBody(now, a.Peer, a.Kind, version, body)
	})
}

func (c *Client) listBody(ctx context.Context, a AskBody) (Version, []byte, error) {
	if c.cfg.Peers == nil {
		return Version{}, nil, errNoPeers
	}
	return c.cfg.Peers.ListBody(ctx, a.Peer, a.Kind)
}

// HandleDigest takes what a peer told of its lists with a heartbeat. It never blocks: a digest that
// finds the queue full is dropped, since the next heartbeat repeats it.
func (c *Client) HandleDigest(peer netip.AddrPort, d Digest) {
	select {
	case c.events <- func(now time.Time) []Action { return c.reader.HandleDigest(now, peer, d) }:
	default:
	}
}

// Reload reads the local files again. A file that cannot be read leaves everything as it is.
func (c *Client) Reload(ctx context.Context) error {
	if c.cfg.Platform != nil {
		return nil
	}
	files, err := c.loadFiles()
	if err != nil {
		return err
	}
	c.post(ctx, func(now time.Time) []Action { return c.reader.HandleFiles(now, files) })
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
			return files, fmt.Errorf("read list of %s: %w", lists.Kind(kind), err)
		}
		files[kind] = lists.Document{Name: path, Data: data}
	}
	return files, nil
}

// Digest returns the versions of the newest sound lists, to be shown to peers.
func (c *Client) Digest() Digest {
	var d Digest
	for i := range c.held {
		if doc := c.held[i].Load(); doc != nil {
			d[i] = doc.Version
		}
	}
	return d
}

// Document returns the newest sound text of a list, to be handed to peers, or nil.
func (c *Client) Document(kind lists.Kind) *Document {
	return c.held[kind].Load()
}

// Status returns what is known of the lists.
func (c *Client) Status() Status {
	return *c.status.Load()
}
