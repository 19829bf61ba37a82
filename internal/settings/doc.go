// Package settings reads the daemon's YAML settings.
//
// Invariant: Settings that Load returns are complete: every field holds a value that the daemon can
// use as it stands.
package settings
