package wire

import (
	"sync"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// ReplayConfig bounds the state of a Replay.
type ReplayConfig struct {
	// Window is how far behind the newest counter of a sender a datagram may arrive, in datagrams;
	// rounded up to a multiple of 64; 0 means 4096. A sender's window takes Window/8 bytes.
	Window int
	// MaxSenders bounds the senders that are remembered; 0 means 4096. A datagram of one more sender
	// is refused until Keep forgets some.
	MaxSenders int
}

const (
	defaultWindow     = 4096
	defaultMaxSenders = 4096
	wordBits          = 64
)

// Replay remembers which datagrams were seen. It is safe for concurrent use.
type Replay struct {
	words      uint64
	maxSenders int

	mu      sync.RWMutex
	windows map[model.MachineID]*window
}

// NewReplay returns an empty memory.
func NewReplay(cfg ReplayConfig) *Replay {
	if cfg.Window <= 0 {
		cfg.Window = defaultWindow
	}
	if cfg.MaxSenders <= 0 {
		cfg.MaxSenders = defaultMaxSenders
	}
	return &Replay{
		words:      uint64((cfg.Window + wordBits - 1) / wordBits),
		maxSenders: cfg.MaxSenders,
		windows:    make(map[model.MachineID]*window),
	}
}

// Admit returns errkind.None for the first call with a sender, incarnation and counter, and
// PeerReplayed for a later one, for a counter behind the window and for an incarnation older than
// one already admitted.
func (r *Replay) Admit(sender model.MachineID, incarnation, counter uint64) errkind.Kind {
	w := r.windowOf(sender)
	if w == nil {
		return errkind.PeerUnknown
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(incarnation, counter) {
		return errkind.PeerReplayed
	}
	return errkind.None
}

// Keep forgets the senders for which wanted returns false.
func (r *Replay) Keep(wanted func(model.MachineID) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.windows {
		if !wanted(id) {
			delete(r.windows, id)
		}
	}
}

// Incarnation returns the newest incarnation admitted from a sender, 0 for none.
func (r *Replay) Incarnation(sender model.MachineID) uint64 {
	r.mu.RLock()
	w := r.windows[sender]
	r.mu.RUnlock()
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// windowOf returns the window of a sender, a new one if need be, or nil when there is no room.
func (r *Replay) windowOf(sender model.MachineID) *window {
	r.mu.RLock()
	w := r.windows[sender]
	r.mu.RUnlock()
	if w != nil {
		return w
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.windows[sender]; w != nil {
		return w
	}
	if len(r.windows) >= r.maxSenders {
		return nil
	}
	w = &window{seen: make([]uint64, r.words)}
	r.windows[sender] = w
	return w
}

// window is the sliding bitmap of one sender: a ring of words indexed by counter/64.
type window struct {
	mu          sync.Mutex
	incarnation uint64
	newest      uint64
	seen        []uint64
}

func (w *window) admit(incarnation, counter uint64) bool {
	if incarnation < w.incarnation {
		return false
	}
	if incarnation > w.incarnation {
		w.restart(incarnation)
	}
	if counter/wordBits > w.newest/wordBits {
		w.advance(counter / wordBits)
	}
	if w.behind(counter) {
		return false
	}
	word := &w.seen[(counter/wordBits)%uint64(len(w.seen))]
	bit := uint64(1) << (counter % wordBits)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	w.newest = max(w.newest, counter)
	return true
}

func (w *window) restart(incarnation uint64) {
	w.incarnation = incarnation
	w.newest = 0
	clear(w.seen)
}

// advance clears the words that come into the ring when the newest counter lies in word index next.
func (w *window) advance(next uint64) {
	size := uint64(len(w.seen))
	last := w.newest / wordBits
	if next-last >= size {
		clear(w.seen)
		return
	}
	for i := last + 1; i <= next; i++ {
		w.seen[i%size] = 0
	}
}

// behind reports whether a counter's word has left the ring.
func (w *window) behind(counter uint64) bool {
	return counter/wordBits+uint64(len(w.seen)) <= w.newest/wordBits
}
