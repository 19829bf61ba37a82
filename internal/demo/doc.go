// Package demo shows a scenario to a reader: with daemons in processes of their own, or with a whole
// fleet in this process and a live table.
//
// Invariant: a demo changes nothing outside its output directory and its own loopback sockets.
package demo
