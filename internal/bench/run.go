package bench

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/fireflypin/fireflypin/internal/fleet"
	"github.com/fireflypin/fireflypin/internal/scenario"
	"github.com/fireflypin/fireflypin/internal/udpio"
)

const (
	defaultSampleInterval = 500 * time.Millisecond
	readyTimeout          = 20 * time.Second
	// sessionDrainTimeout is the maximum wait for open sessions to end after the measured time.
	sessionDrainTimeout = 10 * time.Second
)

// Config holds the settings of Run.
type Config struct {
	Scenario *scenario.Scenario
	// Variant is the software that runs on the entry VMs; default VariantDaemon.
	Variant fleet.Variant
	// Seed initializes the workloads and the random choices of the stand-ins.
	Seed uint64
	// SampleEvery is the interval between two samples; default 500 ms.
	SampleEvery time.Duration
	// OnSample, if set, is called with each sample when it is taken.
	OnSample func(Sample)
	// LogTo receives the daemons' log lines; nil discards them.
	LogTo io.Writer
	// OnFault, if set, is called with each fault and its error after the fault was applied.
	OnFault func(scenario.Fault, error)
}

func (c Config) withDefaults() Config {
	if c.Variant == "" {
		c.Variant = fleet.VariantDaemon
	}
	if c.SampleEvery == 0 {
		c.SampleEvery = defaultSampleInterval
	}
	if c.OnSample == nil {
		c.OnSample = func(Sample) {}
	}
	if c.OnFault == nil {
		c.OnFault = func(scenario.Fault, error) {}
	}
	return c
}

// run is the state of one measurement.
type run struct {
	cfg         Config
	site        *scenario.Site
	fleet       *fleet.Fleet
	started     time.Time
	cpu         time.Duration
	startStatus []fleet.Status
	samples     []Sample
	changes     *changeWatcher
}

// Run runs a scenario once and measures it.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	cfg = cfg.withDefaults()
	site, err := scenario.Start(cfg.Scenario, cfg.Seed, udpio.System(udpio.Config{}))
	if err != nil {
		return nil, err
	}
	defer site.Close()
	f, err := fleet.Start(site, cfg.Variant, cfg.LogTo)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &run{cfg: cfg, site: site, fleet: f}
	if err := r.warmUp(ctx); err != nil {
		return nil, fmt.Errorf("run scenario %s with %s: %w", cfg.Scenario.Name, cfg.Variant, err)
	}
	if err := r.measure(ctx); err != nil {
		return nil, fmt.Errorf("run scenario %s with %s: %w", cfg.Scenario.Name, cfg.Variant, err)
	}
	return r.result(), nil
}

// warmUp waits until the fleet is ready, starts the callers and waits for the warm-up time.
func (r *run) warmUp(ctx context.Context) error {
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.fleet.WaitReady(readyCtx); err != nil {
		return err
	}
	if err := r.site.StartCallers(); err != nil {
		return err
	}
	return pause(ctx, r.cfg.Scenario.Warmup)
}

// measure injects the scenario's faults and takes samples for the duration of the scenario.
func (r *run) measure(ctx context.Context) error {
	r.started = time.Now()
	r.cpu = processCPU()
	r.startStatus = r.fleet.Status()
	faultsCtx, stop := context.WithCancel(ctx)
	defer stop()
	r.changes = watchChanges(faultsCtx, r.site, r.fleet)
	r.site.RunFaults(faultsCtx, r.cfg.Scenario.Faults, r.fleet, r.cfg.OnFault)
	end := r.started.Add(r.cfg.Scenario.Duration)
	for time.Now().Before(end) {
		if err := pause(ctx, r.cfg.SampleEvery); err != nil {
			return err
		}
		s := r.sample()
		r.samples = append(r.samples, s)
		r.cfg.OnSample(s)
	}
	return nil
}

// pause sleeps for d, or returns the error of ctx if it is done first.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// processCPU returns the CPU time used by this process so far.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
