package placementlab

import (
	"math"
	"time"

	"github.com/fireflypin/fireflypin/internal/health"
	"github.com/fireflypin/fireflypin/placement"
)

// probe executes the due health probes of every owner and sends the results to the other owners.
func (r *run) probe() {
	for _, o := range r.owners {
		if o.failed {
			continue
		}
		for _, t := range o.monitor.Due(r.now, nil) {
			o.monitor.HandleProbe(r.now, r.report(r.backends[t.ID]))
		}
		const sectionLimit = 400
		body := o.monitor.AppendTo(r.now, nil, sectionLimit)
		r.heartbeats = append(r.heartbeats, heartbeat{at: r.now.Add(r.sc.ReportDelay), from: o, body: body})
	}
}

func (r *run) report(b *backend) health.Result {
	res := health.Result{Target: b.target.ID, OK: b.present}
	res.Report = placement.Report{
		Connections: b.open,
		BusySlots:   min(int(math.Ceil(b.backlog/step.Seconds())), int(b.target.Slots)),
	}
	if b.unresponsive {
		res.Report = placement.Report{}
	}
	return res
}

// deliver delivers the heartbeats that are due and lets every health monitor evaluate its targets.
func (r *run) deliver() {
	kept := r.heartbeats[:0]
	for _, hb := range r.heartbeats {
		if hb.at.After(r.now) {
			kept = append(kept, hb)
			continue
		}
		sums, _ := health.DecodeSummaries(nil, hb.body)
		for _, o := range r.owners {
			if o != hb.from && !o.failed {
				o.monitor.HandleSummaries(r.now, hb.from.id, sums)
			}
		}
	}
	r.heartbeats = kept
	for _, o := range r.owners {
		if !o.failed {
			o.monitor.Tick(r.now)
		}
	}
}

// sample takes the measurements of one second.
func (r *run) sample() {
	if !r.measuring() {
		r.clear()
		return
	}
	var open []float64
	for _, b := range r.backendOrder {
		if b.present && !b.unresponsive && !b.target.Draining {
			open = append(open, float64(b.open))
		}
	}
	r.flows.add(open)
	r.exceptionShareSum += float64(r.exception) / math.Max(float64(r.open), 1)
	r.samples++
	r.sampleFaultTarget()
	if r.now.Sub(epoch)%(10*time.Second) == 0 {
		r.sampleSlots()
	}
}

// clear discards the counts of the warm-up.
func (r *run) clear() {
	r.attempts = 0
	for _, b := range r.backendOrder {
		b.attempts = 0
		b.offered = 0
	}
}

func (r *run) sampleSlots() {
	var slots []float64
	for _, b := range r.backendOrder {
		if b.present && !b.unresponsive && !b.target.Draining {
			slots = append(slots, b.offered)
		}
		b.offered = 0
	}
	r.slots.add(slots)
}

// sampleFaultTarget records when the target under fault has dropped below a tenth of its share of
// connection attempts.
func (r *run) sampleFaultTarget() {
	b := r.faultTarget()
	share := float64(r.attempts) / float64(len(r.backendOrder))
	if r.result.AvoidedAfter < 0 && float64(b.attempts) < 0.1*share {
		r.result.AvoidedAfter = r.now.Sub(r.faultAt).Seconds()
	}
	r.attempts = 0
	b.attempts = 0
}

func (r *run) finalResult() Result {
	res := r.result
	res.FlowsMax = r.flows.meanMaxOverMean()
	res.FlowsP99 = r.flows.p99OverMean()
	res.SlotsMax = r.slots.meanMaxOverMean()
	res.SlotsP99 = r.slots.p99OverMean()
	res.Exceptions = r.exceptionShareSum / math.Max(float64(r.samples), 1)
	res.NewExceptions /= r.sc.Measure.Seconds()
	res.WaitP99 = quantile(r.waits, 0.99)
	if r.sc.Fault != FalselyIdle && r.sc.Fault != Drain {
		res.AvoidedAfter = -1
	}
	return res
}
