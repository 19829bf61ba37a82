package modelcheck

// canonicalize clears the fields that no later event reads, so that states that differ only in them are
// visited once.
func (s *state) canonicalize() {
	for d := range numDaemons {
		if !s.d[d].up {
			s.clearStopped(d)
			continue
		}
		s.clearMarks(d)
		for o := range numDaemons {
			s.clearBatch(d, o)
		}
	}
}

// clearStopped clears a stopped daemon except for its log, which the replicas at other daemons refer to.
func (s *state) clearStopped(d int) {
	stopped := &s.d[d]
	s.d[d] = daemon{log: stopped.log, logLen: stopped.logLen, base: stopped.base}
	for o := range numDaemons {
		s.d[o].receivedMarks[d] = 0
	}
}

// clearMarks clears the mark bits of d that no comparison needs any more.
func (s *state) clearMarks(d int) {
	for o := range numDaemons {
		used := marks(0)
		if s.d[d].seenOwner == int8(o)+1 {
			used |= afterFirstPacket
		}
		if s.d[d].inTransition {
			used |= afterOwnerChange
		}
		s.d[d].replicas[o].ackedComplete &= afterFirstPacket & used
		s.d[d].replicas[o].acked &= afterOwnerChange & used
		s.d[o].receivedMarks[d] &= used
		s.d[o].sentBatches[d].acks &= used
	}
}

// clearBatch drops a batch in flight that would not change its receiver's replica.
func (s *state) clearBatch(from, to int) {
	b := &s.d[from].sentBatches[to]
	rep := &s.d[to].replicas[from]
	if !b.present {
		return
	}
	if b.pos < rep.pos || !s.d[to].up || (b.pos == rep.pos && !b.acksNewMarks(rep)) {
		*b = batch{}
	}
}

// acksNewMarks reports whether a batch acknowledges a mark that the replica does not record as acknowledged
// yet.
func (b *batch) acksNewMarks(rep *replica) bool {
	return b.acks&afterOwnerChange&^rep.acked != 0 || (b.complete && b.acks&afterFirstPacket&^rep.ackedComplete != 0)
}
