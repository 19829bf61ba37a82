// Package scenarios embeds the built-in scenarios of fireflypin.
//
// Invariant: every file in this directory loads and passes the validation of package scenario.
package scenarios

import "embed"

// Files holds the YAML files of the scenarios, named NAME.yaml.
//
//go:embed *.yaml
var Files embed.FS
