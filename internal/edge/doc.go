// Package edge runs the daemon of an entry VM on a transport that carries flow tags.
//
// It is the shell around three decision makers: core.TagEngine for packets, news.Engine for what the platform
// publishes, and directory.Directory for what follows from that. The transport and the platform's service are
// behind the interfaces Transport, Store and Interpreter.
//
// Invariant: packets are decided on one immutable set of lists at a time; one goroutine alone changes it.
package edge
