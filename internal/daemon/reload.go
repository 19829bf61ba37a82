package daemon

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/wire"
)

// errKeysRemoved refuses a reload that would put the well-known loopback key in place of a secret one.
var errKeysRemoved = errors.New("key_files: to go on without keys needs a restart")

// Reload reads the settings file, the key files and the local lists again and puts in force what may
// change without a restart, and logs the outcome. A settings file with faults is refused with all of them; then,
// or when a key file is faulty or a list file cannot be read,
// everything stays as it is. One goroutine calls it.
func (p *Process) Reload(ctx context.Context, path string) error {
	err := p.reload(ctx, path)
	if err != nil {
		p.log.Error("settings refused", "op", "reload", "event", "refused", "err", err)
	}
	return err
}

func (p *Process) reload(ctx context.Context, path string) error {
	now, err := settings.Load(path)
	if err != nil {
		return err
	}
	if len(p.settings.KeyFiles) > 0 && len(now.KeyFiles) == 0 {
		return errKeysRemoved
	}
	ring, err := wire.KeyringOf(now.KeyFiles)
	if err != nil {
		return err
	}
	if err := p.Daemon.lists.Reload(ctx); err != nil {
		return err
	}
	taken, restart := settings.Changed(p.settings, now)
	p.settings = settings.Reload(p.settings, now)
	p.keys.Replace(ring)
	p.log.SetLevel(p.settings.LogLevel)
	p.Daemon.setDrainTimeout(p.settings.DrainTimeout)
	p.log.Info("settings reloaded", "op", "reload", "event", "reloaded",
		"changed", strings.Join(taken, ","), "seals_with", ring.Active())
	if len(restart) > 0 {
		p.log.Warn("changed settings need a restart", "op", "reload", "event", "restart_needed",
			"keys", strings.Join(restart, ","))
	}
	return nil
}

func (d *Daemon) setDrainTimeout(t time.Duration) {
	d.drainTimeout.Store(int64(t))
}
