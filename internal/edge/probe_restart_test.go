package edge

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core/tags"
	"github.com/fireflypin/fireflypin/internal/admission"
	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// addressProber is a prober that finds targets at one address only. It calls refused for each target at another
// address.
type addressProber struct {
	at      netip.AddrPort
	refused func()
}

func (p *addressProber) Present(_ context.Context, t *model.Target) bool {
	if t.Data != p.at {
		p.refused()
		return false
	}
	return true
}

// A target may restart at another address while its probe is queued or running. A probe of the old address fails
// then, which must not count against the target.
func TestProbeOfRestartedTarget(t *testing.T) {
	before, after := netip.MustParseAddrPort("10.1.0.1:8080"), netip.MustParseAddrPort("10.1.0.2:8080")
	listed := directory.New(directory.Config{})
	listed.SetPlan(&directory.Plan{Version: 1, Services: []directory.ServiceSpec{{Name: "booking"}}})
	for _, c := range []struct {
		name  string
		while bool
	}{
		{"while it waits for its probe", false},
		{"while it is probed", true},
	} {
		Convey("A target that restarts at another address "+c.name+" does not count as absent", t, func() {
			d := &Daemon{
				engine:  tags.New(tags.Config{Policy: placement.NewNearest(placement.NearestConfig{}), Epoch: time.Now()}),
				metrics: newDaemonMetrics(metrics.NewSet()), log: log.New(io.Discard), probeQueue: newProbeQueue(), events: make(chan controlEvent, 1),
			}
			register := func(at netip.AddrPort) {
				listed.Register(time.Now(), directory.Registration{Name: "booking-01", Service: "booking", Address: at, Slots: 1})
				s := listed.Snapshot(time.Now())
				d.engine.ApplyLists(time.Now(), s, admission.NewTable(s))
			}
			register(before)
			suspected := d.engine.Target(listed.ID("booking-01"))
			p := &addressProber{at: after, refused: func() {}}
			if c.while {
				p.refused = func() { register(after) }
			} else {
				register(after)
			}
			d.prober = p
			d.probeSuspect(t.Context(), suspect{target: suspected})
			ev := d.engine.Loads().Evidence(suspected.ID)
			So(ev.Connected || ev.ProbedAt.IsZero(), ShouldBeTrue)
			So(d.events, ShouldBeEmpty)
		})
	}
}
