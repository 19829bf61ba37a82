package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/fireflypin/fireflypin/internal/scenario"
	"github.com/fireflypin/fireflypin/internal/udpio"
)

// ErrRunFailed is returned if a run has completed, but failed: a request was not answered correctly, or a
// flow was broken or did not end.
var ErrRunFailed = errors.New("not every request was answered correctly")

const (
	readyTimeout        = 15 * time.Second
	readyPollInterval   = 50 * time.Millisecond
	sessionDrainTimeout = 8 * time.Second
	// daemonListFile is the list of daemon names. It is written last, because the script that starts the daemons
	// waits for it.
	daemonListFile = "entries"
)

// SeparateDaemonsConfig holds the settings of RunSeparateDaemons.
type SeparateDaemonsConfig struct {
	// Scenario is the file of a scenario, or the name of a built-in one.
	Scenario string
	// OutDir receives the daemons' settings files. It is created if it does not exist.
	OutDir string
	Seed   uint64
	// Source is where the daemons read the published lists from; default the platform.
	Source scenario.Source
	// Out receives the report.
	Out io.Writer
}

// RunSeparateDaemons runs the stand-ins of a scenario for daemons in separate processes. It writes the daemons'
// settings files and the list of their names, waits until all daemons are ready, runs the workloads and
// prints a report. It returns ErrRunFailed if the run failed.
func RunSeparateDaemons(ctx context.Context, cfg SeparateDaemonsConfig) error {
	s, err := scenario.Load(cfg.Scenario)
	if err != nil {
		return err
	}
	site, err := scenario.Start(s, cfg.Seed, udpio.System(udpio.Config{}))
	if err != nil {
		return err
	}
	defer site.Close()
	if err := writeSettings(site, cfg.OutDir, cfg.Source); err != nil {
		return err
	}
	fmt.Fprintf(cfg.Out, "waiting for %d daemons\n", len(site.Entries))
	if err := waitReady(ctx, site.Entries); err != nil {
		return err
	}
	fmt.Fprintf(cfg.Out, "all daemons are ready; running %s for %v\n", s.Name, s.Warmup+s.Duration)
	first := readUsages(ctx, site.Entries)
	if err := runWorkloads(ctx, site, cfg.Out); err != nil {
		return err
	}
	last := readUsages(ctx, site.Entries)
	stopWorkloads(site, cfg.Out)
	printUsages(cfg.Out, site.Entries, first, last)
	return printReport(site, cfg.Out)
}

// writeSettings writes the lists and one settings file per daemon, then the list of daemon names. The last
// is renamed into place, so that it is complete when it appears.
func writeSettings(site *scenario.Site, dir string, source scenario.Source) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create settings directory: %w", err)
	}
	if err := site.WriteLists(dir); err != nil {
		return err
	}
	nameList := ""
	for _, e := range site.Entries {
		data, err := site.Settings(e, source)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, e.Name+".yaml"), data, 0o644); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		nameList += e.Name + "\n"
	}
	tempPath := filepath.Join(dir, daemonListFile+".tmp")
	if err := os.WriteFile(tempPath, []byte(nameList), 0o644); err != nil {
		return fmt.Errorf("write list of daemon names: %w", err)
	}
	if err := os.Rename(tempPath, filepath.Join(dir, daemonListFile)); err != nil {
		return fmt.Errorf("rename list of daemon names: %w", err)
	}
	return nil
}

// waitReady polls /readyz of every daemon until all have answered 200, for at most readyTimeout.
func waitReady(ctx context.Context, entries []scenario.EntryPlan) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := &http.Client{Timeout: time.Second}
	for _, e := range entries {
		for !isReady(ctx, client, e) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("wait until %s is ready at %v/readyz: %w", e.Name, e.Ops, ctx.Err())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, client *http.Client, e scenario.EntryPlan) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Ops.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// runWorkloads runs the callers for the warm-up and duration of the scenario and prints a progress line
// every second.
func runWorkloads(ctx context.Context, site *scenario.Site, out io.Writer) error {
	if err := site.StartCallers(); err != nil {
		return err
	}
	end := time.After(site.Scenario.Warmup + site.Scenario.Duration)
	progressTicker := time.NewTicker(time.Second)
	defer progressTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end:
			return nil
		case <-progressTicker.C:
			sum := scenario.Tally(site.CallerHistory())
			fmt.Fprintf(out, "open flows %4d   answered %5d   broken %d\n", site.OpenFlows(), sum.Answered, sum.Broken)
		}
	}
}

// stopWorkloads waits until the open sessions have ended, for at most sessionDrainTimeout, and prints how many flows
// are left.
func stopWorkloads(site *scenario.Site, out io.Writer) {
	if left := site.StopCallers(sessionDrainTimeout); left > 0 {
		fmt.Fprintf(out, "%d flows did not come to their end\n", left)
	}
}

func printReport(site *scenario.Site, out io.Writer) error {
	sum := scenario.Summarize(site.History())
	sum.Print(out)
	counts := site.PlatformCounts()
	fmt.Fprintf(out, "platform  %d calls: %d reads, %d watches\n", counts.Calls, counts.Reads, counts.Watches)
	if !sum.Passed() || site.OpenFlows() > 0 {
		return ErrRunFailed
	}
	return nil
}
