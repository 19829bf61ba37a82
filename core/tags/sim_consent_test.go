package tags

import (
	"slices"

	"github.com/fireflypin/fireflypin/internal/consent"
)

// ask asks the other daemons about flows that are to be reset, as package edge does.
func (d *simDaemon) ask(request consent.Request) {
	var others consent.Others
	for _, other := range d.w.daemons {
		switch {
		case other == d:
		case other.zone == d.zone:
			others.Zone = append(others.Zone, other.address)
		default:
			others.Further = append(others.Further, other.address)
		}
	}
	for _, q := range d.consent.Ask(d.w.now(), request, others) {
		for _, other := range d.w.daemons {
			if other != d {
				d.message(other, func() { other.answer(d, q) })
			}
		}
	}
}

// answer answers another daemon's question.
func (d *simDaemon) answer(asker *simDaemon, q consent.Question) {
	a := consent.Answer{ID: q.ID, Reach: d.engine.Reach(d.w.now()), InZone: simDaemonsPerZone, Later: d.engine.Yield(d.w.now(), q.Flows)}
	d.message(asker, func() {
		asker.consent.HandleAnswer(d.w.now(), d.address, a)
		asker.resetConfirmed()
	})
}

// message delivers a message to another daemon, which handles it once it runs.
func (d *simDaemon) message(to *simDaemon, handle func()) {
	d.w.deliver(d.zone, to.zone, func() {
		if !to.off {
			to.whenRunning(handle)
		}
	})
}

// resetConfirmed resets the flows of which no other daemon received later packets.
func (d *simDaemon) resetConfirmed() {
	var resets []FlowReset
	for _, request := range d.consent.Confirmed(d.w.now()) {
		resets = append(resets, d.engine.ResetConfirmed(d.w.now(), request)...)
	}
	slices.SortFunc(resets, func(a, b FlowReset) int { return a.Caller.Compare(b.Caller) })
	for _, r := range resets {
		target := d.engine.Target(r.Target)
		if f := d.w.ports[r.Caller]; f != nil {
			f.note("daemon "+d.name+" resets without a packet"+d.evidenceText(target), nil, 0)
		}
		d.reset(&r, target)
		d.w.counts.idleResets++
	}
}
