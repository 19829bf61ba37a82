package tags

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/internal/admission"
	"github.com/fireflypin/fireflypin/internal/consent"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
	"github.com/fireflypin/fireflypin/placement"
)

const (
	// simTick is the interval of a daemon's ticks.
	simTick = 50 * time.Millisecond
	// simPauseLimit is the length of a stall from which a daemon opens no flows until other daemons have confirmed
	// its lists. simStallLimit is that from which it drops SYNs that waited in its socket.
	simPauseLimit = time.Second
	simStallLimit = 500 * time.Millisecond
	// simBacklogTime is how long after a stall packets that waited may be handled.
	simBacklogTime = 200 * time.Millisecond
)

// simDaemon is a daemon with a Engine, run as in package edge: a socket that buffers packets while the daemon is
// stalled, regular ticks, and probes.
type simDaemon struct {
	w       *sim
	name    string
	zone    string
	address netip.AddrPort
	engine  *Engine
	version int
	// instance is the daemon's instance number. Work that an earlier instance began is discarded.
	instance int
	// blocked is true while the daemon is stalled or restarting.
	blocked bool
	// off is true while it has no power, so that packets to it are lost.
	off      bool
	socket   []simPacket
	deferred []func()
	// outReasons counts the reasons for which the routers send it no flows.
	outReasons int
	probes     simProbes
	consent    *consent.Engine
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

// start starts a new instance of the daemon, with the current lists and no records.
func (d *simDaemon) start() {
	d.instance++
	d.engine = New(Config{
		Policy:       placement.NewNearest(placement.NearestConfig{Zone: model.Zone{Name: d.zone}}),
		Epoch:        d.w.now(),
		RequestProbe: func(t *model.Target) { d.probe(t.ID, simReasonMissed) },
	})
	d.consent = consent.NewEngine(uint64(d.instance) << 20)
	d.probes = newSimProbes()
	d.deferred = nil
	d.version = -1
	d.applyLists(d.w.version, d.w.lists)
	d.engine.SetCurrent(true)
}

func (d *simDaemon) applyLists(version int, lists *model.Snapshot) {
	if version <= d.version {
		return
	}
	d.version = version
	d.engine.ApplyLists(d.w.now(), lists, admission.NewTable(lists))
}

func (d *simDaemon) isInRotation() bool { return d.outReasons == 0 }

// leaveRotation takes the daemon out of the routers' rotation after the delay in, for the time span.
func (d *simDaemon) leaveRotation(in, span time.Duration) {
	d.w.after(in, func() { d.outReasons++ })
	d.w.after(in+span, func() { d.outReasons-- })
}

// whenRunning calls do now, or when the daemon resumes if it is blocked.
func (d *simDaemon) whenRunning(do func()) {
	if d.blocked {
		d.deferred = append(d.deferred, do)
		return
	}
	do()
}

// restart stops the daemon and starts it again after span. Packets wait in the socket meanwhile; if span reaches
// simStallLimit, SYNs are dropped.
func (d *simDaemon) restart(span time.Duration) {
	if d.blocked {
		return
	}
	d.blocked = true
	d.instance++
	d.w.after(span, func() {
		d.start()
		if span >= simStallLimit {
			d.dropSYNs()
		}
		d.resume()
	})
}

// powerOff stops the daemon and closes its socket. After off the socket is open again, and some time later the daemon has
// its first lists.
func (d *simDaemon) powerOff(off time.Duration) {
	if d.blocked {
		return
	}
	d.blocked, d.off = true, true
	d.instance++
	d.socket = nil
	d.w.after(off, func() {
		d.blocked, d.off = false, false
		d.restart(d.w.between(20*time.Millisecond, simStallLimit))
	})
}

// stall blocks the daemon for a time. If the stall was long enough for the routers to move flows to other daemons, it
// drops the SYNs that waited. After a longer stall it also opens no flow until it has received reports of other
// daemons.
func (d *simDaemon) stall(span time.Duration) {
	if d.blocked {
		return
	}
	d.blocked = true
	if span >= simPauseLimit {
		d.leaveRotation(simPauseLimit, span-simPauseLimit+300*time.Millisecond)
	}
	d.w.after(span, func() {
		if span >= simStallLimit {
			d.dropSYNs()
			d.engine.Stalled(d.w.now().Add(simBacklogTime))
			d.consent.Cancel()
		}
		if span >= simPauseLimit {
			d.engine.SetCurrent(false)
			instance := d.instance
			d.w.after(d.w.between(3*time.Millisecond, 600*time.Millisecond), func() {
				if instance == d.instance {
					d.engine.SetCurrent(true)
				}
			})
		}
		d.resume()
	})
}

// dropSYNs drops the waiting SYNs.
func (d *simDaemon) dropSYNs() {
	d.socket = slices.DeleteFunc(d.socket, func(p simPacket) bool { return p.meta.Flags.Has(packet.SYN) })
}

// resume ends a stall. A tick may run before or after the waiting packets are handled, since each has its own
// goroutine.
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
	deferred := d.deferred
	d.deferred = nil
	for _, do := range deferred {
		do()
	}
}

func (d *simDaemon) receive(p simPacket) {
	switch {
	case d.off:
	case d.blocked:
		d.socket = append(d.socket, p)
	default:
		d.handle(p, d.w.now())
	}
}

func (d *simDaemon) handle(p simPacket, now time.Time) {
	v := d.engine.FromCaller(now, &p.meta, flowtag.Tag(p.tag))
	switch v.Op {
	case core.OpForward:
		d.forward(p, v)
	case core.OpReset:
		p.flow.note("daemon "+d.name+" resets ("+v.Kind.String()+d.evidenceText(v.Target)+")", &p.meta, p.tag)
		d.reset(&FlowReset{Caller: p.meta.Src, Service: p.meta.Dst, Ack: p.meta.Ack}, v.Target)
	default:
		if v.Cause == CauseFirstSYNUnseen {
			d.w.counts.unknownDuplicates++
		}
		p.flow.note("daemon "+d.name+" drops ("+v.Kind.String()+")", &p.meta, p.tag)
	}
}

func (d *simDaemon) forward(p simPacket, v Verdict) {
	t := d.w.targets[v.Target.ID]
	switch v.Reason {
	case Repeated:
		d.w.counts.repeated++
	case Learned:
		d.w.counts.learned++
	case Placed:
		if p.meta.DuplicateSYN {
			d.w.counts.placedDuplicates++
		}
	}
	if v.Reason != Steered || t != p.flow.chosen {
		p.flow.note("daemon "+d.name+" forwards to target "+t.name+" ("+v.Reason.String()+")", &p.meta, p.tag)
	}
	d.w.checkForward(d, &p, t)
	d.w.deliver(d.zone, t.zone, func() { t.receive(p, uint32(v.Tag)) })
}

// evidenceText describes a daemon's evidence against a target, for the trace.
func (d *simDaemon) evidenceText(t *model.Target) string {
	if t == nil {
		return ""
	}
	ev, now := d.engine.Loads().Evidence(t.ID), d.w.now()
	probe := "never probed"
	if !ev.ProbedAt.IsZero() {
		probe = fmt.Sprintf("probed %v ago, found %t", now.Sub(ev.ProbedAt), ev.Connected)
	}
	return fmt.Sprintf(": target %s, registration ended %t, %d missed responses of %d flows, %d strong, first %v ago, last %v ago; %s",
		t.Name, d.engine.RegistrationEnded(t.ID), ev.ConsecutiveMisses, ev.MissedFlows, ev.StrongMisses, now.Sub(ev.FirstMiss), now.Sub(ev.LastMiss), probe)
}

// reset resets a flow at its caller, on behalf of a target or, if target is nil, to refuse a SYN.
func (d *simDaemon) reset(r *FlowReset, target *model.Target) {
	a := simAnswer{daemon: d.name, meta: packet.Meta{Src: r.Service, Dst: r.Caller, Flags: packet.RST, Seq: r.Ack}}
	if target != nil {
		a.onBehalfOf = d.w.targets[target.ID]
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
	now := d.w.now()
	unresponsive := d.engine.Tick(now)
	d.resetConfirmed()
	for _, id := range lo.Intersect(lo.Map(d.w.order, func(t *simTarget, _ int) model.TargetID { return t.id }), unresponsive) {
		if d.consent.Waits(now, id) {
			continue
		}
		request := d.engine.ResetCandidates(now, id)
		// The order of the engine's records is random; sorting keeps the run reproducible.
		slices.SortFunc(request.Flows, func(a, b flow.LastPacket) int { return cmp.Compare(a.Flow, b.Flow) })
		d.ask(request)
	}
}
