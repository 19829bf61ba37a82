package flow

import (
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// LogConfig sets how the log of exceptions travels.
type LogConfig struct {
	// MaxRecordsPerBatch keeps a batch within one datagram. Default 80 records.
	MaxRecordsPerBatch int
	// ResendAfter is how long a batch may stay unacknowledged. Default 1 s.
	ResendAfter time.Duration
	// MaxRecords is how many records the log keeps for peers that lag; a peer further behind takes a
	// snapshot. Default 50000 records.
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

// Log is the ordered log of this daemon's own exceptions, and how far each peer has applied it.
// Positions count records from 1; a position names the state before its record.
type Log struct {
	cfg LogConfig

	mu      sync.Mutex
	first   uint64 // position of records[0]
	records []wire.Record
	marks   []generationMark
	live    map[model.FlowHash]model.TargetID
	peers   map[model.MachineID]*logPeer
	// incomplete is true while the owner may not know all flows that it owns.
	incomplete bool
}

// generationMark says from which position on a generation is the log's.
type generationMark struct {
	from       uint64
	generation model.Generation
}

type logPeer struct {
	incarnation uint64
	acked       uint64 // the peer has applied all records below
	sent        uint64 // records below were sent at least once
	sentAt      time.Time
	mark        uint64 // highest mark received from the peer
	echoed      uint64 // highest mark sent back
}

// NewLog returns an empty log whose defaults are those of a generation.
func NewLog(cfg LogConfig, generation model.Generation) *Log {
	return &Log{
		cfg:   cfg.Defaults(),
		first: 1,
		marks: []generationMark{{from: 1, generation: generation}},
		live:  make(map[model.FlowHash]model.TargetID),
		peers: make(map[model.MachineID]*logPeer),
	}
}

// head returns the position after the last record.
func (l *Log) head() uint64 {
	return l.first + uint64(len(l.records))
}

// Add logs that a flow has a target other than its default one.
func (l *Log) Add(h model.FlowHash, target model.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.live[h]; ok && old == target {
		return
	}
	l.live[h] = target
	l.append(wire.Record{Hash: h, Target: target})
}

// Remove logs that a flow has ended.
func (l *Log) Remove(h model.FlowHash) {
	l.withdraw(wire.Record{Hash: h, Remove: true})
}

// Settle logs that a flow's target has become its default one.
func (l *Log) Settle(h model.FlowHash) {
	l.withdraw(wire.Record{Hash: h, Remove: true, Settled: true})
}

func (l *Log) withdraw(r wire.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.live[r.Hash]; !ok {
		return
	}
	delete(l.live, r.Hash)
	l.append(r)
}

// SetGeneration logs that from here on unnamed flows have the default target of a generation. All
// exceptions that the new generation needs must have been added before.
func (l *Log) SetGeneration(g model.Generation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.generationAt(l.head()) == g {
		return
	}
	// A record of its own gives the change a position, so that it is acknowledged like the others.
	l.append(wire.Record{Remove: true})
	l.marks = append(l.marks, generationMark{from: l.head(), generation: g})
}

// Generation returns the generation of the log's end.
func (l *Log) Generation() model.Generation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generationAt(l.head())
}

// Len returns the number of exceptions in force.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.live)
}

func (l *Log) append(r wire.Record) {
	l.records = append(l.records, r)
	if len(l.records) <= l.cfg.MaxRecords {
		return
	}
	l.trim(l.first + uint64(l.cfg.MaxRecords/2))
}

// trim drops records below a position; peers that still need them take a snapshot.
func (l *Log) trim(position uint64) {
	if position <= l.first {
		return
	}
	l.records = append([]wire.Record(nil), l.records[position-l.first:]...)
	l.first = position
	for len(l.marks) > 1 && l.marks[1].from <= position {
		l.marks = l.marks[1:]
	}
}

func (l *Log) generationAt(position uint64) model.Generation {
	g := l.marks[0].generation
	for _, m := range l.marks {
		if m.from <= position {
			g = m.generation
		}
	}
	return g
}

// Peer names one run of a daemon that takes the log.
type Peer struct {
	ID          model.MachineID
	Incarnation uint64
}

// SetPeers says which peers take the log. A peer that is new or has a new incarnation starts from a
// snapshot.
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

// SetComplete says whether the log names every exception among the flows of this owner. Peers rely on
// a complete log alone; when it becomes complete, they are told again how far it covers their marks.
func (l *Log) SetComplete(complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incomplete && complete {
		for _, p := range l.peers {
			p.echoed = 0
		}
	}
	l.incomplete = !complete
}

// Batch returns the next batch for a peer, and false where nothing needs to be sent now.
func (l *Log) Batch(now time.Time, peer model.MachineID) (wire.LogBatch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[peer]
	if !ok {
		return wire.LogBatch{}, false
	}
	if p.acked == 0 {
		return l.announce(now, p)
	}
	if p.sent > p.acked && now.Sub(p.sentAt) >= l.cfg.ResendAfter {
		p.sent = p.acked
	}
	from := max(p.sent, p.acked, l.first)
	to := min(from+uint64(l.cfg.MaxRecordsPerBatch), l.head())
	echoes := to == l.head() && p.mark > p.echoed
	if from == to && !echoes {
		return wire.LogBatch{}, false
	}
	return l.cut(now, p, from, to), true
}

// announce sends a peer without a snapshot the log's end, which shows it that it lags.
func (l *Log) announce(now time.Time, p *logPeer) (wire.LogBatch, bool) {
	if now.Sub(p.sentAt) < l.cfg.ResendAfter {
		return wire.LogBatch{}, false
	}
	return l.cut(now, p, l.head(), l.head()), true
}

// cut builds a batch. Only a batch that reaches the log's end echoes the peer's mark: it then holds
// every flow that was placed before the mark arrived.
func (l *Log) cut(now time.Time, p *logPeer, from, to uint64) wire.LogBatch {
	if to == l.head() {
		p.echoed = p.mark
	}
	p.sent = to
	p.sentAt = now
	return wire.LogBatch{
		FirstSeq:   from,
		NextSeq:    l.head(),
		Records:    append([]wire.Record(nil), l.records[from-l.first:to-l.first]...),
		Generation: l.generationAt(to),
		Echo:       p.echoed,
		Complete:   !l.incomplete,
	}
}

// HandleAck notes how far a peer has applied the log. It reports whether the peer needs a snapshot:
// it has none yet, or it lags behind the records that are kept.
func (l *Log) HandleAck(peer model.MachineID, incarnation uint64, a wire.LogAck) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[peer]
	if !ok || p.incarnation != incarnation {
		return false
	}
	p.mark = max(p.mark, a.Mark)
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
	// Records are moved on every trim, so small gains are left for later.
	if lowest-l.first > uint64(len(l.records)/2) {
		l.trim(lowest)
	}
}

// Unacknowledged returns the number of records that at least one peer has not applied yet.
func (l *Log) Unacknowledged() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	lowest := l.head()
	for _, p := range l.peers {
		lowest = min(lowest, max(p.acked, l.first))
	}
	return int(l.head() - lowest)
}

// Applied reports whether every peer knows this daemon and has applied its whole log.
func (l *Log) Applied() bool {
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

// Snapshot returns the log's state at its end, for a peer that starts or lags.
func (l *Log) Snapshot(owner model.MachineID, incarnation uint64) Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Snapshot{Owner: owner, Incarnation: incarnation, NextSeq: l.head(), Generation: l.generationAt(l.head())}
	s.Exceptions = recordsOf(l.live)
	return s
}

func recordsOf(live map[model.FlowHash]model.TargetID) []wire.Record {
	records := make([]wire.Record, 0, len(live))
	for h, t := range live {
		records = append(records, wire.Record{Hash: h, Target: t})
	}
	return records
}
