package core

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/internal/admission"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
	"github.com/fireflypin/fireflypin/placement"
)

const (
	// simTick is the time between two looks of a daemon at its flows.
	simTick = 50 * time.Millisecond
	// simPauseLimit is the time without a turn from which a daemon asks others first, simStallLimit that from which it
	// drops SYNs that waited.
	simPauseLimit = time.Second
	simStallLimit = 500 * time.Millisecond
)

// simDaemon is a daemon around an engine, as package edge runs it: a socket in which packets wait while it does not get
// its turn, regular ticks, and probes.
type simDaemon struct {
	w       *sim
	name    string
	zone    string
	address netip.AddrPort
	engine  *TagEngine
	version int
	// life counts its starts: what an earlier one began is void.
	life int
	// blocked is true while it does not get its turn, or has not started yet.
	blocked bool
	socket  []simPacket
	later   []func()
	// out counts what keeps it out of rotation.
	out    int
	probes simProbes
}

func (w *sim) addDaemon(zone string) {
	n := len(w.daemons)
	d := &simDaemon{
		w: w, name: zone + string(rune('0'+n)), zone: zone,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(n)}), 443),
	}
	w.daemons = append(w.daemons, d)
	d.start()
	d.keepTicking()
}

// start begins a life of the daemon, with what is published and no records.
func (d *simDaemon) start() {
	d.life++
	d.engine = NewTagEngine(TagConfig{
		Policy:  placement.NewNearest(placement.NearestConfig{Zone: model.Zone{Name: d.zone}}),
		Epoch:   d.w.now(),
		Suspect: func(t *model.Target) { d.probe(t.ID, simMissed) },
	})
	d.probes = newSimProbes()
	d.later = nil
	d.version = -1
	d.adopt(d.w.version, d.w.lists)
	d.engine.SetCurrent(true)
}

func (d *simDaemon) adopt(version int, lists *model.Snapshot) {
	if version <= d.version {
		return
	}
	d.version = version
	d.engine.Adopt(d.w.now(), lists, admission.NewTable(lists))
}

func (d *simDaemon) rotated() bool { return d.out == 0 }

// away takes the daemon out of rotation for a time.
func (d *simDaemon) away(in, span time.Duration) {
	d.w.after(in, func() { d.out++ })
	d.w.after(in+span, func() { d.out-- })
}

// soon does something now, or when the daemon gets its turn again.
func (d *simDaemon) soon(do func()) {
	if d.blocked {
		d.later = append(d.later, do)
		return
	}
	do()
}

// restart ends the daemon and starts it again; packets wait in the socket meanwhile, SYNs not longer than through a stall.
func (d *simDaemon) restart(span time.Duration) {
	if d.blocked {
		return
	}
	d.blocked = true
	d.life++
	d.w.after(span, func() {
		d.start()
		if span >= simStallLimit {
			d.dropSYNs()
		}
		d.resume()
	})
}

// stall takes the daemon's turn for a time. After one as long as the fabric needs to move flows it drops SYNs that waited;
// after a longer one it opens no flow until it heard of others.
func (d *simDaemon) stall(span time.Duration) {
	if d.blocked {
		return
	}
	d.blocked = true
	if span >= simPauseLimit {
		d.away(simPauseLimit, span-simPauseLimit+300*time.Millisecond)
	}
	d.w.after(span, func() {
		if span >= simStallLimit {
			d.dropSYNs()
		}
		if span >= simPauseLimit {
			d.engine.SetCurrent(false)
			life := d.life
			d.w.after(d.w.between(3*time.Millisecond, 600*time.Millisecond), func() {
				if life == d.life {
					d.engine.SetCurrent(true)
				}
			})
		}
		d.resume()
	})
}

func (d *simDaemon) dropSYNs() {
	d.socket = slices.DeleteFunc(d.socket, func(p simPacket) bool { return p.meta.Flags.Has(packet.SYN) })
}

// resume lets the daemon go on. Packets and ticks belong to two goroutines, so either may come first.
func (d *simDaemon) resume() {
	d.blocked = false
	if d.w.chance(0.5) {
		d.tick()
	}
	waiting := d.socket
	d.socket = nil
	for i, p := range waiting {
		d.handle(p, d.w.now().Add(time.Duration(i)*time.Microsecond))
	}
	later := d.later
	d.later = nil
	for _, do := range later {
		do()
	}
}

func (d *simDaemon) arrive(p simPacket) {
	if d.blocked {
		d.socket = append(d.socket, p)
		return
	}
	d.handle(p, d.w.now())
}

func (d *simDaemon) handle(p simPacket, now time.Time) {
	v := d.engine.FromCaller(now, &p.meta, flowtag.Tag(p.tag))
	switch v.Op {
	case OpForward:
		d.forward(p, v)
	case OpReset:
		p.flow.note("daemon "+d.name+" resets ("+v.Kind.String()+d.grounds(v.Target)+")", &p.meta, p.tag)
		d.reset(&TagReset{Caller: p.meta.Src, Service: p.meta.Dst, Ack: p.meta.Ack}, v.Target)
	default:
		p.flow.note("daemon "+d.name+" drops ("+v.Kind.String()+")", &p.meta, p.tag)
	}
}

func (d *simDaemon) forward(p simPacket, v TagVerdict) {
	t := d.w.targets[v.Target.ID]
	switch v.Reason {
	case TagMoved:
		d.w.counts.moved++
	case TagLearned:
		d.w.counts.learned++
	}
	if v.Reason != TagSteered || t != p.flow.chosen {
		p.flow.note("daemon "+d.name+" to target "+t.name+" ("+v.Reason.String()+")", &p.meta, p.tag)
	}
	d.w.judgeForward(d, &p, t)
	d.w.carry(d.zone, t.zone, func() { t.take(p, uint32(v.Tag)) })
}

// grounds tells what a daemon holds against a target.
func (d *simDaemon) grounds(t *model.Target) string {
	if t == nil {
		return ""
	}
	ev, now := d.engine.Loads().Evidence(t.ID), d.w.now()
	probe := "never probed"
	if !ev.ProbedAt.IsZero() {
		probe = fmt.Sprintf("probed %v ago, found %t", now.Sub(ev.ProbedAt), ev.Connected)
	}
	return fmt.Sprintf(": target %s, ended %t, %d misses of %d flows, %d strong, the first %v ago, the last %v ago; %s",
		t.Name, d.engine.Ended(t.ID), ev.MissesInRow, ev.MissedFlows, ev.Strong, now.Sub(ev.FirstMiss), now.Sub(ev.LastMiss), probe)
}

// reset ends a flow at its caller, in the place of a target or, where that is nil, as the refusal of a SYN.
func (d *simDaemon) reset(r *TagReset, target *model.Target) {
	a := simAnswer{by: d.name, meta: packet.Meta{Src: r.Service, Dst: r.Caller, Flags: packet.RST, Seq: r.Ack}}
	if target != nil {
		a.about = d.w.targets[target.ID]
	}
	d.w.toCaller(d.zone, a)
}

func (d *simDaemon) keepTicking() {
	d.w.after(simTick, func() {
		if !d.blocked {
			d.tick()
		}
		d.keepTicking()
	})
}

func (d *simDaemon) tick() {
	resets := d.engine.Tick(d.w.now())
	// The engine's records are in no order.
	slices.SortFunc(resets, func(a, b TagReset) int { return cmp.Compare(a.Caller.Port(), b.Caller.Port()) })
	for _, r := range resets {
		target := d.engine.Target(r.Target)
		if f := d.w.ports[r.Caller]; f != nil {
			f.note("tick of daemon "+d.name+" resets"+d.grounds(target), nil, 0)
		}
		d.reset(&r, target)
	}
}
