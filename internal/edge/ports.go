package edge

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// Transport decodes and encodes the fabric's packets. Its methods must be safe for concurrent use and must not
// allocate.
type Transport interface {
	// Headroom is the number of bytes that PrepareForTarget needs before a packet.
	Headroom() int
	// Decode decodes a caller's packet into m and returns the packet's tag, or the reason to drop it.
	Decode(raw []byte, m *packet.Meta) (flowtag.Tag, errkind.Kind)
	// PrepareForTarget turns a frame, a packet preceded by the headroom, into a packet to a target.
	PrepareForTarget(frame []byte, t *model.Target, tag flowtag.Tag)
	// AppendReset appends the reset that refuses m at its caller.
	AppendReset(dst []byte, m *packet.Meta) []byte
	// CallerAddr is the address to which packets for the caller of m are sent.
	CallerAddr(m *packet.Meta) netip.AddrPort
}

// ErrCompacted is wrapped by errors of Store.Watch if the platform no longer holds the requested changes.
var ErrCompacted = errors.New("the platform no longer holds the requested changes")

// ErrUndecodable is wrapped by errors of Store for a response that is too large or too long for its time, or malformed: the
// same call would have the same response again.
var ErrUndecodable = errors.New("the response is too large or cannot be decoded")

// Store is the platform's service that publishes items. A call whose response does not begin in time or makes no
// progress must end with an error; one that is slow must not.
type Store interface {
	// ReadAll returns every item and the position up to which the result includes every change. With stale the result
	// may be some seconds old. It reads the items that name targets first and passes all of them to handleTargets
	// before it reads the others.
	ReadAll(ctx context.Context, stale bool, handleTargets func(targets []news.Item)) ([]news.Item, news.Position, error)
	// Watch waits for changes after a revision and returns them with the position to continue from. A response
	// without changes ends the wait. The error wraps ErrCompacted if ReadAll is needed instead. With an error, the
	// position that Watch and ReadAll return has only the era of the platform's answer, or 0 if there was none.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]news.Item, news.Position, error)
	// Reset closes the connections to the service.
	Reset()
}

// Prober checks whether targets are present. It must be safe for concurrent use.
type Prober interface {
	// Present reports whether a target accepts a connection and is the expected one. Before ctx ends it returns false
	// only if the target's machine, or another target at its address, responded.
	Present(ctx context.Context, t *model.Target) bool
}

// ParsedItem is the content of an item. One field is set, or none if the item does not concern the daemon.
type ParsedItem struct {
	Plan   *directory.Plan
	Target *directory.Registration
}

// UnusableItem is the error for a published item that cannot be used.
type UnusableItem struct {
	Kind errkind.Kind
	Err  error
}

// Error implements error.
func (u *UnusableItem) Error() string { return u.Err.Error() }

// Unwrap returns the cause.
func (u *UnusableItem) Unwrap() error { return u.Err }

// Interpreter parses published items.
type Interpreter interface {
	// Interpret returns the content of an item, or why it cannot be used, for known reasons as an *UnusableItem. An item
	// names a target only if all that it says can be true of one.
	Interpret(it news.Item) (ParsedItem, error)
	// TargetName returns the name of the target that an item registers; false for other items.
	TargetName(key string) (string, bool)
	// DrainedZone returns the availability zone that operators drain while the item with this key exists; false for
	// other items.
	DrainedZone(key string) (string, bool)
}
