// Package scenarios holds the scenarios that come with fireflypin.
//
// Invariant: every file here loads and passes the checks of package scenario.
package scenarios

import "embed"

// Files holds the scenarios' YAML files.
//
//go:embed *.yaml
var Files embed.FS
