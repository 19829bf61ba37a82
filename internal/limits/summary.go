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
	key key
	use use
}

// maxEntries is the maximum number of entries in each part of a received summary.
const maxEntries = 64

// Summary appends the encoded summary for the other owners to dst and returns it. The first part has this owner's
// usage, for the owners in its zone, the second part the usage of the whole zone, for the owners in other zones.
// The parts have at most Config.OwnEntries and Config.ZoneEntries entries: the most used limits are always
// included, the others in rotation. Summary must be called once per round of heartbeats.
func (l *Limiter) Summary(now time.Time, dst []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	own, zone := l.collect(now)
	told := l.choose(own, l.cfg.OwnEntries)
	for _, e := range told {
		l.usages[e.key].told = e.use
	}
	sums := l.choose(zone, l.cfg.ZoneEntries)
	l.turn++
	return appendEntries(appendEntries(dst, told), sums)
}

// candidate is an entry with its usage as a share of the limit's even part.
type candidate struct {
	entry
	used float64
}

// collect returns the limits whose usage must be reported, by this owner and for its zone, and forgets unused ones.
func (l *Limiter) collect(now time.Time) (own, zone []candidate) {
	members := float64(max(l.zones[l.cfg.Zone].Live, 1))
	clear(l.plans)
	for k, u := range l.usages {
		u.advance(now, l.cfg.Window)
		u.expire(now.Add(-l.cfg.Expiry))
		if u.idle() {
			l.forget(now, k, u)
			continue
		}
		u.ended = time.Time{}
		if used := l.used(u, u.own, 1); used >= l.cfg.ReportAbove {
			own = append(own, candidate{entry{k, u.own}, used})
		} else {
			u.told = use{}
		}
		if k.scope != scopeCustomer {
			continue
		}
		sum := u.zoneUse()
		if used := l.used(u, sum, members); used >= l.cfg.ReportAbove {
			zone = append(zone, candidate{entry{k, sum}, used})
		}
	}
	return own, zone
}

// forget removes a limit that has been unused for longer than Config.Expiry.
func (l *Limiter) forget(now time.Time, k key, u *usage) {
	u.told = use{}
	if u.ended.IsZero() {
		u.ended = now
	}
	if now.Sub(u.ended) > l.cfg.Expiry {
		delete(l.usages, k)
	}
}

// used returns a usage as a share of the even part of the limit that the given number of owners have together.
func (l *Limiter) used(u *usage, of use, members float64) float64 {
	parts := u.owners.share(l.cfg.FleetFloor) / members
	most := 0.0
	if u.limits.open > 0 {
		most = float64(max(of.open, of.asked)) * parts / float64(u.limits.open)
	}
	if u.limits.rate > 0 {
		perWindow := float64(u.limits.rate) * l.cfg.Window.Seconds()
		most = max(most, float64(of.admitted)*parts/perWindow)
	}
	return most
}

// choose returns up to n entries. When there are more candidates, three quarters of the entries are the most used
// limits and the others rotate through the remaining candidates.
func (l *Limiter) choose(all []candidate, n int) []entry {
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.used, a.used), cmp.Compare(a.key.scope, b.key.scope), cmp.Compare(a.key.id, b.key.id))
	})
	out := make([]entry, 0, n)
	first := min(len(all), n)
	if len(all) > n {
		first = n - n/4
	}
	for _, c := range all[:first] {
		out = append(out, c.entry)
	}
	rest := all[first:]
	for i := 0; len(out) < n && i < len(rest); i++ {
		out = append(out, rest[(l.turn*(n-first)+i)%len(rest)].entry)
	}
	return out
}

// Handle stores the summary of another owner. It returns false when the bytes are not a valid summary.
func (l *Limiter) Handle(now time.Time, from model.MachineID, zone model.Zone, summary []byte) bool {
	own, rest, ok := decodeEntries(summary)
	if !ok {
		return false
	}
	sums, rest, ok := decodeEntries(rest)
	if !ok || len(rest) > 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if zone == l.cfg.Zone {
		for _, e := range own {
			u := l.usage(now, e.key)
			set(u, u.peers, from, report{use: e.use, at: now})
		}
		return true
	}
	for _, e := range sums {
		u := l.usage(now, e.key)
		set(u, u.zones, zone, report{use: e.use, at: now})
	}
	return true
}

// Forget drops the reports of an owner, for example because it has left or failed.
func (l *Limiter) Forget(machine model.MachineID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range l.usages {
		if _, told := u.peers[machine]; told {
			drop(u, u.peers, machine)
		}
	}
}

// ForgetZone drops the reports of a zone, for example because it is unreachable.
func (l *Limiter) ForgetZone(zone model.Zone) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range l.usages {
		if _, told := u.zones[zone]; told {
			drop(u, u.zones, zone)
		}
	}
}

func appendEntries(dst []byte, entries []entry) []byte {
	dst = append(dst, byte(len(entries)))
	for _, e := range entries {
		dst = append(dst, byte(e.key.scope))
		dst = binary.BigEndian.AppendUint32(dst, e.key.id)
		dst = binary.AppendUvarint(dst, uint64(e.use.open))
		dst = binary.AppendUvarint(dst, uint64(e.use.admitted))
		dst = binary.AppendUvarint(dst, uint64(e.use.asked))
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
	if len(b) < minEntryBytes || b[0] >= byte(scopeEnd) {
		return entry{}, nil, false
	}
	e := entry{key: key{scope: scope(b[0]), id: binary.BigEndian.Uint32(b[1:])}}
	b = b[5:]
	for _, field := range []*uint32{&e.use.open, &e.use.admitted, &e.use.asked} {
		v, n := binary.Uvarint(b)
		if n <= 0 || v > 1<<31 {
			return entry{}, nil, false
		}
		*field = uint32(v)
		b = b[n:]
	}
	return e, b, true
}
