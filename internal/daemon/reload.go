package daemon

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/wire"
)

// errKeysRemoved is returned for a reload that would replace a secret key with the well-known key.
var errKeysRemoved = errors.New("key_files: removing all key files requires a restart")

// Reload reads the settings file, the key files and the local lists again, applies the settings that can
// change without a restart and logs the result. If the settings file is invalid, the error lists all its
// faults. If the settings file or a key file is invalid or a list file cannot be read, nothing changes.
// Reload must not be called concurrently.
func (p *Process) Reload(ctx context.Context, path string) error {
	err := p.reload(ctx, path)
	if err != nil {
		p.log.Error("settings reload failed", "op", "reload", "event", "refused", "err", err)
	}
	return err
}

func (p *Process) reload(ctx context.Context, path string) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	if len(p.settings.KeyFiles) > 0 && len(loaded.KeyFiles) == 0 {
		return errKeysRemoved
	}
	ring, err := wire.LoadKeyringOrDefault(loaded.KeyFiles)
	if err != nil {
		return err
	}
	if err := p.Daemon.lists.Reload(ctx); err != nil {
		return err
	}
	applied, needRestart := settings.ChangedKeys(p.settings, loaded)
	p.settings = settings.Reload(p.settings, loaded)
	p.keys.Replace(ring)
	p.log.SetLevel(p.settings.LogLevel)
	p.Daemon.setDrainTimeout(p.settings.DrainTimeout)
	p.log.Info("settings reloaded", "op", "reload", "event", "reloaded",
		"changed", strings.Join(applied, ","), "seals_with", ring.Active())
	if len(needRestart) > 0 {
		p.log.Warn("some changed settings require a restart", "op", "reload", "event", "restart_needed",
			"keys", strings.Join(needRestart, ","))
	}
	return nil
}

func (d *Daemon) setDrainTimeout(t time.Duration) {
	d.drainTimeout.Store(int64(t))
}
