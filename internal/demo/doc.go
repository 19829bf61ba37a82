// Package demo demonstrates a scenario, either with daemons in separate processes, or with all daemons in
// the current process and a live table.
//
// Invariant: a demo changes nothing outside its output directory and uses only loopback sockets.
package demo
