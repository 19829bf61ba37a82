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

// Transport reads and writes the packets of the fabric. Its methods must be safe for concurrent use and must
// not allocate.
type Transport interface {
	// Headroom is the number of bytes that Address needs in front of a packet.
	Headroom() int
	// Decode reads a packet of a caller. It fills m and returns the packet's tag, or the reason to drop it.
	Decode(raw []byte, m *packet.Meta) (flowtag.Tag, errkind.Kind)
	// Address makes a frame, which is a packet behind the headroom, one for a target.
	Address(frame []byte, t *model.Target, tag flowtag.Tag)
	// AppendReset appends the packet that refuses m to its caller.
	AppendReset(dst []byte, m *packet.Meta) []byte
	// CallerAddr is where packets for the caller of m go.
	CallerAddr(m *packet.Meta) netip.AddrPort
}

// ErrCompacted is what Store.Watch returns where the platform no longer has the changes.
var ErrCompacted = errors.New("the platform has dropped these changes")

// Store is the platform's service that publishes items.
type Store interface {
	// ReadAll returns every item and the revision up to which the answer knows of every change. With stale the
	// answer may be some seconds old. It reads the items that name targets first and hands all of them to part before it
	// goes on.
	ReadAll(ctx context.Context, stale bool, part func(targets []news.Item)) ([]news.Item, uint64, error)
	// Watch waits for changes after a revision and returns them with the revision to go on from. An answer
	// without changes ends the wait. The error wraps ErrCompacted where ReadAll has to be used.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]news.Item, uint64, error)
	// Reset drops the connections to the service.
	Reset()
}

// Prober finds out whether targets are there. It must be safe for concurrent use.
type Prober interface {
	// Present reports whether a target takes a connection and is the one that is meant. Before ctx ends it returns false only
	// where the target's machine, or another target there, answered for it.
	Present(ctx context.Context, t *model.Target) bool
}

// Published is what an item says: one of its fields is set, or none for an item that says nothing here.
type Published struct {
	Plan   *directory.Plan
	Target *directory.Registration
}

// Interpreter reads published items.
type Interpreter interface {
	// Interpret returns what an item says, or why it cannot be used.
	Interpret(it news.Item) (Published, error)
	// TargetName returns the name of the target that an item registers; false for other items.
	TargetName(key string) (string, bool)
}
