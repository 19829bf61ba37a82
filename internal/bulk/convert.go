package bulk

import (
	"fmt"

	"github.com/fireflypin/fireflypin/internal/bulk/bulkpb"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// maxChunkRecords is the maximum number of records in one chunk. A record takes 12 bytes.
const maxChunkRecords = 4096

// splitSnapshot splits a snapshot into messages. A snapshot without exceptions is one message.
func splitSnapshot(s flow.Snapshot) []*bulkpb.SnapshotChunk {
	var chunks []*bulkpb.SnapshotChunk
	rest := s.Exceptions
	for first := true; first || len(rest) > 0; first = false {
		n := min(len(rest), maxChunkRecords)
		chunks = append(chunks, newChunk(s, rest[:n], n == len(rest)))
		rest = rest[n:]
	}
	return chunks
}

func newChunk(s flow.Snapshot, records []wire.Record, last bool) *bulkpb.SnapshotChunk {
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

// assembler joins chunks into snapshots.
type assembler struct {
	current   *flow.Snapshot
	completed []flow.Snapshot
}

// add appends the next chunk. It returns an error if the chunk is malformed or does not continue the current
// snapshot.
func (a *assembler) add(c *bulkpb.SnapshotChunk) error {
	if len(c.Hashes) != len(c.Targets) {
		return fmt.Errorf("read snapshot: chunk has %d hashes but %d targets", len(c.Hashes), len(c.Targets))
	}
	if a.current == nil {
		a.current = &flow.Snapshot{
			Owner:       model.MachineID(c.Owner),
			Incarnation: c.Incarnation,
			NextSeq:     c.NextSeq,
			Generation:  model.Generation{Plans: c.GenerationPlans, Machines: c.GenerationMachines},
		}
	}
	if a.current.Owner != model.MachineID(c.Owner) || a.current.Incarnation != c.Incarnation {
		return fmt.Errorf("read snapshot: chunk of the log of machine %d within the log of machine %d", c.Owner, a.current.Owner)
	}
	for i, h := range c.Hashes {
		a.current.Exceptions = append(a.current.Exceptions, wire.Record{
			Hash: model.FlowHash(h), Target: model.TargetID(c.Targets[i]),
		})
	}
	if c.Last {
		a.completed = append(a.completed, *a.current)
		a.current = nil
	}
	return nil
}

// finish returns the snapshots after the end of the stream. It returns an error if the last one is incomplete.
func (a *assembler) finish() ([]flow.Snapshot, error) {
	if a.current != nil {
		return nil, fmt.Errorf("read snapshot: stream ended within the log of machine %d", a.current.Owner)
	}
	return a.completed, nil
}
