package core

import (
	"github.com/fireflypin/fireflypin/packet"
)

const maxExplained = 3

// explain logs the path of a misrouted packet and what every daemon knows of its flow, for the first
// maxExplained ones.
func (f *fleet) explain(fl testFlow, v Verdict) {
	if f.explained++; f.explained > maxExplained {
		return
	}
	f.t.Logf("%v: packet took the path %s, target %v, want %v", f.now, f.way, v.To, fl.target)
	m := packet.Meta{Src: fl.caller, Dst: testService, Flags: packet.ACK}
	for _, x := range f.nodes {
		if x.up {
			f.explainNode(x, &m)
		}
	}
}

func (f *fleet) explainNode(x *node, m *packet.Meta) {
	h := m.Key().Hash()
	w := x.engine.world.Load()
	owner := "none"
	if o := w.owner(h); o != nil {
		owner = o.Name
	}
	entry, known := x.engine.table.Get(h)
	f.t.Logf("  %s/%s: owner %s, known %v, target %v, exception %v, in transition %v, generation %v",
		x.entry.Zone.Name, x.entry.Name, owner, known, entry.Target, entry.Exception,
		x.engine.unsettled.Load(), x.engine.log.Generation())
	for _, s := range x.engine.Snapshots(true) {
		for _, r := range s.Exceptions {
			if r.Hash == h {
				f.t.Logf("    log of %s has target %v", f.nodeOf(s.Owner).entry.Name, r.Target)
			}
		}
	}
}
