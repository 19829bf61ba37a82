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
		if o.gone {
			continue
		}
		for _, t := range o.monitor.Due(r.now, nil) {
			o.monitor.HandleProbe(r.now, r.report(r.backends[t.ID]))
		}
		const sectionLimit = 400
		body := o.monitor.AppendTo(r.now, nil, sectionLimit)
		r.beats = append(r.beats, heartbeat{at: r.now.Add(r.sc.ReportLag), from: o, body: body})
	}
}

func (r *run) report(b *backend) health.Result {
	res := health.Result{Target: b.target.ID, OK: b.present}
	res.Report = placement.Report{
		Connections: b.open,
		BusySlots:   min(int(math.Ceil(b.backlog/step.Seconds())), int(b.target.Slots)),
	}
	if b.silent {
		res.Report = placement.Report{}
	}
	return res
}

// deliver delivers the heartbeats that are due and lets every health monitor evaluate its targets.
func (r *run) deliver() {
	kept := r.beats[:0]
	for _, beat := range r.beats {
		if beat.at.After(r.now) {
			kept = append(kept, beat)
			continue
		}
		sums, _ := health.DecodeSummaries(nil, beat.body)
		for _, o := range r.owners {
			if o != beat.from && !o.gone {
				o.monitor.HandleSummaries(r.now, beat.from.id, sums)
			}
		}
	}
	r.beats = kept
	for _, o := range r.owners {
		if !o.gone {
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
	for _, b := range r.order {
		if b.present && !b.silent && !b.target.Leaving {
			open = append(open, float64(b.open))
		}
	}
	r.flows.add(open)
	r.shares += float64(r.exception) / math.Max(float64(r.open), 1)
	r.samples++
	r.sampleSubject()
	if r.now.Sub(epoch)%(10*time.Second) == 0 {
		r.sampleSlots()
	}
}

func (r *run) clear() {
	r.attempts = 0
	for _, b := range r.order {
		b.attempts = 0
		b.offered = 0
	}
}

func (r *run) sampleSlots() {
	var slots []float64
	for _, b := range r.order {
		if b.present && !b.silent && !b.target.Leaving {
			slots = append(slots, b.offered)
		}
		b.offered = 0
	}
	r.slots.add(slots)
}

// sampleSubject records when the target under fault has dropped below a tenth of its share of
// connection attempts.
func (r *run) sampleSubject() {
	b := r.subject()
	share := float64(r.attempts) / float64(len(r.order))
	if r.result.LostAfter < 0 && float64(b.attempts) < 0.1*share {
		r.result.LostAfter = r.now.Sub(r.faultAt).Seconds()
	}
	r.attempts = 0
	b.attempts = 0
}

func (r *run) finish() Result {
	res := r.result
	res.FlowsMax = r.flows.maxMean()
	res.FlowsP99 = r.flows.p99()
	res.SlotsMax = r.slots.maxMean()
	res.SlotsP99 = r.slots.p99()
	res.Exceptions = r.shares / math.Max(float64(r.samples), 1)
	res.NewExceptions /= r.sc.Measure.Seconds()
	res.WaitP99 = quantile(r.waits, 0.99)
	if r.sc.Fault != Lying && r.sc.Fault != Drain {
		res.LostAfter = -1
	}
	return res
}
