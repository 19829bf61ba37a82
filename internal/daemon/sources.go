package daemon

import (
	"crypto/tls"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/do/v2"

	"github.com/fireflypin/fireflypin/internal/bulk"
	"github.com/fireflypin/fireflypin/internal/listsource"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/model"
)

// newLists returns the client that reads the lists from the platform's service or from local files.
func newLists(i do.Injector) (Lists, error) {
	peers, err := do.Invoke[*bulk.Client](i)
	if err != nil {
		return nil, err
	}
	o := do.MustInvoke[Options](i)
	s := o.Settings
	cfg := listsource.ClientConfig{
		Reader:      readerConfig(s, o.Now),
		Files:       listFiles(s),
		Peers:       peers,
		CallTimeout: s.Platform.CallTimeout,
		Log:         do.MustInvoke[*log.Logger](i),
		Metrics:     listsource.NewMetrics(do.MustInvoke[*metrics.Set](i)),
	}
	if s.UsesPlatform() {
		cfg.Platform = listsource.NewHTTP(s.Platform.URL)
	}
	return listsource.NewClient(cfg), nil
}

// readerConfig returns the configuration of the list reader. start is the start time of the process.
func readerConfig(s *settings.Settings, start time.Time) listsource.Config {
	seed := uint64(model.MachineIDOf(s.Name))
	return listsource.Config{
		Self:           s.Bulk,
		Seeds:          s.Seeds,
		Rand:           rand.New(rand.NewPCG(seed, uint64(start.UnixNano()))),
		WatchWait:      s.Platform.WatchWait,
		CallsPerSecond: s.Platform.CallsPerSecond,
		CallBurst:      s.Platform.CallBurst,
	}
}

func listFiles(s *settings.Settings) [3]string {
	return [3]string{s.Lists.Customers, s.Lists.Plans, s.Lists.Machines}
}

func newBulk(i do.Injector) (*bulk.Client, error) {
	config, err := do.Invoke[*tls.Config](i)
	if err != nil {
		return nil, err
	}
	return bulk.NewClient(config), nil
}
