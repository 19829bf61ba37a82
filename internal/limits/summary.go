package limits

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// entry is the usage of one limit in a summary.
type entry struct {
	key    key
	counts counts
}

// maxEntries is the maximum number of entries in each part of a received summary.
const maxEntries = 64

// Summary appends the encoded summary for the other owners to dst and returns it. The first part has this owner's
// usage, for the owners in its zone, the second part the usage of the whole zone, for the owners in other zones.
// The parts have at most Config.OwnEntries and Config.ZoneEntries entries. When more limits have to be reported, the
// most used ones are always included and the others in rotation. Summary must be called once per round of heartbeats.
func (l *Limiter) Summary(now time.Time, dst []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	own, zone := l.collectCandidates(now)
	reported := l.selectEntries(own, l.cfg.OwnEntries)
	for _, e := range reported {
		l.states[e.key].reported = e.counts
	}
	totals := l.selectEntries(zone, l.cfg.ZoneEntries)
	l.rotation++
	return appendEntries(appendEntries(dst, reported), totals)
}

// candidate is an entry with its usage as a share of the limit's even part.
type candidate struct {
	entry
	utilization float64
}

// collectCandidates returns the limits whose usage must be reported, by this owner and for its zone, and forgets
// unused ones.
func (l *Limiter) collectCandidates(now time.Time) (own, zone []candidate) {
	zoneOwners := float64(max(l.zones[l.cfg.Zone].Live, 1))
	clear(l.ownersByPlan)
	for k, s := range l.states {
		s.advance(now, l.cfg.Window)
		s.dropExpired(now.Add(-l.cfg.Expiry))
		if s.unused() {
			l.forgetUnused(now, k, s)
			continue
		}
		s.unusedSince = time.Time{}
		if utilization := l.utilization(s, s.own, 1); utilization >= l.cfg.ReportThreshold {
			own = append(own, candidate{entry{k, s.own}, utilization})
		} else {
			s.reported = counts{}
		}
		if k.scope != scopeCustomer {
			continue
		}
		total := s.zoneCounts()
		if utilization := l.utilization(s, total, zoneOwners); utilization >= l.cfg.ReportThreshold {
			zone = append(zone, candidate{entry{k, total}, utilization})
		}
	}
	return own, zone
}

// forgetUnused removes a limit that has been unused for longer than Config.Expiry.
func (l *Limiter) forgetUnused(now time.Time, k key, s *limitState) {
	s.reported = counts{}
	if s.unusedSince.IsZero() {
		s.unusedSince = now
	}
	if now.Sub(s.unusedSince) > l.cfg.Expiry {
		delete(l.states, k)
	}
}

// utilization returns the usage c as a share of the even part of the limit that the given number of owners have
// together.
func (l *Limiter) utilization(s *limitState, c counts, ownerCount float64) float64 {
	parts := s.owners.splitCount(l.cfg.MinOwnerShare) / ownerCount
	highest := 0.0
	if s.limits.open > 0 {
		highest = float64(max(c.open, c.requested)) * parts / float64(s.limits.open)
	}
	if s.limits.rate > 0 {
		perWindow := float64(s.limits.rate) * l.cfg.Window.Seconds()
		highest = max(highest, float64(c.admitted)*parts/perWindow)
	}
	return highest
}

// selectEntries returns up to n entries. When there are more candidates, three quarters of the entries are the most
// used limits and the others rotate through the remaining candidates.
func (l *Limiter) selectEntries(all []candidate, n int) []entry {
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.utilization, a.utilization), cmp.Compare(a.key.scope, b.key.scope), cmp.Compare(a.key.id, b.key.id))
	})
	out := make([]entry, 0, n)
	topCount := min(len(all), n)
	if len(all) > n {
		topCount = n - n/4
	}
	for _, c := range all[:topCount] {
		out = append(out, c.entry)
	}
	rest := all[topCount:]
	for i := 0; len(out) < n && i < len(rest); i++ {
		out = append(out, rest[(l.rotation*(n-topCount)+i)%len(rest)].entry)
	}
	return out
}

// Handle stores the summary of another owner. It returns false when the bytes are not a valid summary.
func (l *Limiter) Handle(now time.Time, from model.MachineID, zone model.Zone, summary []byte) bool {
	own, rest, ok := decodeEntries(summary)
	if !ok {
		return false
	}
	totals, rest, ok := decodeEntries(rest)
	if !ok || len(rest) > 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if zone == l.cfg.Zone {
		for _, e := range own {
			s := l.limitState(now, e.key)
			setReport(s, s.peers, from, report{counts: e.counts, at: now})
		}
		return true
	}
	for _, e := range totals {
		s := l.limitState(now, e.key)
		setReport(s, s.zones, zone, report{counts: e.counts, at: now})
	}
	return true
}

// Forget drops the reports of an owner, for example because it has stopped or failed.
func (l *Limiter) Forget(machine model.MachineID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.states {
		if _, reported := s.peers[machine]; reported {
			dropReport(s, s.peers, machine)
		}
	}
}

// ForgetZone drops the reports of a zone, for example because it is unreachable.
func (l *Limiter) ForgetZone(zone model.Zone) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.states {
		if _, reported := s.zones[zone]; reported {
			dropReport(s, s.zones, zone)
		}
	}
}

func appendEntries(dst []byte, entries []entry) []byte {
	dst = append(dst, byte(len(entries)))
	for _, e := range entries {
		dst = append(dst, byte(e.key.scope))
		dst = binary.BigEndian.AppendUint32(dst, e.key.id)
		dst = binary.AppendUvarint(dst, uint64(e.counts.open))
		dst = binary.AppendUvarint(dst, uint64(e.counts.admitted))
		dst = binary.AppendUvarint(dst, uint64(e.counts.requested))
	}
	return dst
}

// minEntryBytes is the length of the shortest encoded entry in bytes.
const minEntryBytes = 8

func decodeEntries(b []byte) (entries []entry, rest []byte, ok bool) {
	if len(b) == 0 {
		return nil, nil, false
	}
	n := int(b[0])
	b = b[1:]
	if n > maxEntries || len(b) < n*minEntryBytes {
		return nil, nil, false
	}
	entries = make([]entry, 0, n)
	for range n {
		e, left, ok := decodeEntry(b)
		if !ok {
			return nil, nil, false
		}
		entries = append(entries, e)
		b = left
	}
	return entries, b, true
}

func decodeEntry(b []byte) (entry, []byte, bool) {
	if len(b) < minEntryBytes || b[0] >= byte(scopeCount) {
		return entry{}, nil, false
	}
	e := entry{key: key{scope: scope(b[0]), id: binary.BigEndian.Uint32(b[1:])}}
	b = b[5:]
	for _, field := range []*uint32{&e.counts.open, &e.counts.admitted, &e.counts.requested} {
		v, n := binary.Uvarint(b)
		if n <= 0 || v > 1<<31 {
			return entry{}, nil, false
		}
		*field = uint32(v)
		b = b[n:]
	}
	return e, b, true
}
