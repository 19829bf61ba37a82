package main

import "runtime/debug"

// version returns the version recorded in the binary by the Go toolchain, or "devel".
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return "devel"
	}
	return info.Main.Version
}
