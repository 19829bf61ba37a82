package platform

import (
	"math/rand/v2"

	"github.com/charmbracelet/log"

	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/settings"
)

// Deps are what a Client needs besides its settings.
type Deps struct {
	// Peers asks other daemons; nil for none.
	Peers Peers
	// Rand is the random source of every jitter.
	Rand    *rand.Rand
	Log     *log.Logger
	Metrics *metrics.Set
}

// FromSettings returns the Client that a daemon's settings ask for.
func FromSettings(s *settings.Settings, deps Deps) *Client {
	cfg := ClientConfig{
		Reader: Config{
			Self:           s.Bulk,
			Seeds:          s.Seeds,
			Rand:           deps.Rand,
			WatchWait:      s.Platform.WatchWait,
			CallsPerSecond: s.Platform.CallsPerSecond,
			CallBurst:      s.Platform.CallBurst,
		},
		Peers:       deps.Peers,
		CallTimeout: s.Platform.CallTimeout,
		Log:         deps.Log,
		Metrics:     NewMetrics(deps.Metrics),
	}
	if s.UsesPlatform() {
		cfg.Platform = NewHTTP(s.Platform.URL)
	} else {
		cfg.Files = [3]string{s.Lists.Customers, s.Lists.Plans, s.Lists.Machines}
	}
	return NewClient(cfg)
}
