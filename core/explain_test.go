package core

import (
	"net/netip"

	"github.com/fireflypin/fireflypin/packet"
)

// explain logs, for up to limit flows whose packet goes astray, its way and what every daemon knows.
func (f *fleet) explain(flows []testFlow, limit int) {
	for _, fl := range flows {
		if limit > 0 && f.explainFlow(fl) {
			limit--
		}
	}
}

func (f *fleet) explainFlow(fl testFlow) bool {
	m := packet.Meta{Src: fl.caller, Dst: testService, Flags: packet.ACK, HopLimit: 64}
	n := f.nodes[f.upNode()]
	way := n.entry.Name
	v := n.engine.FromFabric(f.now, netip.AddrPort{}, &m)
	for v.Op == OpHop {
		from := n.entry.ID
		n = f.nodeOf(v.Peer)
		way += " > " + n.entry.Name
		v = n.engine.FromPeer(f.now, from, v.Hop, &m)
	}
	if v.Op != OpForward || v.To == fl.target {
		return false
	}
	f.t.Logf("%v way %s got %v want %v", f.now, way, v.To, fl.target)
	for _, x := range f.nodes {
		if x.up {
			f.explainNode(x, &m)
		}
	}
	return true
}

func (f *fleet) explainNode(x *node, m *packet.Meta) {
	h := m.Key().Hash()
	w := x.engine.world.Load()
	owner := "none"
	if o := w.owner(h); o != nil {
		owner = o.Name
	}
	entry, known := x.engine.table.Get(h)
	f.t.Logf("  %s/%s owner %s known %v target %v exception %v unsettled %v generation %v",
		x.entry.Zone.Name, x.entry.Name, owner, known, entry.Target, entry.Exception,
		x.engine.unsettled.Load(), x.engine.log.Generation())
	for _, s := range x.engine.Snapshots(true) {
		for _, r := range s.Exceptions {
			if r.Hash == h {
				f.t.Logf("    log of %s names %v", f.nodeOf(s.Owner).entry.Name, r.Target)
			}
		}
	}
}
