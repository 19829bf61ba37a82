// Package settings reads the daemon's YAML settings file.
//
// Invariant: the Settings that Load returns are complete: every field holds a valid value, and defaults
// are filled in.
package settings
