package health

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

const (
	// maxReportBytes is the maximum size of a load report.
	maxReportBytes = 4096
	// dueCheckInterval is the interval at which the prober gets the due probes from the monitor.
	dueCheckInterval = 100 * time.Millisecond
)

// ProberConfig configures a Prober. Zero values take the defaults.
type ProberConfig struct {
	// Timeout is the time after which a probe fails; default 500 ms.
	Timeout time.Duration
	// Parallel is the maximum number of concurrent probes; default 32.
	Parallel int
}

// Prober performs a Monitor's probes over HTTP.
type Prober struct {
	cfg     ProberConfig
	monitor *Monitor
	client  *http.Client
}

// NewProber returns a Prober that reports its results to monitor.
func NewProber(cfg ProberConfig, monitor *Monitor) *Prober {
	setDuration(&cfg.Timeout, 500*time.Millisecond)
	setInt(&cfg.Parallel, 32)
	return &Prober{cfg: cfg, monitor: monitor, client: &http.Client{
		Timeout: cfg.Timeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     time.Minute,
		},
	}}
}

// Run performs the due probes until ctx ends, and then waits for those in progress.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(dueCheckInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, p.cfg.Parallel)
	var due []*model.Target
	for {
		due = p.monitor.Due(time.Now(), due[:0])
		for _, t := range due {
			slots <- struct{}{}
			running.Go(func() {
				p.probe(ctx, t)
				<-slots
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Prober) probe(ctx context.Context, t *model.Target) {
	report, err := p.fetchReport(ctx, t)
	if ctx.Err() != nil {
		return
	}
	p.monitor.HandleProbe(time.Now(), Result{Target: t.ID, OK: err == nil, Report: report})
}

// loadReport is the JSON body of a target's response.
type loadReport struct {
	Connections int  `json:"connections"`
	BusySlots   int  `json:"busy_slots"`
	Shedding    bool `json:"shedding"`
	Warming     bool `json:"warming"`
}

func (p *Prober) fetchReport(ctx context.Context, t *model.Target) (placement.Report, error) {
	url := "http://" + t.Report.String() + "/"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return placement.Report{}, fmt.Errorf("build probe of %s: %w", url, err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return placement.Report{}, fmt.Errorf("probe %s: %w", url, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return placement.Report{}, fmt.Errorf("probe %s: status %d", url, resp.StatusCode)
	}
	var r loadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r); err != nil {
		return placement.Report{}, fmt.Errorf("decode load report of %s: %w", url, err)
	}
	return placement.Report{
		Connections: r.Connections, BusySlots: r.BusySlots, Shedding: r.Shedding, Warming: r.Warming,
	}, nil
}
