// Package standin holds small fakes of what surrounds the daemons: the platform's read-and-watch
// service, the network fabric, targets on endpoint VMs and callers.
//
// Each stand-in is a state machine without sockets, clocks and goroutines: it takes an event and
// the time and returns the datagrams to send. Node runs one over a udpio.Network, so that the same
// code serves real sockets and tests in virtual time.
//
// Invariant: a Machine is only touched under the lock of its Node.
package standin
