package modelcheck

// canonical clears what no later event can depend on, so that states which differ in nothing else count
// as one.
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

// clearGone keeps only the log of a daemon that is gone, which the copies refer to.
func (s *state) clearGone(d int) {
	gone := &s.d[d]
	s.d[d] = daemon{log: gone.log, logLen: gone.logLen, base: gone.base}
	for o := range daemons {
		s.d[o].received[d] = 0
	}
}

// clearMarks drops marks of d that are compared with nothing any more.
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

// clearBatch drops a batch in flight that tells its receiver nothing.
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

// tellsMarks reports whether a batch echoes a mark that the copy does not hold.
func (b *batch) tellsMarks(c *logCopy) bool {
	return b.echo&sinceChange&^c.heard != 0 || (b.complete && b.echo&sinceSeen&^c.echoed != 0)
}
