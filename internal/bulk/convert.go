package bulk

import (
	"fmt"

	"github.com/fireflypin/fireflypin/internal/bulk/bulkpb"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// chunkRecords is the number of records in one chunk, 12 bytes each.
const chunkRecords = 4096

// chunksOf splits a log's state into messages; an empty state is one message.
func chunksOf(s flow.Snapshot) []*bulkpb.SnapshotChunk {
	var chunks []*bulkpb.SnapshotChunk
	rest := s.Exceptions
	for first := true; first || len(rest) > 0; first = false {
		n := min(len(rest), chunkRecords)
		chunks = append(chunks, chunkOf(s, rest[:n], n == len(rest)))
		rest = rest[n:]
	}
	return chunks
}

func chunkOf(s flow.Snapshot, records []wire.Record, last bool) *bulkpb.SnapshotChunk {
	c := &bulkpb.SnapshotChunk{
		Owner:              uint32(s.Owner),
		Incarnation:        s.Incarnation,
		NextSeq:            s.NextSeq,
		GenerationPlans:    s.Generation.Plans,
		GenerationMachines: s.Generation.Machines,
		Last:               last,
	}
	for _, r := range records {
		c.Hashes = append(c.Hashes, uint64(r.Hash))
		c.Targets = append(c.Targets, uint32(r.Target))
	}
	return c
}

// assembler joins chunks to states.
type assembler struct {
	open *flow.Snapshot
	done []flow.Snapshot
}

// add takes the next chunk.
func (a *assembler) add(c *bulkpb.SnapshotChunk) error {
	if len(c.Hashes) != len(c.Targets) {
		return fmt.Errorf("read a snapshot: %d hashes and %d targets in one chunk", len(c.Hashes), len(c.Targets))
	}
	if a.open == nil {
		a.open = &flow.Snapshot{
			Owner:       model.MachineID(c.Owner),
			Incarnation: c.Incarnation,
			NextSeq:     c.NextSeq,
			Generation:  model.Generation{Plans: c.GenerationPlans, Machines: c.GenerationMachines},
		}
	}
	if a.open.Owner != model.MachineID(c.Owner) || a.open.Incarnation != c.Incarnation {
		return fmt.Errorf("read a snapshot: a chunk of machine %d between those of machine %d", c.Owner, a.open.Owner)
	}
	for i, h := range c.Hashes {
		a.open.Exceptions = append(a.open.Exceptions, wire.Record{
			Hash: model.FlowHash(h), Target: model.TargetID(c.Targets[i]),
		})
	}
	if c.Last {
		a.done = append(a.done, *a.open)
		a.open = nil
	}
	return nil
}

// finish returns the states once the stream has ended.
func (a *assembler) finish() ([]flow.Snapshot, error) {
	if a.open != nil {
		return nil, fmt.Errorf("read a snapshot: the stream ended within the log of machine %d", a.open.Owner)
	}
	return a.done, nil
}
