package flow

import (
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// LogConfig sets how the log of exceptions is sent to peers.
type LogConfig struct {
	// MaxRecordsPerBatch keeps a batch within one datagram. Default 80 records.
	MaxRecordsPerBatch int
	// ResendAfter is how long a batch may stay unacknowledged before it is sent again. Default 1 s.
	ResendAfter time.Duration
	// MaxRecords is how many records the log keeps for peers that lag behind; a peer that lags
	// further needs a snapshot. Default 50000 records.
	MaxRecords int
}

// Defaults fills unset fields.
func (c LogConfig) Defaults() LogConfig {
	if c.MaxRecordsPerBatch == 0 {
		c.MaxRecordsPerBatch = 80
	}
	if c.ResendAfter == 0 {
		c.ResendAfter = time.Second
	}
	if c.MaxRecords == 0 {
		c.MaxRecords = 50_000
	}
	return c
}

// Log is the ordered log of this daemon's own exceptions (owned flows whose target is not their default
// one), with the position that each peer has acknowledged. Positions count records from 1; a position
// names the state before its record.
type Log struct {
	cfg LogConfig

	mu          sync.Mutex
	first       uint64 // position of records[0]
	records     []wire.Record
	generations []generationStart
	exceptions  map[model.FlowHash]model.TargetID
	peers       map[model.MachineID]*logPeer
	// incomplete is true while this daemon may not know all the flows that it owns.
	incomplete bool
}

// generationStart is the position from which on the log refers to the default targets of a generation.
type generationStart struct {
	from       uint64
	generation model.Generation
}

type logPeer struct {
	incarnation  uint64
	acked        uint64 // position up to which the peer has applied all records; 0 before its first acknowledgement
	sent         uint64 // position up to which all records were sent at least once
	sentAt       time.Time
	receivedMark uint64 // highest mark received from the peer
	returnedMark uint64 // highest mark returned to the peer
}

// NewLog returns an empty log that refers to the default targets of a generation.
func NewLog(cfg LogConfig, generation model.Generation) *Log {
	return &Log{
		cfg:         cfg.Defaults(),
		first:       1,
		generations: []generationStart{{from: 1, generation: generation}},
		exceptions:  make(map[model.FlowHash]model.TargetID),
		peers:       make(map[model.MachineID]*logPeer),
	}
}

// head returns the position after the last record.
func (l *Log) head() uint64 {
	return l.first + uint64(len(l.records))
}

// Add records that a flow is an exception with the given target.
func (l *Log) Add(h model.FlowHash, target model.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.exceptions[h]; ok && old == target {
		return
	}
	l.exceptions[h] = target
	l.append(wire.Record{Hash: h, Target: target})
}

// Remove records that an exception's flow has ended.
func (l *Log) Remove(h model.FlowHash) {
	l.appendRemoval(wire.Record{Hash: h, Remove: true})
}

// ClearException records that an exception's target has become its default one.
func (l *Log) ClearException(h model.FlowHash) {
	l.appendRemoval(wire.Record{Hash: h, Remove: true, BecameDefault: true})
}

func (l *Log) appendRemoval(r wire.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.exceptions[r.Hash]; !ok {
		return
	}
	delete(l.exceptions, r.Hash)
	l.append(r)
}

// SetGeneration records that from this position on all flows that are not exceptions have the default
// target of generation g. All exceptions that the new generation requires must have been added before.
func (l *Log) SetGeneration(g model.Generation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.generationAt(l.head()) == g {
		return
	}
	// The change has its own record, and so a position that peers acknowledge.
	l.append(wire.Record{Remove: true})
	l.generations = append(l.generations, generationStart{from: l.head(), generation: g})
}

// Generation returns the generation at the log's head.
func (l *Log) Generation() model.Generation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generationAt(l.head())
}

// Len returns the number of current exceptions.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.exceptions)
}

func (l *Log) append(r wire.Record) {
	l.records = append(l.records, r)
	if len(l.records) <= l.cfg.MaxRecords {
		return
	}
	l.trim(l.first + uint64(l.cfg.MaxRecords/2))
}

// trim drops the records below a position; peers that still need them must take a snapshot.
func (l *Log) trim(position uint64) {
	if position <= l.first {
		return
	}
	l.records = append([]wire.Record(nil), l.records[position-l.first:]...)
	l.first = position
	for len(l.generations) > 1 && l.generations[1].from <= position {
		l.generations = l.generations[1:]
	}
}

func (l *Log) generationAt(position uint64) model.Generation {
	g := l.generations[0].generation
	for _, start := range l.generations {
		if start.from <= position {
			g = start.generation
		}
	}
	return g
}

// Peer identifies one incarnation of a daemon that replicates the log.
type Peer struct {
	ID          model.MachineID
	Incarnation uint64
}

// SetPeers sets the peers that replicate the log. A peer that is new or has a new incarnation starts
// from a snapshot.
func (l *Log) SetPeers(peers []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[model.MachineID]*logPeer, len(peers))
	for _, p := range peers {
		next[p.ID] = &logPeer{incarnation: p.Incarnation}
		if old, ok := l.peers[p.ID]; ok && old.incarnation == p.Incarnation {
			next[p.ID] = old
		}
	}
	l.peers = next
	l.trimAcknowledged()
}

// SetComplete sets whether the log holds every exception among this owner's flows. Peers rely on
// a complete log only, so when it becomes complete, their marks are returned to them once more.
func (l *Log) SetComplete(complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incomplete && complete {
		for _, p := range l.peers {
			p.returnedMark = 0
		}
	}
	l.incomplete = !complete
}

// Batch returns the next batch for a peer, and false if nothing needs to be sent now.
func (l *Log) Batch(now time.Time, peer model.MachineID) (wire.LogBatch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[peer]
	if !ok {
		return wire.LogBatch{}, false
	}
	if p.acked == 0 {
		return l.announceHead(now, p)
	}
	if p.sent > p.acked && now.Sub(p.sentAt) >= l.cfg.ResendAfter {
		p.sent = p.acked
	}
	from := max(p.sent, p.acked, l.first)
	to := min(from+uint64(l.cfg.MaxRecordsPerBatch), l.head())
	returnsMark := to == l.head() && p.receivedMark > p.returnedMark
	if from == to && !returnsMark {
		return wire.LogBatch{}, false
	}
	return l.buildBatch(now, p, from, to), true
}

// announceHead sends the log's head to a peer without a snapshot, which shows the peer that it lags.
func (l *Log) announceHead(now time.Time, p *logPeer) (wire.LogBatch, bool) {
	if now.Sub(p.sentAt) < l.cfg.ResendAfter {
		return wire.LogBatch{}, false
	}
	return l.buildBatch(now, p, l.head(), l.head()), true
}

// buildBatch builds a batch. Only a batch that reaches the log's head returns the peer's mark: the peer then
// has every exception that was placed before the mark arrived.
func (l *Log) buildBatch(now time.Time, p *logPeer, from, to uint64) wire.LogBatch {
	if to == l.head() {
		p.returnedMark = p.receivedMark
	}
	p.sent = to
	p.sentAt = now
	return wire.LogBatch{
		FirstSeq:   from,
		NextSeq:    l.head(),
		Records:    append([]wire.Record(nil), l.records[from-l.first:to-l.first]...),
		Generation: l.generationAt(to),
		EchoedMark: p.returnedMark,
		Complete:   !l.incomplete,
	}
}

// HandleAck records how far a peer has applied the log. It reports whether the peer needs a snapshot:
// it has none yet, or the records that it needs next were dropped.
func (l *Log) HandleAck(peer model.MachineID, incarnation uint64, a wire.LogAck) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[peer]
	if !ok || p.incarnation != incarnation {
		return false
	}
	p.receivedMark = max(p.receivedMark, a.Mark)
	if a.NeedSnapshot || a.Seq < l.first || a.Seq > l.head() {
		p.acked = 0
		return true
	}
	p.acked = max(p.acked, a.Seq)
	p.sent = max(p.sent, p.acked)
	l.trimAcknowledged()
	return false
}

// trimAcknowledged drops the records that every peer has applied.
func (l *Log) trimAcknowledged() {
	lowest := l.head()
	for _, p := range l.peers {
		if p.acked != 0 {
			lowest = min(lowest, p.acked)
		}
	}
	// Every trim copies the kept records, so the log is trimmed only if more than half of it is dropped.
	if lowest-l.first > uint64(len(l.records)/2) {
		l.trim(lowest)
	}
}

// Unacknowledged returns the number of records that at least one peer has not acknowledged yet.
func (l *Log) Unacknowledged() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	lowest := l.head()
	for _, p := range l.peers {
		lowest = min(lowest, max(p.acked, l.first))
	}
	return int(l.head() - lowest)
}

// FullyAcknowledged reports whether every peer has acknowledged the whole log.
func (l *Log) FullyAcknowledged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		if p.acked < l.head() {
			return false
		}
	}
	return true
}

// Snapshot is the whole state of a log at one position.
type Snapshot struct {
	Owner       model.MachineID
	Incarnation uint64
	NextSeq     uint64
	Generation  model.Generation
	Exceptions  []wire.Record
}

// Snapshot returns the log's state at its head, for a peer that starts or lags behind.
func (l *Log) Snapshot(owner model.MachineID, incarnation uint64) Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Snapshot{Owner: owner, Incarnation: incarnation, NextSeq: l.head(), Generation: l.generationAt(l.head())}
	s.Exceptions = recordsOf(l.exceptions)
	return s
}

func recordsOf(exceptions map[model.FlowHash]model.TargetID) []wire.Record {
	records := make([]wire.Record, 0, len(exceptions))
	for h, t := range exceptions {
		records = append(records, wire.Record{Hash: h, Target: t})
	}
	return records
}
