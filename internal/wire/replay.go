package wire

import (
	"sync"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// ReplayFilterConfig configures a ReplayFilter.
type ReplayFilterConfig struct {
	// Window is the size of a sender's replay window in datagrams: how far behind the sender's highest
	// counter a datagram is still accepted. It is rounded up to a multiple of 64; 0 means 4096. A window
	// takes Window/8 bytes of memory.
	Window int
	// MaxSenders is the maximum number of senders that have a window; 0 means 4096. Datagrams of further
	// senders are rejected until Retain removes some.
	MaxSenders int
}

const (
	defaultWindow     = 4096
	defaultMaxSenders = 4096
	wordBits          = 64
)

// ReplayFilter detects replayed datagrams with one sliding window per sender. It is safe for concurrent use.
type ReplayFilter struct {
	words      uint64
	maxSenders int

	mu      sync.RWMutex
	windows map[model.MachineID]*window
}

// NewReplayFilter returns a ReplayFilter without any senders.
func NewReplayFilter(cfg ReplayFilterConfig) *ReplayFilter {
	if cfg.Window <= 0 {
		cfg.Window = defaultWindow
	}
	if cfg.MaxSenders <= 0 {
		cfg.MaxSenders = defaultMaxSenders
	}
	return &ReplayFilter{
		words:      uint64((cfg.Window + wordBits - 1) / wordBits),
		maxSenders: cfg.MaxSenders,
		windows:    make(map[model.MachineID]*window),
	}
}

// Admit returns errkind.None for the first call with a combination of sender, incarnation and counter. It
// returns PeerReplayed for a repeated combination, for a counter below the window and for an incarnation
// older than one already admitted, and PeerUnknown for a new sender while all windows are in use.
func (r *ReplayFilter) Admit(sender model.MachineID, incarnation, counter uint64) errkind.Kind {
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

// Retain removes the windows of all senders for which keep returns false.
func (r *ReplayFilter) Retain(keep func(model.MachineID) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.windows {
		if !keep(id) {
			delete(r.windows, id)
		}
	}
}

// Incarnation returns the highest incarnation admitted from a sender, or 0 for none.
func (r *ReplayFilter) Incarnation(sender model.MachineID) uint64 {
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

// windowOf returns the window of a sender and creates it if necessary. It returns nil if the maximum number
// of windows is reached.
func (r *ReplayFilter) windowOf(sender model.MachineID) *window {
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

// window is the replay window of one sender: a sliding bitmap in a ring of words indexed by counter/64.
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
		w.reset(incarnation)
	}
	if counter/wordBits > w.newest/wordBits {
		w.advance(counter / wordBits)
	}
	if w.isBelow(counter) {
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

func (w *window) reset(incarnation uint64) {
	w.incarnation = incarnation
	w.newest = 0
	clear(w.seen)
}

// advance moves the window up to word index next and clears the words that enter the ring.
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

// isBelow reports whether a counter is below the window, i.e. its word has left the ring.
func (w *window) isBelow(counter uint64) bool {
	return counter/wordBits+uint64(len(w.seen)) <= w.newest/wordBits
}
