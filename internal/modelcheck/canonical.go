package modelcheck

// canonical clears the fields that no later event reads, so that states that differ only in them are
// visited once.
func (s *state) canonical() {
	for d := range daemons {
		if !s.d[d].up {
			s.clearGone(d)
			continue
		}
		s.clearMarks(d)
		for o := range daemons {
			s.clearBatch(d, o)
		}
	}
}

// clearGone clears a stopped daemon except for its log, which the replicas at other daemons refer to.
func (s *state) clearGone(d int) {
	gone := &s.d[d]
	s.d[d] = daemon{log: gone.log, logLen: gone.logLen, base: gone.base}
	for o := range daemons {
		s.d[o].received[d] = 0
	}
}

// clearMarks clears the mark bits of d that no comparison needs any more.
func (s *state) clearMarks(d int) {
	for o := range daemons {
		used := marks(0)
		if s.d[d].seen == int8(o)+1 {
			used |= sinceSeen
		}
		if s.d[d].unsettled {
			used |= sinceChange
		}
		s.d[d].copies[o].echoed &= sinceSeen & used
		s.d[d].copies[o].heard &= sinceChange & used
		s.d[o].received[d] &= used
		s.d[o].sent[d].echo &= used
	}
}

// clearBatch drops a batch in flight that would not change its receiver's replica.
func (s *state) clearBatch(from, to int) {
	b := &s.d[from].sent[to]
	c := &s.d[to].copies[from]
	if !b.present {
		return
	}
	if b.pos < c.pos || !s.d[to].up || (b.pos == c.pos && !b.tellsMarks(c)) {
		*b = batch{}
	}
}

// tellsMarks reports whether a batch acknowledges a mark that the replica does not record as acknowledged
// yet.
func (b *batch) tellsMarks(c *logCopy) bool {
	return b.echo&sinceChange&^c.heard != 0 || (b.complete && b.echo&sinceSeen&^c.echoed != 0)
}
